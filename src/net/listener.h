// A listening TCP socket on the loop. It accepts while the owner has room, pauses where there is
// none, and can steer new connections to another process on the same address. The loop's thread
// only; times are microseconds.
#pragma once

#include <functional>
#include <memory>

#include "core/deadlines.h"
#include "net/address.h"
#include "net/loop.h"

namespace alderspur::net {

class Listener {
 public:
  /// Throws std::runtime_error if the address is not to be had. `is_shared`: another process may
  /// listen on the same address, and the kernel spreads connections over both.
  Listener(Loop& loop, core::Deadlines& deadlines, const sockaddr_in& address,
           std::function<bool()> may_accept, std::function<void(Fd)> on_accept,
           bool is_shared = false);
  ~Listener();

  /// All new connections go to the process that began to listen after this one; false: the kernel
  /// refuses, and they are spread as before.
  bool steer_to_successor();
  void stop_steering();
  /// One descriptor is kept back for when the process has none left, so that one more caller gets
  /// in; taken anew by this once there is room again.
  void keep_spare();

  enum class AcceptRest {
    within_limits,  // as long as may_accept() holds and there are descriptors
    all,            // whatever may_accept() says
  };
  /// Accepts what the kernel has completed for this socket, then stops: the close would reset these
  /// connections. False: there is no room for all of them, and it goes on listening.
  bool accept_rest_and_stop(AcceptRest rest);
  void stop();

  sockaddr_in address() const;
  /// How long there has not been room for all: whoever is accepted now may have waited so long, and
  /// left since.
  core::Time waited() const { return full_since_ ? unix_now() - full_since_ : 0; }

 private:
  Fd accept_one();
  void accept_some();
  void pause();

  core::Deadlines& deadlines_;
  Fd fd_;
  std::function<bool()> may_accept_;
  std::function<void(Fd)> on_accept_;
  std::unique_ptr<IoWatcher> watcher_;
  Fd spare_;
  core::Time full_since_ = 0;  // 0: all that came has been accepted
  /// False once this is destroyed, for the deadline that ends a pause.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace alderspur::net

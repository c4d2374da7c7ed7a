// A listening TCP socket on the event loop. It accepts connections while its owner has capacity,
// pauses otherwise, and can steer new connections to another process on the same address. The
// loop's thread only; times are microseconds.
#pragma once

#include <functional>
#include <memory>

#include "core/deadlines.h"
#include "net/address.h"
#include "net/loop.h"

namespace alderspur::net {

/// Owns the socket.
class Listener {
 public:
  /// Throws std::runtime_error if the address cannot be bound. `may_accept` is asked before each
  /// connection is accepted. `is_shared`: another process may listen on the same address, and the
  /// kernel spreads connections over both.
  Listener(Loop& loop, core::Deadlines& deadlines, const sockaddr_in& address,
           std::function<bool()> may_accept, std::function<void(Fd)> on_accept,
           bool is_shared = false);
  ~Listener();

  /// Steers all new connections to the process that began to listen after this one; false: the
  /// kernel does not allow it, and connections are spread as before.
  bool steer_to_successor();
  void stop_steering();
  /// Reserves a descriptor, so that one more connection can be accepted when the process has none
  /// left. To be called again after each use.
  void keep_spare();

  /// Which of the established connections accept_rest_and_stop() accepts.
  enum class AcceptRest {
    within_limits,  // as long as may_accept() holds and there are descriptors
    all,            // whatever may_accept() says
  };
  /// Accepts the established connections in the socket's queue, which closing it would reset, then
  /// stops. False: some of them could not be accepted, and the socket is still listening.
  bool accept_rest_and_stop(AcceptRest rest);
  /// Closes the socket.
  void stop();

  /// The bound address, with the port that the kernel chose for port 0.
  sockaddr_in address() const;
  /// The longest time that a connection accepted now may have waited in the queue.
  core::Time accept_delay() const { return full_since_ ? unix_now() - full_since_ : 0; }

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
  core::Time full_since_ = 0;  // 0: the queue was empty since
  /// False once this is destroyed; for the deadline that ends a pause.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace alderspur::net

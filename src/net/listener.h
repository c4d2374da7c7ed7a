// A listening TCP socket on the event loop. It accepts connections while its owner has capacity and
// pauses otherwise. It can steer new connections to another process that listens on the same
// address. Used on the loop's thread only. Times are in microseconds.
#pragma once

#include <functional>
#include <memory>

#include "core/deadlines.h"
#include "net/address.h"
#include "net/loop.h"

namespace alderspur::net {

/// Owns a listening socket and passes accepted connections to a callback.
class Listener {
 public:
  /// Starts to listen. Throws std::runtime_error if the address cannot be bound. `may_accept` is
  /// called before each connection is accepted and returns whether the owner has capacity for it.
  /// If `is_shared` is true, another process may listen on the same address, and the kernel
  /// distributes connections to both.
  Listener(Loop& loop, core::Deadlines& deadlines, const sockaddr_in& address,
           std::function<bool()> may_accept, std::function<void(Fd)> on_accept,
           bool is_shared = false);
  ~Listener();

  /// Steers all new connections to the process that started to listen after this one. Returns false
  /// if the kernel does not allow it; connections are then distributed as before.
  bool steer_to_successor();
  /// Lets the kernel distribute new connections to all listening processes again.
  void stop_steering();
  /// Reserves a descriptor, so that one more connection can be accepted when the process has no
  /// free descriptor. Must be called again after each use of the reserved descriptor.
  void reserve_descriptor();

  /// Which of the established connections accept_rest_and_stop() accepts.
  enum class AcceptRest {
    within_limits,  // accepts while may_accept() returns true and descriptors are free
    all,            // accepts regardless of may_accept()
  };
  /// Accepts the established connections in the socket's queue, because closing the socket would
  /// reset them, then closes the socket. Returns false if some connections could not be accepted;
  /// the socket is then still listening.
  bool accept_rest_and_stop(AcceptRest rest);
  /// Closes the socket. Connections in its queue are reset.
  void stop();

  /// Returns the bound address. Port 0 is replaced by the port that the kernel assigned.
  sockaddr_in address() const;
  /// Returns the longest time that a connection accepted now may have waited in the socket's queue.
  core::Time accept_delay() const { return paused_since_ ? unix_now() - paused_since_ : 0; }

 private:
  Fd accept_one();
  void accept_some();
  void pause();

  core::Deadlines& deadlines_;
  Fd fd_;
  std::function<bool()> may_accept_;
  std::function<void(Fd)> on_accept_;
  std::unique_ptr<IoWatcher> watcher_;
  Fd reserved_descriptor_;
  core::Time paused_since_ = 0;  // first pause since the queue was last empty; 0: no pause since
  /// False once this object is destroyed. Checked by the deadline that ends a pause.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace alderspur::net

// The event loop, based on libev. It performs one turn of work before each wait for events. Only
// the clocks and hold_signals() may be used on other threads. Times are in microseconds.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <vector>

#include "core/deadlines.h"
#include "net/buffer_account.h"

namespace alderspur::net {

/// Returns the Unix time. It follows the wall clock gradually and never jumps; see loop.cpp. May be
/// called on any thread.
core::Time unix_now();
/// Returns the time of a clock that is never set and that also runs while the machine is suspended.
/// May be called on any thread.
core::Time steady_now();

/// Calls a function when a descriptor is ready, until this object is destroyed. Does not own the
/// descriptor, which must stay open as long.
class IoWatcher {
 public:
  IoWatcher(struct ev_loop* loop, int fd, std::function<void(int events)> on_ready);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;
  /// Sets the events to watch for: EV_READ, EV_WRITE, both or 0. A new watcher watches for none.
  void want(int events);

 private:
  static void on_event(struct ev_loop*, ev_io* watcher, int events);
  struct ev_loop* loop_;
  ev_io watcher_{};
  int wanted_ = 0;
  std::function<void(int)> on_ready_;
};

class Lingering;

/// Blocks SIGTERM, SIGHUP, SIGINT and SIGUSR1 except while Loop::run() runs. Signals that arrive
/// earlier are handled in the first turn of the loop; signals that arrive after the loop has ended
/// have no effect. Must be called before the program starts threads, because they inherit the
/// signal mask.
void hold_signals();

/// The event loop: waits for descriptors, signals and deadlines, and calls their handlers.
class Loop {
 public:
  /// The loop wakes up for each of the `deadlines`, but the callback set by on_turn() must run
  /// those that are due. `deadlines` must outlive the loop.
  explicit Loop(core::Deadlines& deadlines);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Returns the libev loop, to start watchers on.
  struct ev_loop* raw() {
    return loop_;
  }
  /// Sets the function that is called in each turn: after all ready descriptors have been handled
  /// and before the loop waits.
  void on_turn(std::function<void()> callback) { turn_callback_ = std::move(callback); }
  /// Calls `callback` on the loop's thread whenever the signal `number` arrives.
  void on_signal(int number, std::function<void()> callback);
  /// Performs turns until stop() is called. The signals that hold_signals() blocks are delivered
  /// only meanwhile: run() restores the caller's signal mask before it returns.
  void run();
  /// Ends run() after the current turn.
  void stop();
  /// Returns the owner of the connections that are in a lingering close.
  Lingering& lingering() { return *lingering_; }
  /// Returns the memory of the buffers of all connections on this loop.
  BufferAccount& buffers() { return buffers_; }

 private:
  /// A signal with its watcher and its handler.
  struct Signal {
    ev_signal watcher{};
    std::function<void()> callback;
  };
  static void on_prepare(struct ev_loop*, ev_prepare* watcher, int);
  static void on_signal_event(struct ev_loop*, ev_signal* watcher, int);
  static void on_timer(struct ev_loop*, ev_timer*, int) {}
  void end_turn();

  core::Deadlines& deadlines_;
  struct ev_loop* loop_;
  ev_prepare prepare_watcher_{};
  ev_timer timer_{};
  std::function<void()> turn_callback_;
  std::vector<std::unique_ptr<Signal>> signals_;
  BufferAccount buffers_;  // outlives the connections in lingering_
  std::unique_ptr<Lingering> lingering_;
};

}  // namespace alderspur::net

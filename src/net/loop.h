// The event loop, on libev: one turn of work before each wait. All but the clocks and
// hold_signals() is for the loop's thread only. Times are microseconds.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::net {

/// Unix time. Follows the wall clock, but never by steps: see loop.cpp. Any thread.
core::Time unix_now();
/// The time of a clock that is never set and also runs while the machine sleeps. Any thread.
core::Time steady_now();

/// Watches a descriptor for as long as it exists.
class IoWatcher {
 public:
  IoWatcher(struct ev_loop* loop, int fd, std::function<void(int events)> on_ready);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;
  /// Sets the events to watch for: EV_READ, EV_WRITE, both or 0. None at first.
  void want(int events);

 private:
  static void on_event(struct ev_loop*, ev_io* watcher, int events);
  struct ev_loop* loop_;
  ev_io watcher_{};
  int wanted_ = 0;
  std::function<void(int)> on_ready_;
};

class Lingering;

/// Blocks SIGTERM, SIGHUP and SIGUSR1 until Loop::run(), which handles them in its first turn. To
/// be called before a program starts threads, which inherit the signal mask.
void hold_signals();

/// Waits for descriptors, signals and deadlines, and performs turns.
class Loop {
 public:
  /// `deadlines` must outlive the loop, which wakes up for each of them; the callback of on_turn()
  /// has to run them.
  explicit Loop(core::Deadlines& deadlines);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// For libev's watchers.
  struct ev_loop* raw() {
    return loop_;
  }
  /// Called before each wait, after all ready descriptors have been read.
  void on_turn(std::function<void()> callback) { turn_callback_ = std::move(callback); }
  /// Calls `callback` in the loop's thread when the signal arrives.
  void on_signal(int number, std::function<void()> callback);
  /// Performs turns until stop() is called.
  void run();
  void stop();
  /// The connections in a lingering close.
  Lingering& lingering() { return *lingering_; }

 private:
  /// A signal that is handled.
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
  std::unique_ptr<Lingering> lingering_;
};

}  // namespace alderspur::net

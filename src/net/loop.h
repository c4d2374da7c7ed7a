// The event loop, on libev: one turn of work before each wait. All but the clocks and
// hold_signals() is for the loop's thread only. Times are microseconds.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::net {

/// Since 1970. Follows the wall clock, but never by jumps: see loop.cpp. Any thread.
core::Time unix_now();
/// Of a clock that never goes back and that nobody sets; it also runs while the machine sleeps. Any
/// thread.
core::Time steady_now();

/// Watches a descriptor while it exists; the callback is a plain function object.
class IoWatcher {
 public:
  IoWatcher(struct ev_loop* loop, int fd, std::function<void(int events)> on_ready);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;
  /// EV_READ, EV_WRITE, both or 0.
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
/// be called before a program makes threads: they inherit it.
void hold_signals();

class Loop {
 public:
  explicit Loop(core::Deadlines& deadlines);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  struct ev_loop* raw() {
    return loop_;
  }
  /// Called before each wait, after all that was ready has been read.
  void on_turn(std::function<void()> callback) { turn_callback_ = std::move(callback); }
  void on_signal(int number, std::function<void()> callback);
  void run();
  void stop();
  /// Takes all connections that are closed in order.
  Lingering& lingering() { return *lingering_; }

 private:
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

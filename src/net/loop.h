// The event loop: libev underneath, one turn of work before each wait.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::net {

// Microseconds since 1970. Follows the wall clock, but never by jumps: see loop.cpp.
core::Time unix_now();
// Microseconds of a clock that never goes back and is set by nobody; also runs while the machine
// sleeps.
core::Time steady_now();

// A watcher that stops itself when it goes; the callback is a plain function object.
class IoWatcher {
 public:
  IoWatcher(struct ev_loop* loop, int fd, std::function<void(int events)> on_ready);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;
  void want(int events);  // EV_READ, EV_WRITE, both or 0

 private:
  static void called(struct ev_loop*, ev_io* w, int events);
  struct ev_loop* loop_;
  ev_io io_{};
  int wanted_ = 0;
  std::function<void(int)> on_ready_;
};

class Lingering;

// SIGTERM, SIGHUP and SIGUSR1 wait from here until Loop::run(), which hears them in its first turn.
// For the start of a program, before it makes threads: they inherit it.
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
  // Called before each wait, after all that was ready has been read.
  void on_turn(std::function<void()> turn) { turn_ = std::move(turn); }
  void on_signal(int number, std::function<void()> then);
  void run();
  void stop();
  Lingering& lingering() { return *lingering_; }  // where every orderly close ends

 private:
  struct Signal {
    ev_signal watcher{};
    std::function<void()> then;
  };
  static void prepared(struct ev_loop*, ev_prepare* w, int);
  static void signalled(struct ev_loop*, ev_signal* w, int);
  static void timed(struct ev_loop*, ev_timer*, int) {}

  core::Deadlines& deadlines_;
  struct ev_loop* loop_;
  ev_prepare prepare_{};
  ev_timer timer_{};
  std::function<void()> turn_;
  std::vector<std::unique_ptr<Signal>> signals_;
  std::unique_ptr<Lingering> lingering_;
};

}  // namespace alderspur::net

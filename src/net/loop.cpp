#include "net/loop.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>

#include "net/lingering.h"

namespace alderspur::net {

namespace {

core::Time wall_now() {
  timespec t{};
  ::clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<core::Time>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000;
}

sigset_t held_signals() {
  sigset_t held;
  sigemptyset(&held);
  for (const int number : {SIGTERM, SIGHUP, SIGUSR1}) sigaddset(&held, number);
  return held;
}

}  // namespace

void hold_signals() {
  const auto held = held_signals();
  pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

core::Time steady_now() {
  timespec t{};
  if (::clock_gettime(CLOCK_BOOTTIME, &t) != 0) ::clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<core::Time>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000;
}

// Danger: a wall clock that is set back by an hour would hold all deadlines for an hour, and one
// that is set forward would fire them all at once. So it is followed at kSlew at most. Any thread.
core::Time unix_now() {
  constexpr core::Time kLook = 100'000, kSlew = 50;  // a fiftieth of the time that passes
  static const core::Time first = wall_now() - steady_now();
  static std::atomic<core::Time> ahead{0}, looked{0};
  const core::Time steady = steady_now();
  core::Time last = looked.load(std::memory_order_relaxed);
  if (steady - last >= kLook &&
      looked.compare_exchange_strong(last, steady, std::memory_order_relaxed) && last) {
    const core::Time off = wall_now() - steady - first - ahead.load(std::memory_order_relaxed);
    const core::Time most = (steady - last) / kSlew;
    ahead.fetch_add(std::clamp(off, -most, most), std::memory_order_relaxed);
  }
  return steady + first + ahead.load(std::memory_order_relaxed);
}

IoWatcher::IoWatcher(struct ev_loop* loop, int fd, std::function<void(int)> on_ready)
    : loop_(loop), on_ready_(std::move(on_ready)) {
  ev_io_init(&io_, &IoWatcher::called, fd, 0);
  io_.data = this;
}
IoWatcher::~IoWatcher() { ev_io_stop(loop_, &io_); }
void IoWatcher::want(int events) {
  if (events == wanted_) return;
  wanted_ = events;
  ev_io_stop(loop_, &io_);
  if (!events) return;
  ev_io_set(&io_, io_.fd, events);
  ev_io_start(loop_, &io_);
}
void IoWatcher::called(struct ev_loop*, ev_io* w, int events) {
  static_cast<IoWatcher*>(w->data)->on_ready_(events);
}

Loop::Loop(core::Deadlines& deadlines)
    : deadlines_(deadlines),
      loop_(ev_loop_new(EVFLAG_AUTO)),
      lingering_(std::make_unique<Lingering>(deadlines)) {
  ev_prepare_init(&prepare_, &Loop::prepared);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  ev_timer_init(&timer_, &Loop::timed, 0, 0);
}
Loop::~Loop() {
  lingering_.reset();
  for (auto& s : signals_) ev_signal_stop(loop_, &s->watcher);
  ev_timer_stop(loop_, &timer_);
  ev_prepare_stop(loop_, &prepare_);
  ev_loop_destroy(loop_);
}
void Loop::on_signal(int number, std::function<void()> then) {
  auto s = std::make_unique<Signal>();
  s->then = std::move(then);
  ev_signal_init(&s->watcher, &Loop::signalled, number);
  s->watcher.data = s.get();
  ev_signal_start(loop_, &s->watcher);
  signals_.push_back(std::move(s));
}
void Loop::run() {
  const auto held = held_signals();
  pthread_sigmask(SIG_UNBLOCK, &held, nullptr);
  ev_run(loop_, 0);
}
void Loop::stop() { ev_break(loop_, EVBREAK_ALL); }

void Loop::prepared(struct ev_loop* raw, ev_prepare* w, int) {
  auto& loop = *static_cast<Loop*>(w->data);
  if (loop.turn_) loop.turn_();
  loop.lingering_->end_turn();
  ev_timer_stop(raw, &loop.timer_);
  const core::Time next = loop.deadlines_.next();
  // Danger: without a bound a step of the wall clock would put off every deadline for its length.
  const core::Time wait = std::clamp<core::Time>(next - std::min(next, unix_now()), 0, 1'000'000);
  ev_now_update(raw);
  ev_timer_set(&loop.timer_, static_cast<double>(wait) / 1e6, 0);
  ev_timer_start(raw, &loop.timer_);
}
void Loop::signalled(struct ev_loop*, ev_signal* w, int) { static_cast<Signal*>(w->data)->then(); }

}  // namespace alderspur::net

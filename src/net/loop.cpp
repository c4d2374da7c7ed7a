#include "net/loop.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>

#include "net/lingering.h"

namespace alderspur::net {
namespace {

constexpr core::Time kMicrosecondsPerSecond = 1'000'000;
constexpr core::Time kNanosecondsPerMicrosecond = 1'000;
/// The interval at which unix_now() compares its time with the wall clock.
constexpr core::Time kClockCheckInterval = 100'000;
/// A correction is at most the time since the last check divided by this number.
constexpr core::Time kMaxSlewDivisor = 50;
/// The maximum duration of one wait of the loop, so that a step of the wall clock cannot delay
/// deadlines.
constexpr core::Time kMaxWait = kMicrosecondsPerSecond;

core::Time to_microseconds(const timespec& time) {
  return static_cast<core::Time>(time.tv_sec) * kMicrosecondsPerSecond +
         time.tv_nsec / kNanosecondsPerMicrosecond;
}

core::Time wall_now() {
  timespec time{};
  ::clock_gettime(CLOCK_REALTIME, &time);
  return to_microseconds(time);
}

sigset_t held_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGHUP, SIGINT, SIGUSR1}) sigaddset(&signals, number);
  return signals;
}

}  // namespace

// ---- Clocks ----

core::Time steady_now() {
  timespec time{};
  if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0) ::clock_gettime(CLOCK_MONOTONIC, &time);
  return to_microseconds(time);
}

// Returns the steady clock's time, gradually corrected towards the wall clock. The wall clock
// itself would be unsuitable for deadlines: setting it back by an hour would delay all of them by
// an hour, and setting it forward would run them all at once.
core::Time unix_now() {
  static const core::Time initial_offset = wall_now() - steady_now();
  static std::atomic<core::Time> correction{0};
  static std::atomic<core::Time> last_check{0};
  const core::Time steady = steady_now();
  core::Time last = last_check.load(std::memory_order_relaxed);
  const bool is_due = steady - last >= kClockCheckInterval;
  // Only one thread performs each check. The first check only records its time.
  if (is_due && last_check.compare_exchange_strong(last, steady, std::memory_order_relaxed) &&
      last) {
    const core::Time error =
        wall_now() - steady - initial_offset - correction.load(std::memory_order_relaxed);
    const core::Time max_step = (steady - last) / kMaxSlewDivisor;
    correction.fetch_add(std::clamp(error, -max_step, max_step), std::memory_order_relaxed);
  }
  return steady + initial_offset + correction.load(std::memory_order_relaxed);
}

// ---- IoWatcher ----

IoWatcher::IoWatcher(struct ev_loop* loop, int fd, std::function<void(int)> on_ready)
    : loop_(loop), on_ready_(std::move(on_ready)) {
  ev_io_init(&watcher_, &IoWatcher::on_event, fd, 0);
  watcher_.data = this;
}
IoWatcher::~IoWatcher() { ev_io_stop(loop_, &watcher_); }

void IoWatcher::want(int events) {
  if (events == wanted_) return;
  wanted_ = events;
  ev_io_stop(loop_, &watcher_);
  if (!events) return;
  ev_io_set(&watcher_, watcher_.fd, events);
  ev_io_start(loop_, &watcher_);
}

void IoWatcher::on_event(struct ev_loop*, ev_io* watcher, int events) {
  static_cast<IoWatcher*>(watcher->data)->on_ready_(events);
}

// ---- Loop ----

void hold_signals() {
  const auto signals = held_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

Loop::Loop(core::Deadlines& deadlines)
    : deadlines_(deadlines),
      loop_(ev_loop_new(EVFLAG_AUTO)),
      lingering_(std::make_unique<Lingering>(deadlines)) {
  ev_prepare_init(&prepare_watcher_, &Loop::on_prepare);
  prepare_watcher_.data = this;
  ev_prepare_start(loop_, &prepare_watcher_);
  ev_timer_init(&timer_, &Loop::on_timer, 0, 0);
}

Loop::~Loop() {
  lingering_.reset();
  for (auto& signal : signals_) ev_signal_stop(loop_, &signal->watcher);
  ev_timer_stop(loop_, &timer_);
  ev_prepare_stop(loop_, &prepare_watcher_);
  ev_loop_destroy(loop_);
}

void Loop::on_signal(int number, std::function<void()> callback) {
  auto signal = std::make_unique<Signal>();
  signal->callback = std::move(callback);
  ev_signal_init(&signal->watcher, &Loop::on_signal_event, number);
  signal->watcher.data = signal.get();
  ev_signal_start(loop_, &signal->watcher);
  signals_.push_back(std::move(signal));
}

// The destructor restores the default actions of the signals, most of which end the process. The
// signals must therefore be blocked again before the rest of the shutdown.
void Loop::run() {
  const auto signals = held_signals();
  sigset_t previous_mask;
  pthread_sigmask(SIG_UNBLOCK, &signals, &previous_mask);
  ev_run(loop_, 0);
  pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
}

void Loop::stop() { ev_break(loop_, EVBREAK_ALL); }

void Loop::on_prepare(struct ev_loop*, ev_prepare* watcher, int) {
  static_cast<Loop*>(watcher->data)->end_turn();
}

// Performs the work of a turn, then sets the timer for the next deadline.
void Loop::end_turn() {
  if (turn_callback_) turn_callback_();
  lingering_->end_turn();
  ev_timer_stop(loop_, &timer_);
  const core::Time next = deadlines_.next();
  const core::Time wait = std::clamp<core::Time>(next - std::min(next, unix_now()), 0, kMaxWait);
  ev_now_update(loop_);
  ev_timer_set(&timer_, static_cast<double>(wait) / kMicrosecondsPerSecond, 0);
  ev_timer_start(loop_, &timer_);
}

void Loop::on_signal_event(struct ev_loop*, ev_signal* watcher, int) {
  static_cast<Signal*>(watcher->data)->callback();
}

}  // namespace alderspur::net

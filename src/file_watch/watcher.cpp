#include "file_watch/watcher.h"

#include <sys/inotify.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>
#include <utility>

namespace alderspur::file_watch {
namespace {

constexpr std::uint32_t kWatchedEvents = IN_CREATE | IN_MOVED_TO | IN_MOVED_FROM | IN_DELETE |
                                         IN_MODIFY | IN_CLOSE_WRITE | IN_ATTRIB | IN_DELETE_SELF |
                                         IN_MOVE_SELF | IN_ONLYDIR;
/// Events that concern the path regardless of the name in the event.
constexpr std::uint32_t kDirectoryEvents =
    IN_Q_OVERFLOW | IN_IGNORED | IN_DELETE_SELF | IN_MOVE_SELF | IN_UNMOUNT;
constexpr int kMaxReadsPerTurn = 16;
constexpr std::size_t kEventBufferBytes = 16384;

}  // namespace

/// The part of the watcher that its jobs use. It outlives the watcher while a job runs.
struct Watcher::Shared {
  Shared(const WatchSettings& settings, Source::PieceNames piece_names)
      : source(settings.path, settings.max_bytes, std::move(piece_names)),
        inotify(::inotify_init1(IN_NONBLOCK | IN_CLOEXEC)) {}

  Source source;  // used only by the worker thread after start()
  net::Fd inotify;
  // Used only by the event loop's thread. Null once the watcher is destroyed.
  Watcher* owner = nullptr;
};

Watcher::Watcher(net::Loop& loop, core::Deadlines& deadlines, net::Wakeup& wakeup, Worker& worker,
                 const WatchSettings& settings, Source::PieceNames piece_names, Evaluate evaluate)
    : deadlines_(deadlines),
      wakeup_(wakeup),
      worker_(worker),
      settings_(settings),
      evaluate_(std::move(evaluate)),
      shared_(std::make_shared<Shared>(settings, std::move(piece_names))) {
  shared_->owner = this;
  if (shared_->inotify.get() < 0) return;
  inotify_watcher_ = std::make_unique<net::IoWatcher>(loop.raw(), shared_->inotify.get(),
                                                      [this](int) { on_inotify_ready(); });
}

Watcher::~Watcher() {
  shared_->owner = nullptr;
  if (next_poll_) deadlines_.cancel(*next_poll_);
}

std::optional<PollResult> Watcher::poll_until_settled(core::Time timeout) {
  const core::Time deadline = net::unix_now() + timeout;
  for (;;) {
    PollResult result = shared_->source.poll();
    const bool is_settled =
        result.observation == Observation::changed || result.observation == Observation::unreadable;
    if (is_settled) return result;
    if (net::unix_now() >= deadline) return std::nullopt;
    std::this_thread::sleep_for(std::chrono::microseconds(settings_.settle_time));
  }
}

void Watcher::start() {
  if (inotify_watcher_) inotify_watcher_->want(EV_READ);
  start_poll();
}

void Watcher::poll_now() {
  if (is_polling_) {
    must_poll_again_ = true;
  } else {
    schedule_poll(0);
  }
}

void Watcher::schedule_poll(core::Time at) {
  if (next_poll_ && next_poll_at_ <= at) return;
  if (next_poll_) deadlines_.cancel(*next_poll_);
  next_poll_at_ = at;
  next_poll_ = deadlines_.set(at, [this] {
    next_poll_.reset();
    start_poll();
  });
}

Watcher::WatchedNames Watcher::add_watches(int inotify, const std::vector<WatchedEntry>& entries) {
  WatchedNames watched;
  for (const auto& entry : entries) {
    if (inotify < 0) {
      watched.is_complete = false;
      continue;
    }
    const int descriptor = ::inotify_add_watch(inotify, entry.directory.c_str(), kWatchedEvents);
    if (descriptor >= 0) {
      watched.by_descriptor[descriptor].insert(entry.name);
    } else if (errno != ENOENT && errno != ENOTDIR) {
      watched.is_complete = false;
    }
  }
  return watched;
}

// Only one poll runs at a time, because the evaluation of its content may depend on the result that
// the previous poll has applied.
void Watcher::start_poll() {
  if (std::exchange(is_polling_, true)) {
    must_poll_again_ = true;
    return;
  }
  ++counters_.polls;
  const bool is_accepted =
      worker_.submit([shared = shared_, evaluate = evaluate_, &wakeup = wakeup_] {
        PollResult result = shared->source.poll();
        WatchedNames watched = add_watches(shared->inotify.get(), result.entries);
        const Observation observation = result.observation;
        Apply apply;
        if (observation == Observation::changed || observation == Observation::unreadable) {
          apply = evaluate(std::move(result));
        }
        wakeup.post([shared, observation, watched = std::move(watched), apply = std::move(apply)] {
          if (shared->owner) shared->owner->on_poll_done(watched, observation, apply);
        });
      });
  if (is_accepted) return;
  is_polling_ = false;
  schedule_poll(net::unix_now() + settings_.poll_interval);
}

void Watcher::replace_watches(WatchedNames watched) {
  for (const auto& [descriptor, names] : watched_.by_descriptor) {
    const bool is_watched = watched.by_descriptor.contains(descriptor);
    if (!is_watched) ::inotify_rm_watch(shared_->inotify.get(), descriptor);
  }
  watched_ = std::move(watched);
}

void Watcher::on_poll_done(WatchedNames watched, Observation observation, const Apply& apply) {
  is_polling_ = false;
  replace_watches(std::move(watched));
  if (!watched_.is_complete) ++counters_.watch_failures;
  if (observation == Observation::changed) ++counters_.changed;
  if (observation == Observation::unreadable) ++counters_.unreadable;
  if (observation == Observation::unsettled) ++counters_.unsettled;
  if (apply) apply();
  const core::Time now = net::unix_now();
  if (std::exchange(must_poll_again_, false)) {
    schedule_poll(now);
  } else if (observation == Observation::unsettled) {
    schedule_poll(now + settings_.settle_time);
  } else {
    schedule_poll(now + settings_.poll_interval);
  }
}

bool Watcher::concerns_path(int descriptor, std::uint32_t mask, const char* name) const {
  const auto watched = watched_.by_descriptor.find(descriptor);
  if (watched == watched_.by_descriptor.end()) return (mask & IN_Q_OVERFLOW) != 0;
  if (mask & kDirectoryEvents) return true;
  const auto& names = watched->second;
  return names.contains("") || names.contains(name);
}

void Watcher::on_inotify_ready() {
  alignas(inotify_event) char buffer[kEventBufferBytes];
  bool must_poll = false;
  for (int read_count = 0; read_count < kMaxReadsPerTurn; ++read_count) {
    const ssize_t size = ::read(shared_->inotify.get(), buffer, sizeof buffer);
    if (size <= 0) break;
    for (ssize_t offset = 0; offset < size;) {
      inotify_event event;
      std::memcpy(&event, buffer + offset, sizeof event);
      const char* name = event.len ? buffer + offset + sizeof event : "";
      ++counters_.events;
      must_poll |= concerns_path(event.wd, event.mask, name);
      offset += static_cast<ssize_t>(sizeof event + event.len);
    }
  }
  if (must_poll) poll_now();
}

}  // namespace alderspur::file_watch

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

constexpr std::uint32_t kMask = IN_CREATE | IN_MOVED_TO | IN_MOVED_FROM | IN_DELETE | IN_MODIFY |
                                IN_CLOSE_WRITE | IN_ATTRIB | IN_DELETE_SELF | IN_MOVE_SELF |
                                IN_ONLYDIR;
constexpr std::uint32_t kAlways =
    IN_Q_OVERFLOW | IN_IGNORED | IN_DELETE_SELF | IN_MOVE_SELF | IN_UNMOUNT;
constexpr int kReadsAtOnce = 16;

}  // namespace

// Outlives the watcher while a job of it runs.
struct Watcher::Shared {
  Shared(const WatchSettings& s, Source::Pieces pieces)
      : source(s.path, s.most_bytes, std::move(pieces)),
        inotify(::inotify_init1(IN_NONBLOCK | IN_CLOEXEC)) {}
  Source source;  // of the worker, once started
  net::Fd inotify;
  Watcher* owner = nullptr;  // of the loop's thread; null: gone
};

Watcher::Watcher(net::Loop& loop, core::Deadlines& deadlines, net::Wakeup& wakeup, Worker& worker,
                 const WatchSettings& settings, Source::Pieces pieces, Judge judge)
    : deadlines_(deadlines),
      wakeup_(wakeup),
      worker_(worker),
      settings_(settings),
      judge_(std::move(judge)),
      shared_(std::make_shared<Shared>(settings, std::move(pieces))) {
  shared_->owner = this;
  if (shared_->inotify.get() >= 0) {
    ready_ = std::make_unique<net::IoWatcher>(loop.raw(), shared_->inotify.get(),
                                              [this](int) { events(); });
  }
}
Watcher::~Watcher() {
  shared_->owner = nullptr;
  if (next_) deadlines_.cancel(*next_);
}

std::optional<LookResult> Watcher::first(core::Time longest) {
  const core::Time end = net::unix_now() + longest;
  for (;;) {
    LookResult look = shared_->source.look();
    if (look.sight == Observation::content || look.sight == Observation::unreadable) return look;
    if (net::unix_now() >= end) return {};
    std::this_thread::sleep_for(std::chrono::microseconds(settings_.settle));
  }
}

void Watcher::start() {
  if (ready_) ready_->want(EV_READ);
  submit();
}
void Watcher::look_now() {
  if (out_) {
    again_ = true;
  } else {
    schedule(0);
  }
}

void Watcher::schedule(core::Time at) {
  if (next_ && next_at_ <= at) return;
  if (next_) deadlines_.cancel(*next_);
  next_at_ = at;
  next_ = deadlines_.set(at, [this] {
    next_.reset();
    submit();
  });
}

// One look at a time: what is seen next is judged against what this one brought into force.
void Watcher::submit() {
  if (std::exchange(out_, true)) {
    again_ = true;
    return;
  }
  ++counters_.looks;
  const bool given = worker_.submit([shared = shared_, judge = judge_, &wakeup = wakeup_] {
    LookResult look = shared->source.look();
    Watched watched;
    for (std::size_t i = 0; i < look.directories.size(); ++i) {
      const int fd = shared->inotify.get();
      const int wd = fd < 0 ? -1 : ::inotify_add_watch(fd, look.directories[i].c_str(), kMask);
      if (wd >= 0) {
        watched.names[wd].insert(look.names[i]);
      } else if (fd < 0 || (errno != ENOENT && errno != ENOTDIR)) {
        watched.complete = false;
      }
    }
    const Observation sight = look.sight;
    Apply apply;
    if (sight == Observation::content || sight == Observation::unreadable) {
      apply = judge(std::move(look));
    }
    wakeup.post([shared, sight, watched = std::move(watched), apply = std::move(apply)] {
      if (shared->owner) shared->owner->took(watched, sight, apply);
    });
  });
  if (given) return;
  out_ = false;
  schedule(net::unix_now() + settings_.poll);
}

void Watcher::took(Watched watched, Observation sight, const Apply& apply) {
  out_ = false;
  // Watches on directories that the path no longer leads through only make noise.
  for (const auto& [wd, names] : watched_.names) {
    if (!watched.names.contains(wd)) ::inotify_rm_watch(shared_->inotify.get(), wd);
  }
  watched_ = std::move(watched);
  if (!watched_.complete) ++counters_.no_watch;
  if (sight == Observation::content) ++counters_.contents;
  if (sight == Observation::unreadable) ++counters_.unreadable;
  if (sight == Observation::unsettled) ++counters_.unsettled;
  if (apply) apply();
  const core::Time now = net::unix_now();
  if (std::exchange(again_, false)) {
    schedule(now);
  } else {
    schedule(now + (sight == Observation::unsettled ? settings_.settle : settings_.poll));
  }
}

bool Watcher::concerns(int descriptor, std::uint32_t mask, const char* name) const {
  const auto it = watched_.names.find(descriptor);
  if (it == watched_.names.end()) return (mask & IN_Q_OVERFLOW) != 0;
  if (mask & kAlways) return true;
  return it->second.contains("") || it->second.contains(name);
}

void Watcher::events() {
  alignas(inotify_event) char buffer[16384];
  bool ours = false;
  for (int i = 0; i < kReadsAtOnce; ++i) {
    const ssize_t n = ::read(shared_->inotify.get(), buffer, sizeof buffer);
    if (n <= 0) break;
    for (ssize_t at = 0; at < n;) {
      inotify_event event;
      std::memcpy(&event, buffer + at, sizeof event);
      const char* name = event.len ? buffer + at + sizeof event : "";
      ++counters_.events;
      ours |= concerns(event.wd, event.mask, name);
      at += static_cast<ssize_t>(sizeof event + event.len);
    }
  }
  if (ours) look_now();
}

}  // namespace alderspur::file_watch

// Watches one path on the loop and has it read and judged on a worker when it has changed.
//
// inotify tells of changes through the loop: entries of every directory that the path leads
// through, symlinks included, so that a swap of a parent directory shows as well. A slow poll runs
// beside it, for file systems that tell nothing and for watches that ran out. The loop's thread
// only takes events, sets deadlines and applies results; every call on the watched files is made by
// the worker.
//
// A change is looked at when it is told and again after `settle`; two equal looks make it settled.
// `judge` runs on the worker with what was read, and what it returns runs on the loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/deadlines.h"
#include "file_watch/source.h"
#include "file_watch/worker.h"
#include "net/connection.h"
#include "net/loop.h"
#include "net/wakeup.h"

namespace alderspur::file_watch {

struct WatchSettings {
  std::string path;
  core::Time settle = 30'000, poll = 500'000;
  std::size_t most_bytes = 16 << 20;
};
using Apply = std::function<void()>;
using Judge = std::function<Apply(LookResult&&)>;

struct WatchCounters {
  std::uint64_t events = 0, looks = 0, contents = 0, unreadable = 0, unsettled = 0, no_watch = 0;
};

class Watcher {
 public:
  Watcher(net::Loop& loop, core::Deadlines& deadlines, net::Wakeup& wakeup, Worker& worker,
          const WatchSettings& settings, Source::Pieces pieces, Judge judge);
  ~Watcher();
  // Looks until the path has settled, on this thread, before start(). Blocks for `longest` at most;
  // nothing if it has not settled by then.
  std::optional<LookResult> first(core::Time longest);
  void start();
  void look_now();  // as if an event had come
  const WatchCounters& counters() const { return counters_; }

 private:
  struct Shared;
  struct Watched {
    std::map<int, std::set<std::string>> names;  // by watch descriptor; "" matches all
    bool complete = true;
  };
  void schedule(core::Time at);
  void submit();
  void took(Watched watched, Observation sight, const Apply& apply);
  void events();
  bool concerns(int descriptor, std::uint32_t mask, const char* name) const;

  core::Deadlines& deadlines_;
  net::Wakeup& wakeup_;
  Worker& worker_;
  const WatchSettings settings_;
  Judge judge_;
  std::shared_ptr<Shared> shared_;  // with jobs under way
  std::unique_ptr<net::IoWatcher> ready_;
  Watched watched_;
  std::optional<core::Deadlines::Key> next_;
  core::Time next_at_ = 0;
  bool out_ = false, again_ = false;
  WatchCounters counters_;
};

}  // namespace alderspur::file_watch

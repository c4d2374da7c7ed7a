// Watches a path and evaluates its content whenever that has changed.
//
// inotify reports changes to the event loop: of the entries of every directory that the path leads
// through, symlinks included, so that a replaced parent directory is noticed as well. A slow poll
// runs beside it, for file systems without events and for when watches have run out. The loop's
// thread takes events, sets deadlines and applies results; every call on the watched files is made
// by the worker.
//
// The path is polled at once after an event, and again after `settle_time`: content that is the
// same in both polls has settled.
#pragma once

#include <cstdint>
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

/// What to watch and how often. Times in microseconds.
struct WatchSettings {
  std::string path;
  core::Time settle_time = 30'000;
  core::Time poll_interval = 500'000;
  std::size_t max_bytes = 16 << 20;  // of all files together
};

/// Puts the result of an evaluation into effect, on the loop's thread. May be empty.
using Apply = std::function<void()>;
/// Evaluates content that has changed or cannot be read, on the worker's thread.
using Evaluate = std::function<Apply(PollResult&&)>;

/// Totals since the start.
struct WatchCounters {
  std::uint64_t events = 0;  // of inotify
  std::uint64_t polls = 0;
  std::uint64_t changed = 0;         // polls that returned new content
  std::uint64_t unreadable = 0;      // polls that could not read a file
  std::uint64_t unsettled = 0;       // polls that found a change under way
  std::uint64_t watch_failures = 0;  // polls after which inotify does not cover all directories
};

/// Belongs to the loop's thread. The worker may outlive it.
class Watcher {
 public:
  Watcher(net::Loop& loop, core::Deadlines& deadlines, net::Wakeup& wakeup, Worker& worker,
          const WatchSettings& settings, Source::PieceNames piece_names, Evaluate evaluate);
  ~Watcher();

  /// Polls on the calling thread until the path has settled. Nothing if it has not settled within
  /// the timeout, in microseconds. To be called before start().
  std::optional<PollResult> poll_until_settled(core::Time timeout);

  /// Begins to watch.
  void start();

  /// Polls as if an event had come.
  void poll_now();

  const WatchCounters& counters() const { return counters_; }

 private:
  struct Shared;
  /// Which names concern the path, by inotify's watch descriptor; "" stands for every name.
  struct WatchedNames {
    std::map<int, std::set<std::string>> by_descriptor;
    bool is_complete = true;  // false: inotify does not cover all directories
  };

  static WatchedNames add_watches(int inotify, const std::vector<WatchedEntry>& entries);

  void schedule_poll(core::Time at);
  void start_poll();
  void on_poll_done(WatchedNames watched, Observation observation, const Apply& apply);
  void on_inotify_ready();
  bool concerns_path(int descriptor, std::uint32_t mask, const char* name) const;
  void replace_watches(WatchedNames watched);

  core::Deadlines& deadlines_;
  net::Wakeup& wakeup_;
  Worker& worker_;
  const WatchSettings settings_;
  const Evaluate evaluate_;
  std::shared_ptr<Shared> shared_;  // with the job that is running
  std::unique_ptr<net::IoWatcher> inotify_watcher_;
  WatchedNames watched_;
  std::optional<core::Deadlines::Key> next_poll_;
  core::Time next_poll_at_ = 0;
  bool is_polling_ = false;       // the worker has a poll to do
  bool must_poll_again_ = false;  // an event came meanwhile
  WatchCounters counters_;
};

}  // namespace alderspur::file_watch

// Watches a path and evaluates its content each time the content has changed.
//
// inotify reports changes of the entries in every directory on the path, including the targets of
// symlinks, so that a replaced parent directory is detected as well. The path is also polled at a
// longer interval, for file systems without inotify events and for the case that no more watches
// can be added. The event loop's thread receives events, sets deadlines and applies results. The
// worker thread makes every system call on the watched files.
//
// The path is polled immediately after an event and again after `settle_time`. Content that is the
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

/// The path to watch and the polling intervals. Times are in microseconds.
struct WatchSettings {
  std::string path;
  core::Time settle_time = 30'000;  // between the polls that determine whether content has settled
  core::Time poll_interval = 500'000;  // between polls without events
  std::size_t max_bytes = 16 << 20;    // limit for all files together
};

/// Applies the result of an evaluation, on the event loop's thread. May be empty.
using Apply = std::function<void()>;
/// Evaluates content that has changed or cannot be read, on the worker thread.
using Evaluate = std::function<Apply(PollResult&&)>;

/// Counters since the watcher was created.
struct WatchCounters {
  std::uint64_t events = 0;  // inotify events
  std::uint64_t polls = 0;
  std::uint64_t changed = 0;         // polls that returned new content
  std::uint64_t unreadable = 0;      // polls that could not read a file
  std::uint64_t unsettled = 0;       // polls that found files which had not settled
  std::uint64_t watch_failures = 0;  // polls after which inotify did not cover all directories
};

/// Watches one path. Call all functions on the event loop's thread. The worker may outlive the
/// watcher.
class Watcher {
 public:
  Watcher(net::Loop& loop, core::Deadlines& deadlines, net::Wakeup& wakeup, Worker& worker,
          const WatchSettings& settings, Source::PieceNames piece_names, Evaluate evaluate);
  ~Watcher();

  /// Polls on the calling thread until the path has settled. Returns nothing if it has not settled
  /// within `timeout` microseconds. Call this before start().
  std::optional<PollResult> poll_until_settled(core::Time timeout);

  /// Starts to watch the path, beginning with a poll.
  void start();

  /// Polls as if an inotify event had been received. If a poll is running, another one follows it.
  void poll_now();

  const WatchCounters& counters() const { return counters_; }

 private:
  struct Shared;
  /// The names of the directory entries that concern the path, by inotify watch descriptor. The
  /// empty name stands for every entry.
  struct WatchedNames {
    std::map<int, std::set<std::string>> by_descriptor;
    bool is_complete = true;  // whether inotify covers all directories
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
  std::shared_ptr<Shared> shared_;  // shared with the running job
  std::unique_ptr<net::IoWatcher> inotify_watcher_;
  WatchedNames watched_;
  std::optional<core::Deadlines::Key> next_poll_;
  core::Time next_poll_at_ = 0;
  bool is_polling_ = false;       // a poll is queued or running at the worker
  bool must_poll_again_ = false;  // an event was received during the poll
  WatchCounters counters_;
};

}  // namespace alderspur::file_watch

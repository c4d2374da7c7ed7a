// Coordinates this process with others of the same router: the one that it replaces, or the one
// that replaces it. Also the way to the bans that they share.
//
// A worker thread polls the shared directory every kPollInterval and posts what it found to the
// event loop. The loop never waits for the disk, with one bounded exception at the start, before
// the process listens (kStartTimeout): the bans must apply to the first request that is sent, and a
// process that is already there must first have made room in the slow-start budgets.
//
// Budgets: each process holds a share of what the router may do and publishes it. It lowers its
// share at once and publishes that afterwards; it raises its share only into what the published
// shares of the others leave free, and uses the raise only once it is published. The sum of all
// shares in use therefore never exceeds 1, whichever process stalls or is killed in between. The
// wanted share follows each process's request rate. A new process starts with none and serves once
// all others have found it, or after kRegistrationTimeout.
//
// All functions are for the event loop's thread. Times are microseconds.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/deadlines.h"
#include "file_watch/worker.h"
#include "hot_restart/ban_store.h"
#include "hot_restart/shared_directory.h"
#include "net/wakeup.h"

namespace alderspur::hot_restart {

constexpr core::Time kPollInterval = 150'000;
constexpr core::Time kRegistrationTimeout = 700'000;  // to be found by the other processes
constexpr core::Time kStartTimeout = 1'500'000;       // for the first poll of the directory

/// One process's part in the coordination.
class HotRestartCoordinator {
 public:
  /// Receives each log event with its text.
  using LogSink = std::function<void(const std::string& event, const std::string& text)>;
  /// The load of this process.
  struct Load {
    std::uint64_t admitted_requests = 0;  // since the start of the process
    double concurrency_limit = 0;         // see alderspur::BudgetShare
  };
  /// What the coordinator asks of its owner and reports to it.
  struct Callbacks {
    std::function<Load()> measure_load;
    std::function<void(const BanChange&)> on_ban_changed;
    /// The set of peers, or this process's share, has changed.
    std::function<void(const PeerSummary&, double share)> on_peers_changed;
  };
  /// Called once; without an error, the change is on the disk.
  using SaveCallback = std::function<void(const std::optional<SharedDirectoryError>& error)>;

  /// With an empty `directory` there are no peers, and bans live only as long as this process.
  HotRestartCoordinator(net::Loop& loop, core::Deadlines& deadlines,
                        std::function<core::Time()> now, const std::string& directory,
                        std::string_view key, LogSink log, Callbacks callbacks);
  ~HotRestartCoordinator();
  HotRestartCoordinator(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator& operator=(const HotRestartCoordinator&) = delete;

  /// This process accepts clients from now on.
  void start_serving();
  /// Whether start_serving() has been published; true at once without a directory.
  bool is_published() const { return is_published_; }
  /// A planned shutdown has begun: polls at once for a successor.
  void start_draining();
  /// Before the destructor: false if the disk hangs, so that the worker thread cannot be joined and
  /// the process has to end without it.
  bool stop_worker();
  /// The other processes as the last poll has found them.
  const PeerSummary& peers() const { return peers_; }
  /// This process's share of the router's budgets, 0 to 1.
  double share() const { return status_.share; }

  /// Bans a server manually or lifts its ban. Takes effect here at once, even if it cannot be
  /// saved.
  void change_ban(const BanChange& change, const SaveCallback& done);
  /// The banned servers as last read from the disk.
  const std::set<std::string>& saved_bans() const { return bans_.saved_list().servers; }
  /// Whether a ban of the server is in effect here.
  bool is_banned(const std::string& server) const { return bans_.is_banned(server); }
  /// Whether no change of this server waits for the disk.
  bool is_saved(const std::string& server) const { return bans_.is_saved(server); }
  /// Whether no further change can be accepted now.
  bool is_full() const { return bans_.is_full(); }

 private:
  /// What the worker found, and the status that it published.
  struct PollResult {
    PeerSummary peers;
    ProcessStatus published;
    BanReadResult bans;
    std::optional<SharedDirectoryError> error;
  };
  static PollResult register_process(SharedDirectory& directory);
  static PollResult poll(SharedDirectory& directory, const ProcessStatus& status,
                         double wanted_share, const BanList& known_bans);
  void begin();
  void schedule_poll();
  void start_poll();
  void handle(const PollResult& result);
  double wanted_share() const;
  void measure_load();
  void log_if_new(const std::string& problem, std::string& last_problem);
  void report_ban_changes();
  void save(const BanChange& change, const SaveCallback& done);
  void finish_save(const BanChangeResult& result, const SaveCallback& done);

  core::Deadlines& deadlines_;
  std::function<core::Time()> now_;
  LogSink log_;
  Callbacks callbacks_;
  std::shared_ptr<SharedDirectory> directory_;  // used on the worker's thread only
  BanStore bans_;
  PeerSummary peers_;
  ProcessStatus status_;
  double request_rate_ = 0;  // smoothed, per second
  std::uint64_t admitted_requests_ = 0;
  core::Time measured_at_ = 0;
  bool is_published_ = true;
  bool is_polling_ = false;
  std::string last_poll_problem_;  // empty: the last poll had none
  std::string last_save_problem_;  // the same for saves
  core::Deadlines::Key next_poll_{};
  std::unique_ptr<net::Wakeup> wakeup_;
  // Last, so that it ends first: its jobs use the members above.
  std::unique_ptr<file_watch::Worker> worker_;
};

}  // namespace alderspur::hot_restart

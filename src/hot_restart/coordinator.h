// Coordinates this process with the other processes of the same router during a hot restart: the
// process that it replaces, or the process that replaces it. Also stores and reads the bans that
// these processes share.
//
// A worker thread polls the shared directory every kPollInterval and posts the result to the event
// loop. The loop never waits for the disk, with one bounded exception at the start, before the
// process listens (kStartTimeout). The bans must apply to the first request that is sent, and a
// process that is already running must first have released part of the slow-start budgets.
//
// Each process holds a share of the router's budgets and publishes it. A process lowers its share
// immediately and publishes the lower share afterwards. It raises its share only by what the
// published shares of the other processes leave free, and uses the raise only once it is published.
// The sum of all shares in use therefore never exceeds 1, even if a process stalls or is killed in
// between. The wanted share is proportional to the process's request rate. A new process starts
// without a share and serves once all other processes have found it, or after kRegistrationTimeout.
//
// Call all functions on the event loop's thread. Times are in microseconds.
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

/// The time between two polls of the shared directory.
constexpr core::Time kPollInterval = 150'000;
/// A new process waits for at most this time until the other processes have found it.
constexpr core::Time kRegistrationTimeout = 700'000;
/// The start waits for at most this time for the first poll of the shared directory.
constexpr core::Time kStartTimeout = 1'500'000;

/// Represents one process in the coordination with the router's other processes.
class HotRestartCoordinator {
 public:
  /// Receives each log event with its text.
  using LogSink = std::function<void(const std::string& event, const std::string& text)>;
  /// The measured load of this process.
  struct Load {
    std::uint64_t admitted_requests = 0;  // since the start of the process
    double concurrency_limit = 0;         // see alderspur::BudgetShare
  };
  /// Functions of the owner that the coordinator calls. All of them must be set.
  struct Callbacks {
    std::function<Load()> measure_load;
    std::function<void(const BanChange&)> on_ban_changed;
    /// Called when the set of peers or this process's share has changed.
    std::function<void(const PeerSummary&, double share)> on_peers_changed;
  };
  /// Called once, when a change has been saved or has failed to be saved. Without an error, the
  /// change is stored on the disk.
  using SaveCallback = std::function<void(const std::optional<SharedDirectoryError>& error)>;

  /// If `directory` is empty, there are no peers, and bans are lost when this process ends.
  HotRestartCoordinator(net::Loop& loop, core::Deadlines& deadlines,
                        std::function<core::Time()> now, const std::string& directory,
                        std::string_view key, LogSink log, Callbacks callbacks);
  ~HotRestartCoordinator();
  HotRestartCoordinator(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator& operator=(const HotRestartCoordinator&) = delete;

  /// Publishes that this process accepts clients from now on.
  void start_serving();
  /// Reports whether it has been published that this process serves, see start_serving(). Always
  /// true without a directory.
  bool is_published() const { return is_published_; }
  /// Publishes that a graceful shutdown has begun, and polls immediately for a successor.
  void start_draining();
  /// Stops the worker thread. Call this before the destructor. Returns false if the disk does not
  /// respond, so that the thread cannot be joined and the process has to end without joining it.
  bool stop_worker();
  /// Returns the other processes that the last poll found.
  const PeerSummary& peers() const { return peers_; }
  /// Returns this process's share of the router's budgets, 0 to 1.
  double share() const { return status_.share; }

  /// Bans a server manually or lifts its ban. The change takes effect in this process immediately,
  /// even if it cannot be saved.
  void change_ban(const BanChange& change, const SaveCallback& done);
  /// Returns the banned servers in the newest list that is known to be stored on the disk.
  const std::set<std::string>& saved_bans() const { return bans_.saved_list().servers; }
  /// Reports whether a ban of the server is in effect in this process.
  bool is_banned(const std::string& server) const { return bans_.is_banned(server); }
  /// Reports whether every change of this server is stored on the disk.
  bool is_saved(const std::string& server) const { return bans_.is_saved(server); }
  /// Reports whether the change can be accepted at present.
  bool has_room_for(const BanChange& change) const { return bans_.has_room_for(change); }

 private:
  /// The result of one poll by the worker thread, with the status that the poll published.
  struct PollResult {
    PeerSummary peers;
    ProcessStatus published;
    BanReadResult bans;
    std::optional<SharedDirectoryError> error;
  };
  static PollResult register_process(SharedDirectory& directory);
  static PollResult poll(SharedDirectory& directory, const ProcessStatus& status,
                         double wanted_share, const BanList& known_bans);
  void run_first_poll();
  void schedule_poll();
  void start_poll();
  void apply_poll_result(const PollResult& result);
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
  std::string last_poll_problem_;  // empty if the last poll succeeded
  std::string last_save_problem_;  // empty if the last save succeeded
  core::Deadlines::Key next_poll_{};
  std::unique_ptr<net::Wakeup> wakeup_;
  // Declared last so that it is destroyed first, because its jobs use the members above.
  std::unique_ptr<file_watch::Worker> worker_;
};

}  // namespace alderspur::hot_restart

// Runs the replica of manual bans and purges that all routers of a cluster share: connects it with
// the cluster's transport, with the router that applies its decisions, and with its file.
//
// Threads: the loop's thread owns the Replica. A worker reads and writes the file, so that a disk
// that hangs does not hold the loop.
// Storage: one file with the bans and all operations on them that this router has seen, replaced
// atomically. So a ban that was lifted while this router was down is lifted here as well, and any
// other ban is not lost.
// Errors: a file that cannot be read or written is logged, once while it lasts; the write is
// retried with the next event, at least every `compare_interval`.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/cluster_service.h"
#include "file_watch/worker.h"
#include "net/wakeup.h"
#include "replication/replica.h"
#include "store/state_file.h"

namespace alderspur::control {

/// The replica of one router; constructed and used on the loop's thread.
class ReplicationService {
 public:
  /// Begins to read the file; the replica starts on the loop once it has been read. `router`,
  /// `cluster` and `log` must outlive the service.
  ReplicationService(edge_router::EdgeRouter& router, ClusterService& cluster,
                     const settings::Cluster& settings, log::Log& log);
  ~ReplicationService();
  ReplicationService(const ReplicationService&) = delete;
  ReplicationService& operator=(const ReplicationService&) = delete;

  /// Waits a short time for the worker. False: its disk hangs, and the process can only be ended by
  /// _exit().
  bool stop_worker();

 private:
  void subscribe_to_router();
  void subscribe_to_cluster();
  void load_stored_bans();
  /// Starts the replica. `stored_payload` is empty where there is no file or it cannot be read;
  /// `error` then says why not.
  void start_replica(const std::optional<std::string>& stored_payload, const std::string& error);
  void apply_replicated_bans();
  void handle_local_ban(const hot_restart::BanChange& change);
  void retry_unreplicated_bans();
  bool is_ban_replicated(const std::string& server) const;
  void handle(const replication::Event& event);
  void perform(const replication::Action& action);
  void apply_ban(const replication::SetBan& ban);
  void apply_purge(const replication::PurgeFloor& floor);
  void apply_global_purge(core::Time at);
  bool may_have_copies_from_before(core::Time purged_at) const;
  void schedule_tick();
  void save();
  void finish_save(std::uint64_t digest, const std::optional<store::FileError>& error);
  void write_view(json::Writer& writer) const;

  edge_router::EdgeRouter& router_;
  ClusterService& cluster_;
  log::Log& log_;
  const std::string path_;  // empty: nothing is stored
  const core::Time purge_propagation_time_;
  std::unique_ptr<replication::Replica> replica_;
  std::vector<std::string> peers_;
  std::vector<hot_restart::BanChange> pending_changes_;  // made before the file was read
  std::set<std::string> unreplicated_bans_;              // they hold at this router only
  bool has_started_ = false;
  bool is_applying_ban_ = false;  // the router's own notice of that ban is then no manual change
  bool is_saving_ = false;
  bool is_save_failing_ = false;    // the last write has failed, which was logged
  std::uint64_t saved_digest_ = 0;  // of the bans that the file holds
  std::optional<core::Deadlines::Key> tick_timer_;
  net::Wakeup wakeup_;
  file_watch::Worker writer_;  // last: its jobs use the members above
};

}  // namespace alderspur::control

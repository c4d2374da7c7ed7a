// Replicates manual bans and purges among all routers of a cluster. Connects the Replica, which
// does no I/O, to the cluster transport, to the router that applies its decisions, and to its file.
//
// Threads: the event loop's thread owns the Replica. A worker reads and writes the file, so that a
// disk that does not respond does not block the loop.
// Storage: one file, replaced atomically, contains the bans and all ban operations that this router
// has received. After a restart, a ban that was lifted during the downtime is therefore lifted here
// too, and no other ban is lost.
// Errors: a failed read is logged. The first of consecutive failed writes is logged; the write is
// retried with the next event, which follows after at most `compare_interval`.
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

/// Runs the Replica of one router. Must be constructed and used on the event loop's thread.
class ReplicationService {
 public:
  /// Starts to read the file in the background; the replica starts after the file has been read.
  /// `router`, `cluster` and `log` must outlive this object.
  ReplicationService(edge_router::EdgeRouter& router, ClusterService& cluster,
                     const settings::Cluster& settings, log::Log& log);
  ~ReplicationService();
  ReplicationService(const ReplicationService&) = delete;
  ReplicationService& operator=(const ReplicationService&) = delete;

  /// Stores the bans for the last time, stops the worker and waits a short time for both. Call this
  /// after the event loop has ended. Returns false if the worker is still blocked on its disk; then
  /// only _exit() can end the process.
  bool stop_worker();

 private:
  void subscribe_to_router();
  void subscribe_to_cluster();
  void load_stored_bans();
  /// Starts the replica with the stored bans. `stored_payload` is empty if the file does not exist
  /// or cannot be read; `error` is the reason if it cannot be read.
  void start_replica(const std::optional<std::string>& stored_payload, const std::string& error);
  void apply_replicated_bans();
  void handle_local_ban(const hot_restart::BanChange& change);
  void retry_unreplicated_bans();
  admin::BanReplication ban_replication(const std::string& server) const;
  void handle(const replication::Event& event);
  void perform(const replication::Action& action);
  void apply_ban(const replication::SetBan& ban);
  void apply_purge(const replication::PurgeFloor& floor);
  void apply_global_purge(core::Time at);
  bool may_have_copies_from_before(core::Time purged_at) const;
  void schedule_tick();
  void save();
  void save_final_state();
  void finish_save(std::uint64_t digest, const std::optional<store::FileError>& error);
  void write_view(json::Writer& writer) const;

  edge_router::EdgeRouter& router_;
  ClusterService& cluster_;
  log::Log& log_;
  const std::string path_;  // of the file; empty if bans are not stored
  const core::Time purge_propagation_time_;
  std::uint64_t epoch_ = 0;  // of this process
  std::unique_ptr<replication::Replica> replica_;
  std::vector<std::string> peers_;
  std::vector<hot_restart::BanChange> pending_changes_;  // requested before the file was read
  std::set<std::string> unreplicated_bans_;              // in effect at this router only
  bool has_started_ = false;
  // Set while a replicated ban is applied, so that the router's notification of that ban is not
  // taken for a manual change.
  bool is_applying_ban_ = false;
  bool is_saving_ = false;
  bool is_save_failing_ = false;    // the last write failed, and this was logged
  std::uint64_t saved_digest_ = 0;  // of the bans in the file
  std::optional<core::Deadlines::Key> tick_timer_;
  net::Wakeup wakeup_;
  file_watch::Worker writer_;  // destroyed first: its jobs use the members above
};

}  // namespace alderspur::control

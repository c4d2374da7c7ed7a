// Bans by hand and purges that all routers of a cluster keep alike, in service: the replica with
// its channels, its file and what it binds.
//
// The loop's thread owns the Replica. A worker reads and writes the bans with all that they have
// seen, as one file that is replaced whole: so a ban that was lifted while this router was away is
// lifted here as well, and one that nobody has lifted is never lost. A disk that hangs holds the
// worker only.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "app/cluster_service.h"
#include "file_watch/worker.h"
#include "net/wakeup.h"
#include "replication/replica.h"

namespace alderspur::app {

class ReplicationService {
 public:
  ReplicationService(platform::EdgeRouter& node, ClusterService& cluster,
                     const settings::Cluster& settings, log::Log& log);
  ~ReplicationService();
  bool settle();  // false: the disk hangs, and the process can only be ended by _exit()

 private:
  void begin(std::optional<std::string> kept, const std::string& error);
  void called(const hot_restart::BanChange& change);
  void handle(const replication::Event& event);
  void carry_out(const replication::Action& action);
  void arm();
  void save();
  void view(Writer& w) const;

  platform::EdgeRouter& node_;
  ClusterService& cluster_;
  log::Log& log_;
  const std::string path_;  // empty: nothing is kept
  const core::Time settles_;
  std::unique_ptr<replication::Replica> replica_;
  std::vector<std::string> others_;
  std::vector<hot_restart::BanChange> early_;  // called before the file was read
  bool begun_ = false, binding_ = false, saving_ = false;
  std::uint64_t saved_ = 0;  // the digest of what the file holds
  std::optional<core::Deadlines::Key> due_;
  net::Wakeup wakeup_;
  file_watch::Worker writer_;  // last: its jobs use what stands above
};

}  // namespace alderspur::app

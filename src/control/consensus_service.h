// Runs this router's part in agreeing on versions of the shared configuration: connects the
// ConsensusNode with the cluster's transport, the disk, the router whose shares and files it sets,
// and the operators' calls.
//
// Threads: all of it on the loop's thread. ConsensusStorage and VersionContents have workers for
// what blocks.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "consensus/consensus_node.h"
#include "control/cluster_service.h"
#include "control/consensus_storage.h"
#include "control/request_load.h"
#include "control/version_contents.h"
#include "net/wakeup.h"

namespace alderspur::control {

/// The view of versions as JSON, as GET /control/versions gives it; docs/versions.md explains its
/// fields. `now`: on the monotonic clock, in microseconds.
std::string versions_view(const consensus::NodeStatus& status, const consensus::LeaseTable& leases,
                          core::Time now);

class ConsensusService {
 public:
  /// Begins to load what the disk holds. The router, the cluster and the log must outlive this
  /// object.
  ConsensusService(edge_router::EdgeRouter& router, ClusterService& cluster,
                   const settings::Cluster& settings, VersionFiles files, log::Log& log);
  ~ConsensusService();
  ConsensusService(const ConsensusService&) = delete;
  ConsensusService& operator=(const ConsensusService&) = delete;

  /// Waits a short time for the workers. False: a disk hangs, and the process can only be ended by
  /// _exit().
  bool stop_workers();

 private:
  void subscribe();
  void handle(const consensus::Event& event);
  void schedule_timer();

  void perform(const consensus::SendMessage& action);
  void perform(consensus::WriteLog action);
  void perform(consensus::WriteContent action);
  void perform(const consensus::CheckContent& action);
  void perform(const consensus::DeleteContent& action);
  void perform(const consensus::PersistState& action);
  void perform(const consensus::Activate& action);
  void perform(const consensus::ProposalFinished& action);
  void perform(const consensus::LogEvent& action);

  bool is_another_version(const consensus::ActiveVersion& version) const;
  void apply_shares(const consensus::ActiveVersion& version);
  void report_load();

  admin::HttpReply on_admin_call(std::string_view path, std::string_view query,
                                 const std::string& body);
  admin::HttpReply answer_read(std::string_view path) const;
  admin::HttpReply proposal_result(std::uint64_t nonce) const;
  admin::HttpReply version_content(std::uint64_t number) const;
  admin::HttpReply propose(std::string_view path, std::string_view query, const std::string& body);
  std::string view() const;

  edge_router::EdgeRouter& router_;
  ClusterService& cluster_;
  log::Log& log_;
  const double unleased_share_;  // of each quota, while this router has no lease
  std::mt19937_64 random_;
  consensus::ConsensusNode node_;
  consensus::ActiveVersion active_;
  RequestLoad load_;
  std::uint64_t measured_version_ = 0;  // whose failures load_ counts
  std::deque<consensus::ProposalResult>
      finished_proposals_;  // of this router's operators, the last few
  std::optional<core::Deadlines::Key> timer_;
  std::optional<core::Deadlines::Key> load_timer_;
  // Last, so that they are destroyed first: the jobs of the workers use the wakeup and the members
  // above.
  net::Wakeup wakeup_;
  ConsensusStorage storage_;
  VersionContents contents_;
};

}  // namespace alderspur::control

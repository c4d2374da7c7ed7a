// The participation of this router in the consensus on versions of the shared configuration.
// Connects the ConsensusNode, which does no I/O, to the cluster transport, the disk and the admin
// calls of operators, and applies its decisions to the router: quota shares and the files of the
// active version.
//
// Threads: everything runs on the event loop's thread, except blocking disk operations, which
// ConsensusStorage and VersionContents run on worker threads.
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

/// Returns the versions view as JSON, which is the response to GET /control/versions. `now` is the
/// time of the monotonic clock in microseconds. docs/versions.md describes the fields.
std::string versions_view(const consensus::NodeStatus& status, const consensus::LeaseTable& leases,
                          core::Time now);

/// Runs the ConsensusNode of this router: delivers events to it and performs the actions that it
/// returns.
class ConsensusService {
 public:
  /// Starts to load the stored state in the background. `router`, `cluster` and `log` must outlive
  /// this object.
  ConsensusService(edge_router::EdgeRouter& router, ClusterService& cluster,
                   const settings::Cluster& settings, VersionFiles files, log::Log& log);
  ~ConsensusService();
  ConsensusService(const ConsensusService&) = delete;
  ConsensusService& operator=(const ConsensusService&) = delete;

  /// Stops the workers one after another and waits a short time for each. Returns false as soon as
  /// one of them is still blocked on its disk; then only _exit() can end the process.
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

  bool differs_from_active(const consensus::ActiveVersion& version) const;
  void apply_shares(const consensus::ActiveVersion& version);
  void report_load();

  admin::HttpReply handle_admin_call(std::string_view path, std::string_view query,
                                     const std::string& body);
  admin::HttpReply handle_read(std::string_view path) const;
  admin::HttpReply proposal_result(std::uint64_t nonce) const;
  admin::HttpReply version_content(std::uint64_t number) const;
  admin::HttpReply propose(std::string_view path, std::string_view query, const std::string& body);
  std::string view() const;

  edge_router::EdgeRouter& router_;
  ClusterService& cluster_;
  log::Log& log_;
  const double unleased_share_;  // fraction of each quota that this router uses without a lease
  std::mt19937_64 random_;
  consensus::ConsensusNode node_;
  consensus::ActiveVersion active_;
  RequestLoad load_;
  std::uint64_t measured_version_ = 0;  // the version whose failure ratio load_ measures
  // The results of the latest proposals that operators made at this router, oldest first.
  std::deque<consensus::ProposalResult> finished_proposals_;
  std::optional<core::Deadlines::Key> timer_;
  std::optional<core::Deadlines::Key> load_timer_;
  // Declared last, so that they are destroyed first: the jobs of the workers use the members above
  // and the wakeup.
  net::Wakeup wakeup_;
  ConsensusStorage storage_;
  VersionContents contents_;
};

}  // namespace alderspur::control

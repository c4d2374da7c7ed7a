// The state machine with which a router takes part in agreeing on versions of the configuration. It
// passes events to its parts and collects the actions that they request.
//
// It does no I/O, reads no clock and starts no threads. Every call gets the time of a monotonic
// clock; the caller must carry out the actions in their order. Not thread-safe.
//
// The parts:
//   ContentStore   stores contents by digest, has them checked, and fetches them from other routers
//   LeaseClient    requests leases from the leader and decides which version this router acts on
//   ProposalQueue  sends the open proposals of this router's operators
//   Voter          maintains the Raft log and the replicated state; only a few routers are voters
//   Leader         acts at the voter that leads: it grants leases (LeaseTable) and moves the
//                  pending version forward (VersionRollout). An offered version is accepted once a
//                  majority of the voters, and every voter that has a lease and answers in time,
//                  has stored it and found it valid. An accepted version becomes current once every
//                  router has stored it or has lost its lease.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "consensus/content_store.h"
#include "consensus/leader.h"
#include "consensus/lease_client.h"
#include "consensus/node_context.h"
#include "consensus/node_events.h"
#include "consensus/proposal_queue.h"
#include "consensus/voter.h"

namespace alderspur::consensus {

/// One router of the agreement.
class ConsensusNode {
 public:
  /// `seed` starts the random number generator.
  ConsensusNode(ConsensusSettings settings, std::uint64_t seed);
  ConsensusNode(const ConsensusNode&) = delete;
  ConsensusNode& operator=(const ConsensusNode&) = delete;

  /// Handles an event and appends the resulting actions to `actions`.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// Returns the time at which a TimerFired event is due; the maximum before the Start event.
  Time next_deadline() const;

  /// Returns the version that this router acts on.
  const ActiveVersion& active() const { return lease_client_.active(); }
  /// Returns the status for operators.
  NodeStatus status(Time now) const;
  /// Returns true if this router holds the leader lease and has applied all entries that were
  /// committed before its term.
  bool is_leader(Time now) const { return voter_.is_leader(now); }
  const LeaseTable& lease_table() const { return leader_.lease_table(); }
  const AppliedState& applied_state() const { return voter_.applied_state(); }
  /// Returns the Raft instance; null if this router does not take part in Raft now.
  const Raft* raft() const { return voter_.raft(); }
  /// Returns the content of a version if it is still stored, and null otherwise.
  ContentPtr content(std::uint64_t number) const;

 private:
  void on_event(const Start& event);
  void on_event(const MessageReceived& event);
  void on_event(const LogWritten& event);
  void on_event(const ContentWritten& event) { contents_.on_written(event); }
  void on_event(const ContentChecked& event) { contents_.on_checked(event); }
  void on_event(const OperatorProposal& event) { proposals_.add(event); }
  void on_event(const PeersChanged& event) { context_.set_peers(event.names); }
  void on_event(const LoadMeasured& event) { lease_client_.on_load(event); }
  void on_event(const TimerFired& /*event*/) {}

  void on_message(const std::string& from, const RaftFrame& message);
  void on_message(const std::string& from, const LeaseRequest& message);
  void on_message(const std::string& from, const LeaseGrant& message);
  void on_message(const std::string& from, const Redirect& message);
  void on_message(const std::string& from, const FetchRequest& message);
  void on_message(const std::string& from, const ContentChunk& message);
  void on_message(const std::string& from, const ProposeRequest& message);
  void on_message(const std::string& from, const ProposeResponse& message);
  void on_message(const std::string& from, const LogStatus& message);
  void on_message(const std::string& from, const VersionQuery& message);
  void on_message(const std::string& from, const VersionResponse& message);
  void on_message(const std::string& from, const RenewHint& message);
  void on_message(const std::string& from, const CanaryDecision& message);

  void run_due_work();
  void run_parts_once();
  void follow_applied_state();
  void delete_unused_contents();
  // Returns the list of voters: that of the replicated state if it is available here, otherwise the
  // one that the leader last reported, otherwise that of the settings.
  const std::vector<std::string>& voters() const;
  // Returns true if the list of voters contains this router.
  bool is_wanted_voter() const;

  // Members are destroyed in reverse order. `voter_` must be last, because the callbacks of its
  // Raft instance use the other parts while the instance is destroyed.
  NodeContext context_;
  ContentStore contents_;
  LeaseClient lease_client_;
  ProposalQueue proposals_;
  Leader leader_;
  Voter voter_;
  bool has_started_ = false;
};

}  // namespace alderspur::consensus

// One router's part in agreeing on versions of the configuration: it passes events to its parts and
// collects the actions that they ask for.
//
// Values in, values out: no I/O, no clock, no thread. Every call is given the time of a monotonic
// clock; actions are to be carried out in their order. Not thread-safe.
//
// The parts:
//   ContentStore   contents by digest, checked by the existing checkers, fetched from other routers
//   LeaseClient    asks the leader for a lease and decides which version this router acts on
//   ProposalQueue  the open proposals of this router's operators
//   Voter          a few routers hold the log (Raft) and the replicated state
//   Leader         the voter that leads grants the leases (LeaseTable). It has an offered version
//                  accepted once a majority of the voters, and every voter that holds a lease and
//                  answers in time, has stored it and found it valid (VersionRollout); an accepted
//                  version becomes current once every router has stored it or has lost its lease
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

class ConsensusNode {
 public:
  ConsensusNode(ConsensusSettings settings, std::uint64_t seed);
  ConsensusNode(const ConsensusNode&) = delete;
  ConsensusNode& operator=(const ConsensusNode&) = delete;

  /// Appends to `actions`.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// When a TimerFired event is due; the maximum before the start.
  Time next_deadline() const;

  const ActiveVersion& active() const { return lease_client_.active(); }
  NodeStatus status(Time now) const;
  /// True if this router leads and all that was committed before its term is applied.
  bool is_leader(Time now) const { return voter_.is_leader(now); }
  const LeaseTable& lease_table() const { return leader_.lease_table(); }
  const AppliedState& applied_state() const { return voter_.applied_state(); }
  const Raft* raft() const { return voter_.raft(); }  // null unless this router votes
  /// The content of a version, where it is still stored; otherwise null.
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
  void on_message(const std::string& from, const VersionNews& message);
  void on_message(const std::string& from, const RenewHint& message);
  void on_message(const std::string& from, const CanaryDecision& message);

  void run_due_work();
  void run_parts_once();
  void follow_applied_state();
  void delete_unused_contents();
  // Who is to vote: by the replicated state where it is known, else as the leader reported, else by
  // the settings.
  const std::vector<std::string>& voters() const;
  bool is_wanted_voter() const;

  // Members are destroyed last to first; the callbacks of a Raft instance that ends use the parts
  // declared before it.
  NodeContext context_;
  ContentStore contents_;
  LeaseClient lease_client_;
  ProposalQueue proposals_;
  Leader leader_;
  Voter voter_;
  bool has_started_ = false;
};

}  // namespace alderspur::consensus

// What a voter does while it leads: it grants leases, takes proposals, decides on the pending
// version and changes the Raft configuration, and tells the routers that there is news. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "consensus/lease_table.h"
#include "consensus/membership.h"
#include "consensus/node_context.h"
#include "consensus/version_rollout.h"
#include "consensus/voter.h"

namespace alderspur::consensus {

class Leader {
 public:
  Leader(NodeContext& context, Voter& voter)
      : context_(context), voter_(voter), lease_table_(context.settings().lease) {}

  // Requests of routers. If this router does not lead, the answer is a redirect.
  void on_lease_request(const std::string& from, const LeaseRequest& request,
                        const std::vector<std::string>& voters);
  void on_propose_request(const std::string& from, const ProposeRequest& request);
  void on_canary_decision(const std::string& from, const CanaryDecision& decision);

  /// Does what has become due, if this router leads. True in the rounds in which renew hints are
  /// due: this router renews its own lease then as well.
  bool lead(const std::vector<std::string>& voters);

  const LeaseTable& lease_table() const { return lease_table_; }
  Time next_deadline() const;  // the maximum if there is none

 private:
  // How far the newest version is; a change of it is news for all routers.
  enum class Stage { none, offered, accepted, current, canary };
  struct Progress {
    std::uint64_t number = 0;
    Stage stage = Stage::none;
    bool operator==(const Progress&) const = default;
  };

  /// Whether this router leads. What was kept of an earlier term is forgotten first.
  bool leads();
  void redirect(const std::string& to);
  void begin_term_if_new();
  LeaseGrant make_grant(const std::string& router, const LeaseRequest& request) const;
  std::string voter_without_canaries() const;
  bool knows_canaries(const std::string& voter) const;
  void propose(const Command& command);
  Progress progress() const;
  bool send_hints();

  NodeContext& context_;
  Voter& voter_;
  LeaseTable lease_table_;
  Membership membership_;
  VersionRollout version_rollout_;

  // The last proposal.
  std::uint64_t proposed_id_ = 0;  // its nonce or its version number
  std::size_t proposed_kind_ = 0;
  Time proposed_at_ = 0;

  Progress announced_;
  std::deque<std::string> routers_to_hint_;
  Time send_hints_at_ = 0;
};

}  // namespace alderspur::consensus

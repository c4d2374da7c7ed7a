// The part of a ConsensusNode that acts while this router is the Raft leader: it grants leases,
// appends proposals to the log, moves the pending version forward, changes the Raft configuration,
// and notifies the routers of changes. Without leadership it only redirects requests. Not
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

/// The leader's work. `context` and `voter` must outlive this object. Every public call that needs
/// leadership checks it first.
class Leader {
 public:
  Leader(NodeContext& context, Voter& voter)
      : context_(context), voter_(voter), lease_table_(context.settings().lease) {}

  // Handle requests of routers. A router that is not the leader answers with a Redirect.
  void on_lease_request(const std::string& from, const LeaseRequest& request,
                        const std::vector<std::string>& voters);
  void on_propose_request(const std::string& from, const ProposeRequest& request);
  void on_canary_decision(const std::string& from, const CanaryDecision& decision);

  /// Does the work that is due, if this router is the leader. Returns true if it sent renew hints;
  /// this router should then renew its own lease as well.
  bool lead(const std::vector<std::string>& voters);

  const LeaseTable& lease_table() const { return lease_table_; }
  /// Returns the time of the next renew hints; the maximum if none are pending.
  Time next_deadline() const;

 private:
  // The stage that the newest version has reached. Routers are notified when it changes.
  enum class Stage { none, offered, accepted, current, canary };
  struct Progress {
    std::uint64_t number = 0;
    Stage stage = Stage::none;
    bool operator==(const Progress&) const = default;
  };

  // Returns true if this router is the leader. At the first call in a term, discards the state of
  // earlier terms.
  bool check_leadership();
  void redirect(const std::string& to);
  void begin_term_if_new();
  LeaseGrant make_grant(const std::string& router, const LeaseRequest& request) const;
  std::string voter_without_canary_support() const;
  bool supports_canaries(const std::string& voter) const;
  void propose(const Command& command);
  Progress progress() const;
  bool send_hints();

  NodeContext& context_;
  Voter& voter_;
  LeaseTable lease_table_;
  Membership membership_;
  VersionRollout version_rollout_;

  // The last command proposed.
  std::uint64_t proposed_id_ = 0;  // its nonce or version number
  std::size_t proposed_kind_ = 0;  // its index in the Command variant
  Time proposed_at_ = 0;

  Progress announced_;  // the last progress that routers were notified of
  std::deque<std::string> routers_to_hint_;
  Time send_hints_at_ = 0;
};

}  // namespace alderspur::consensus

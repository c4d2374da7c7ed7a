// The open proposals of this router's operators. Each proposal is sent to the leader repeatedly,
// under the same nonce, until its final result is received or its deadline has passed. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "consensus/content_store.h"
#include "consensus/lease_client.h"
#include "consensus/node_context.h"

namespace alderspur::consensus {

/// Sends the proposals and reports their results as ProposalFinished actions. `context`, `contents`
/// and `lease_client` must outlive this object.
class ProposalQueue {
 public:
  ProposalQueue(NodeContext& context, ContentStore& contents, const LeaseClient& lease_client)
      : context_(context), contents_(contents), lease_client_(lease_client) {}

  /// Adds a proposal. An invalid proposal is rejected at once, with the reason.
  void add(const OperatorProposal& proposal);
  /// Finishes the proposal if the response has its final result.
  void on_response(const ProposeResponse& response);
  /// Sends the proposals that are due and rejects those that cannot succeed any more. While no
  /// leader is known, they go to a random one of `voters`.
  void send_due(const std::vector<std::string>& voters);
  /// Returns true if an open proposal has the content with this digest.
  bool uses_digest(const std::string& digest) const;
  /// Returns the next time at which send_due() has work to do; the maximum if there is none.
  Time next_deadline() const;

 private:
  struct OpenProposal {
    ProposeRequest request;
    std::optional<CanaryDecision> decision;  // if set, sent in place of `request`
    Time give_up_at = 0;
    Time send_at = 0;

    bool has_content() const { return request.voters.empty() && !decision; }
  };

  // Return why a proposal is rejected; empty if there is no reason.
  static std::string reason_to_reject_content(const OperatorProposal& proposal,
                                              const std::string& encoded);
  std::string reason_to_give_up(const OpenProposal& proposal) const;
  Version make_version(const OperatorProposal& proposal, const std::string& encoded) const;
  void reject(std::uint64_t nonce, const std::string& reason);
  void send(const OpenProposal& proposal, const std::vector<std::string>& voters);

  NodeContext& context_;
  ContentStore& contents_;
  const LeaseClient& lease_client_;
  std::deque<OpenProposal> proposals_;
  std::uint64_t highest_accepted_ = 0;  // highest version number of a proposal accepted from here
};

}  // namespace alderspur::consensus

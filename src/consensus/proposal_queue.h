// The open proposals of this router's operators: each is sent to the leader again and again, under
// one nonce, until its final result is known or it has taken too long. Not thread-safe.
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

class ProposalQueue {
 public:
  ProposalQueue(NodeContext& context, ContentStore& contents, const LeaseClient& lease_client)
      : context_(context), contents_(contents), lease_client_(lease_client) {}

  /// A proposal that cannot be made is finished at once, with the reason.
  void add(const OperatorProposal& proposal);
  void on_response(const ProposeResponse& response);
  void send_due(const std::vector<std::string>& voters);
  bool uses_digest(const std::string& digest) const;
  Time next_deadline() const;  // the maximum if there is none

 private:
  struct OpenProposal {
    ProposeRequest request;
    std::optional<CanaryDecision> decision;  // instead of a version or voters
    Time give_up_at = 0;
    Time send_at = 0;

    bool has_content() const { return request.voters.empty() && !decision; }
  };

  static std::string reason_against_content(const OperatorProposal& proposal,
                                            const std::string& encoded);
  std::string reason_to_give_up(const OpenProposal& proposal) const;
  Version make_version(const OperatorProposal& proposal, const std::string& encoded) const;
  void finish(std::uint64_t nonce, const std::string& reason);
  void send(const OpenProposal& proposal, const std::vector<std::string>& voters);

  NodeContext& context_;
  ContentStore& contents_;
  const LeaseClient& lease_client_;
  std::deque<OpenProposal> proposals_;
  std::uint64_t highest_accepted_ = 0;  // version number of a proposal made here
};

}  // namespace alderspur::consensus

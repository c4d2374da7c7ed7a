#include "consensus/proposal_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cluster/member.h"
#include "msgpack_codec/document.h"
#include "msgpack_codec/reader.h"
#include "msgpack_codec/writer.h"

namespace alderspur::consensus {
namespace {

constexpr std::size_t kMaxOpenProposals = 8;
constexpr Time kRetryInterval = 150'000;
constexpr Time kMaxProposalTime = 20'000'000;

}  // namespace

void ProposalQueue::reject(std::uint64_t nonce, const std::string& reason) {
  context_.add_action(ProposalFinished{{nonce, false, true, 0, reason}});
}

std::string ProposalQueue::reason_to_reject_content(const OperatorProposal& proposal,
                                                    const std::string& encoded) {
  if (proposal.content.empty() || proposal.content.size() > kMaxDocuments) {
    return "a version must have 1 to 64 documents";
  }
  if (encoded.size() > kMaxContentBytes) return "the documents exceed 16 MiB in total";
  const CanaryRollout& canary = proposal.canary;
  if (canary.routers.size() > kMaxVoters) return "a trial may name at most 7 first routers";
  const bool has_valid_duration = canary.duration > 0 && canary.duration <= kMaxCanaryDuration;
  if (canary.is_active() && !has_valid_duration) {
    return "the duration of a trial must be above 0 and at most one day";
  }
  return {};
}

Version ProposalQueue::make_version(const OperatorProposal& proposal,
                                    const std::string& encoded) const {
  Version version;
  version.digest = content_digest(encoded);
  version.content_size = encoded.size();
  const std::string& author = proposal.author.empty() ? context_.name() : proposal.author;
  version.author = to_printable(author, cluster::kMaxNameLength);
  version.note = to_printable(proposal.note, kMaxNoteLength);
  version.canary = proposal.canary;
  const std::uint64_t newest = std::max(lease_client_.newest_number(), highest_accepted_);
  version.base_number = proposal.base_number.value_or(newest);
  return version;
}

void ProposalQueue::add(const OperatorProposal& proposal) {
  if (proposals_.size() >= kMaxOpenProposals) {
    return reject(proposal.nonce, "too many proposals are open at this router; try again later");
  }
  OpenProposal open;
  open.request.nonce = proposal.nonce;
  open.give_up_at = context_.now() + kMaxProposalTime;
  open.send_at = context_.now();
  if (!proposal.voters.empty()) {
    open.request.voters = proposal.voters;
    const std::size_t count = proposal.voters.size();
    if (count > kMaxVoters || count % 2 == 0) {
      return reject(proposal.nonce, "the number of voters must be 1, 3, 5 or 7");
    }
  } else if (proposal.canary_decision) {
    open.decision = proposal.canary_decision;
    open.decision->nonce = proposal.nonce;
  } else {
    std::string encoded = encode(proposal.content);
    const std::string reason = reason_to_reject_content(proposal, encoded);
    if (!reason.empty()) return reject(proposal.nonce, reason);
    open.request.version = make_version(proposal, encoded);
    const std::string& digest = open.request.version.digest;
    if (!contents_.contains(digest)) contents_.add(digest, std::move(encoded));
  }
  proposals_.push_back(std::move(open));
}

// Empty: the proposal stays open.
std::string ProposalQueue::reason_to_give_up(const OpenProposal& proposal) const {
  const Version& version = proposal.request.version;
  const auto& leader_protocol = lease_client_.leader_protocol_version();
  // A leader whose build does not support canary rollouts would treat the version as an ordinary
  // one, which applies to all routers at once.
  if (version.is_canary() && leader_protocol && *leader_protocol < kProtocolWithCanaries) {
    return "the program of the leader " + lease_client_.leader() + " knows no trials";
  }
  const ContentStore::Entry* entry = contents_.find(version.digest);
  if (proposal.has_content() && entry && entry->is_rejected()) {
    return "refused here: " + entry->rejection_reason;
  }
  if (context_.now() >= proposal.give_up_at) {
    return "no answer from the voters in time; the proposal may still succeed, check the list of "
           "versions";
  }
  return {};
}

void ProposalQueue::send(const OpenProposal& proposal, const std::vector<std::string>& voters) {
  std::string receiver = lease_client_.leader();
  if (receiver.empty() && !voters.empty()) {
    receiver = voters[context_.random_number() % voters.size()];
  }
  const Version& version = proposal.request.version;
  const ContentStore::Entry* entry = contents_.find(version.digest);
  const bool is_stored = !proposal.has_content() || (entry && entry->is_usable());
  const bool may_be_sent = !version.is_canary() || lease_client_.leader_protocol_version();
  if (!is_stored || !may_be_sent || receiver.empty()) return;
  if (proposal.decision) {
    context_.send(receiver, *proposal.decision);
  } else {
    context_.send(receiver, proposal.request);
  }
}

void ProposalQueue::send_due(const std::vector<std::string>& voters) {
  for (auto proposal = proposals_.begin(); proposal != proposals_.end();) {
    const std::string reason = reason_to_give_up(*proposal);
    if (!reason.empty()) {
      reject(proposal->request.nonce, reason);
      proposal = proposals_.erase(proposal);
      continue;
    }
    if (context_.now() >= proposal->send_at) {
      proposal->send_at = context_.now() + kRetryInterval;
      send(*proposal, voters);
    }
    ++proposal;
  }
}

void ProposalQueue::on_response(const ProposeResponse& response) {
  const ProposalResult& result = response.result;
  const auto proposal =
      std::find_if(proposals_.begin(), proposals_.end(),
                   [&](const OpenProposal& open) { return open.request.nonce == result.nonce; });
  if (proposal == proposals_.end() || !result.is_final) return;
  if (result.is_accepted) highest_accepted_ = std::max(highest_accepted_, result.version_number);
  context_.add_action(ProposalFinished{result});
  proposals_.erase(proposal);
}

bool ProposalQueue::uses_digest(const std::string& digest) const {
  return std::any_of(proposals_.begin(), proposals_.end(), [&](const OpenProposal& open) {
    return open.request.version.digest == digest;
  });
}

Time ProposalQueue::next_deadline() const {
  Time next = std::numeric_limits<Time>::max();
  for (const auto& proposal : proposals_) {
    next = std::min({next, proposal.send_at, proposal.give_up_at});
  }
  return next;
}

}  // namespace alderspur::consensus

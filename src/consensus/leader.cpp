#include "consensus/leader.h"

#include <algorithm>
#include <limits>
#include <type_traits>

namespace alderspur::consensus {
namespace {

constexpr Time kReproposeInterval = 1'000'000;
constexpr Time kHintInterval = 5'000;
constexpr std::size_t kMaxHintsPerRound = 32;

// Identifies a command among the commands of its kind: its nonce, or else its version number.
std::uint64_t proposal_id(const Command& command) {
  return std::visit(
      [](const auto& alternative) -> std::uint64_t {
        if constexpr (requires { alternative.nonce; }) {
          if (alternative.nonce != 0) return alternative.nonce;
        }
        if constexpr (requires { alternative.number; }) {
          return alternative.number;
        } else {
          return 0;
        }
      },
      command);
}

}  // namespace

bool Leader::check_leadership() {
  if (!voter_.is_leader(context_.now())) return false;
  begin_term_if_new();
  return true;
}

void Leader::begin_term_if_new() {
  const std::uint64_t term = voter_.raft()->term();
  if (lease_table_.term() == term) return;
  lease_table_.begin_term(context_.now(), term);
  membership_.begin_term();
  version_rollout_.begin_term();
  proposed_id_ = 0;
  announced_ = {};
  context_.log("leads", "term " + std::to_string(term));
}

void Leader::redirect(const std::string& to) { context_.send(to, Redirect{voter_.known_leader()}); }

// ---- Leases

LeaseGrant Leader::make_grant(const std::string& router, const LeaseRequest& request) const {
  const AppliedState& state = voter_.applied_state();
  LeaseGrant grant;
  grant.sent_at = request.sent_at;
  grant.protocol_version = context_.settings().protocol_version;
  grant.current = state.current();
  const Version* pending = state.pending();
  if (!pending) return grant;
  const bool is_accepted = state.accepted().has_value();
  if (is_accepted && pending->canary.includes(router)) {
    grant.current = *pending;
    return grant;
  }
  grant.pending = *pending;
  grant.is_pending_accepted = is_accepted && !state.canary();
  if (grant.is_pending_accepted) grant.pending->canary = {};
  return grant;
}

void Leader::on_lease_request(const std::string& from, const LeaseRequest& request,
                              const std::vector<std::string>& voters) {
  if (!check_leadership()) return redirect(from);
  LeaseGrant grant = make_grant(from, request);
  grant.voters = voters;
  lease_table_.renew(context_.now(), from, request, grant);
  if (grant.id == 0) return;  // the request is outdated or the table is full
  Raft& raft = *voter_.raft();
  const bool is_wanted = std::find(voters.begin(), voters.end(), from) != voters.end();
  if (request.learner_id != 0 && is_wanted &&
      membership_.admit(context_.now(), from, request.learner_id, raft)) {
    grant.admitted_learner_id = request.learner_id;
  }
  grant.is_member = raft.has_server(from);
  context_.send(from, grant);
}

// ---- Proposals

void Leader::on_propose_request(const std::string& from, const ProposeRequest& request) {
  if (!check_leadership()) return redirect(from);
  if (const auto* result = voter_.applied_state().find_result(request.nonce)) {
    return context_.send(from, ProposeResponse{*result});
  }
  if (!request.voters.empty()) return propose(ChangeVoters{request.nonce, request.voters});
  if (request.version.is_canary()) {
    const std::string voter = voter_without_canary_support();
    if (!voter.empty()) {
      const std::string reason = "the program of " + voter + ", which votes, knows no trials";
      return context_.send(from, ProposeResponse{{request.nonce, false, true, 0, reason}});
    }
  }
  propose(OfferVersion{request.nonce, request.version});
}

bool Leader::supports_canaries(const std::string& voter) const {
  if (voter == context_.name()) {
    return context_.settings().protocol_version >= kProtocolWithCanaries;
  }
  const auto* holder = lease_table_.find(voter);
  return holder && holder->protocol_version >= kProtocolWithCanaries;
}

// Returns the name of a voter that does not support canary rollouts; empty if all do. Such a voter
// ignores their commands and would derive a different state from the same log.
std::string Leader::voter_without_canary_support() const {
  for (const auto& [name, role] : voter_.raft()->roles()) {
    if (!supports_canaries(name)) return name;
  }
  return {};
}

void Leader::on_canary_decision(const std::string& from, const CanaryDecision& decision) {
  if (!check_leadership()) return redirect(from);
  if (const auto* result = voter_.applied_state().find_result(decision.nonce)) {
    return context_.send(from, ProposeResponse{*result});
  }
  if (decision.promote) {
    propose(PromoteCanary{decision.nonce, decision.version_number});
  } else {
    propose(RollBackCanary{decision.nonce, decision.version_number, "taken back by an operator"});
  }
}

// Appends a command to the log, unless the same command was proposed less than kReproposeInterval
// ago. A command that is lost with its leader is requested again from the next one.
void Leader::propose(const Command& command) {
  const std::uint64_t id = proposal_id(command);
  const std::size_t kind = command.index();
  const Time now = context_.now();
  const bool is_repeated = proposed_id_ == id && proposed_kind_ == kind;
  if (is_repeated && now < proposed_at_ + kReproposeInterval) return;
  proposed_id_ = id;
  proposed_kind_ = kind;
  proposed_at_ = now;
  voter_.raft()->propose(now, encode(command));
}

// ---- Leading

bool Leader::lead(const std::vector<std::string>& voters) {
  if (!check_leadership()) return false;
  Raft& raft = *voter_.raft();
  const Time now = context_.now();
  lease_table_.remove_expired(now);
  const auto command =
      version_rollout_.next_command(now, voter_.applied_state(), raft.roles(), lease_table_);
  if (command) propose(*command);
  membership_.reconcile(now, context_.name(), voters, raft);
  return send_hints();
}

Leader::Progress Leader::progress() const {
  const AppliedState& state = voter_.applied_state();
  const Version* pending = state.pending();
  if (!pending) return {state.current().number, Stage::current};
  if (state.canary()) return {pending->number, Stage::canary};
  return {pending->number, state.accepted() ? Stage::accepted : Stage::offered};
}

// Notifies all routers of each change, at most kMaxHintsPerRound of them per kHintInterval. The
// routers receive the change itself in the grant when they renew their leases.
bool Leader::send_hints() {
  const Progress current_progress = progress();
  if (current_progress != announced_) {
    announced_ = current_progress;
    routers_to_hint_.assign(context_.peers().begin(), context_.peers().end());
    send_hints_at_ = context_.now();
  }
  if (context_.now() < send_hints_at_) return false;
  for (std::size_t i = 0; i < kMaxHintsPerRound && !routers_to_hint_.empty(); ++i) {
    context_.send(routers_to_hint_.front(), RenewHint{});
    routers_to_hint_.pop_front();
  }
  send_hints_at_ = context_.now() + kHintInterval;
  return true;
}

Time Leader::next_deadline() const {
  return routers_to_hint_.empty() ? std::numeric_limits<Time>::max() : send_hints_at_;
}

}  // namespace alderspur::consensus

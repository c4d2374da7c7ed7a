#include "consensus/applied_state.h"

#include <algorithm>
#include <utility>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

constexpr const char* kInForce = "in force";

// A visitor that combines several lambdas.
template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

void AppliedState::apply(const Command& command) {
  std::visit(Overloaded{[this](const OfferVersion& offer_command) { offer(offer_command); },
                        [this](const AcceptVersion& accept_command) { accept(accept_command); },
                        [this](const ActivateVersion& activation) { activate(activation); },
                        [this](const WithdrawVersion& withdrawal) { withdraw(withdrawal); },
                        [this](const ChangeVoters& change) { change_voters(change); },
                        [this](const PromoteCanary& promotion) { promote(promotion); },
                        [this](const RollBackCanary& rollback) { roll_back(rollback); }},
             command);
}

const Version* AppliedState::canary() const {
  return accepted_ && accepted_->is_canary() && !is_promoted_ ? &*accepted_ : nullptr;
}

const Version* AppliedState::pending() const {
  if (accepted_) return &*accepted_;
  return offered_ ? &*offered_ : nullptr;
}

const ProposalResult* AppliedState::find_result(std::uint64_t nonce) const {
  const auto found =
      std::find_if(results_.begin(), results_.end(),
                   [&](const ProposalResult& result) { return result.nonce == nonce; });
  return found == results_.end() ? nullptr : &*found;
}

void AppliedState::record_result(ProposalResult result) {
  if (result.nonce == 0) return;
  std::erase_if(results_, [&](const ProposalResult& old) { return old.nonce == result.nonce; });
  results_.push_back(std::move(result));
  if (results_.size() > kMaxRememberedResults) results_.pop_front();
}

std::string AppliedState::reason_to_reject(const OfferVersion& command) const {
  if (const Version* other = pending()) {
    return "version " + std::to_string(other->number) + " by " + other->author + " is under way";
  }
  const Version& version = command.version;
  if (version.base_number != current_.number) {
    return "made from " + std::to_string(version.base_number) + ", but " +
           std::to_string(current_.number) + " by " + current_.author + " holds";
  }
  if (version.is_canary() && current_.number == 0) {
    return "nothing is in force that a trial could go back to";
  }
  return {};
}

void AppliedState::offer(const OfferVersion& command) {
  if (find_result(command.nonce)) return;  // repeated
  const std::string reason = reason_to_reject(command);
  if (!reason.empty()) {
    const std::uint64_t newest = accepted_ ? accepted_->number : current_.number;
    record_result({command.nonce, false, true, newest, reason});
    return;
  }
  offered_ = command.version;
  offered_->number = ++last_number_;
  pending_nonce_ = command.nonce;
  record_result({command.nonce, true, false, last_number_, "offered"});
}

void AppliedState::accept(const AcceptVersion& command) {
  if (!offered_ || offered_->number != command.number) return;
  accepted_ = std::exchange(offered_, std::nullopt);
  // The proposal of a canary rollout gets its final result here. The outcome of the rollout is
  // recorded in the history.
  const bool is_canary = accepted_->is_canary();
  record_result(
      {pending_nonce_, true, is_canary, command.number, is_canary ? "on trial" : "agreed"});
}

bool AppliedState::record_canary_decision(std::uint64_t nonce, std::uint64_t number) {
  if (find_result(nonce)) return false;  // repeated
  const bool applies = canary() && accepted_->number == number;
  record_result({nonce, applies, true, number,
                 applies ? "so be it" : "version " + std::to_string(number) + " is not on trial"});
  return applies;
}

void AppliedState::promote(const PromoteCanary& command) {
  if (record_canary_decision(command.nonce, command.number)) is_promoted_ = true;
}

// Version numbers never decrease, so the current content becomes a new version under the next
// number.
void AppliedState::roll_back(const RollBackCanary& command) {
  if (!record_canary_decision(command.nonce, command.number)) return;
  Version restored = current_;
  restored.number = ++last_number_;
  restored.base_number = command.number;
  restored.note =
      ("as " + std::to_string(current_.number) + ", " + command.reason).substr(0, kMaxNoteLength);
  finish(*std::exchange(accepted_, std::nullopt), false, command.reason);
  mark_current_as_replaced();
  current_ = restored;
  add_history(restored, kInForce);
}

void AppliedState::activate(const ActivateVersion& command) {
  if (!accepted_ || accepted_->number != command.number) return;
  current_ = *std::exchange(accepted_, std::nullopt);
  current_.canary = {};
  is_promoted_ = false;
  mark_current_as_replaced();
  finish(current_, true, kInForce);
}

void AppliedState::mark_current_as_replaced() {
  for (auto& entry : history_) {
    if (entry.outcome == kInForce) entry.outcome = "replaced";
  }
}

void AppliedState::withdraw(const WithdrawVersion& command) {
  if (!offered_ || offered_->number != command.number) return;
  finish(*std::exchange(offered_, std::nullopt), false, command.reason);
}

void AppliedState::finish(const Version& version, bool is_accepted, const std::string& outcome) {
  const auto nonce = std::exchange(pending_nonce_, 0);
  record_result({nonce, is_accepted, true, version.number, outcome});
  add_history(version, outcome);
}

void AppliedState::add_history(const Version& version, const std::string& outcome) {
  history_.push_back({version, outcome});
  if (history_.size() > kMaxHistory) history_.pop_front();
}

void AppliedState::change_voters(const ChangeVoters& command) {
  if (find_result(command.nonce)) return;  // repeated
  voters_ = command.voters;
  record_result({command.nonce, true, true, 0, "voters changed"});
}

}  // namespace alderspur::consensus

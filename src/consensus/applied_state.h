// The state that the log of agreement makes: the same commands in the same order give the same
// ledger at every voter. No I/O, no clock, no randomness.
//
//   Offer     a content as the next version. Refused if it was not made from the newest agreed one
//   (the base
//             is outdated) or if another change is still under way: of two at the same time one
//             holds.
//   Agree     enough voters have checked and kept it. From here on it cannot be lost.
//   Force     every router has acknowledged it or has lost its lease on the older one.
//   Release   a version on trial is to hold for all, as any other.
//   Back      a version on trial is taken back: what was in force before is the next version.
//   Withdraw  it is not to be (a voter refuses it, or nobody can bring its content); only before
//   Agree. Voters    who votes from now on, by name.
//
// An author who does not hear the answer asks again under the same nonce; what was settled for it
// stands.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/version.h"

namespace alderspur::consensus {

constexpr std::size_t kMaxRememberedResults = 128, kMaxHistory = 64, kMaxVoters = 7;

struct OfferVersion {
  std::uint64_t nonce = 0;
  Version version;  // its number is given by the ledger
};
struct AcceptVersion {
  std::uint64_t number = 0;
};
struct ActivateVersion {
  std::uint64_t number = 0;
};
struct WithdrawVersion {
  std::uint64_t number = 0;
  std::string reason;
};
struct PromoteCanary {
  std::uint64_t nonce = 0, number = 0;  // nonce 0: nobody asked for it
};
struct RollBackCanary {
  std::uint64_t nonce = 0, number = 0;
  std::string reason;
};
struct ChangeVoters {
  std::uint64_t nonce = 0;
  std::vector<std::string> voters;
};
using Command = std::variant<OfferVersion, AcceptVersion, ActivateVersion, WithdrawVersion,
                             ChangeVoters, PromoteCanary, RollBackCanary>;
std::string encode(const Command& command);
std::optional<Command> decode_command(std::string_view bytes);

// What became of a proposal.
struct ProposalResult {
  std::uint64_t nonce = 0;
  bool is_accepted = false, is_final = false;  // not final: accepted, on its way
  std::uint64_t version_number = 0;
  std::string reason;
};

struct HistoryEntry {
  Version version;
  std::string outcome;  // "in force", "replaced", or why it was withdrawn
};

class AppliedState {
 public:
  void apply(const Command& command);

  // Undecided, or agreed and not yet in force; at most one of the two.
  const std::optional<Version>& offered() const { return offered_; }
  const std::optional<Version>& accepted() const { return agreed_; }
  const Version& current() const { return in_force_; }
  // The agreed one, while it holds for the first routers only.
  const Version* canary() const {
    return agreed_ && agreed_->canary && !released_ ? &*agreed_ : nullptr;
  }
  const Version* pending() const { return agreed_ ? &*agreed_ : offered_ ? &*offered_ : nullptr; }
  const std::vector<std::string>& voters() const { return voters_; }
  const std::deque<HistoryEntry>& history() const { return history_; }
  const ProposalResult* find_result(std::uint64_t nonce) const;

  std::string snapshot() const;
  bool restore(std::string_view bytes);  // false: unreadable, nothing is changed
  bool operator==(const AppliedState& o) const { return snapshot() == o.snapshot(); }

 private:
  void on(const OfferVersion& c);
  void on(const AcceptVersion& c);
  void on(const ActivateVersion& c);
  void on(const WithdrawVersion& c);
  void on(const ChangeVoters& c);
  void on(const PromoteCanary& c);
  void on(const RollBackCanary& c);
  void settle(ProposalResult s);
  void replaced();
  bool on_trial(std::uint64_t nonce, std::uint64_t number);
  void end(const Version& v, bool yes, const std::string& text);

  std::uint64_t last_ = 0;  // the last number given
  std::optional<Version> offered_, agreed_;
  Version in_force_;
  bool released_ = false;  // the agreed one was on trial and goes on
  std::uint64_t pending_nonce_ = 0;
  std::vector<std::string> voters_;
  std::deque<ProposalResult> settled_;
  std::deque<HistoryEntry> history_;
};

}  // namespace alderspur::consensus

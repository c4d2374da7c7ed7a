// The replicated state machine: the state that results from applying the log's commands in order.
// The same commands give the same state at every voter, so there is no I/O, no clock and no
// randomness here.
//
// The life of a version:
//   OfferVersion     A content as the next version. Rejected if it was not derived from the newest
//                    accepted version (its base is outdated) or while another change is pending, so
//                    that of two concurrent changes only one succeeds.
//   AcceptVersion    Enough voters have checked and stored it. From here on it cannot be lost.
//   ActivateVersion  Every router has stored it or has lost its lease on the older version.
//   PromoteCanary    A version in a canary rollout is to apply to all routers, as any other.
//   RollBackCanary   It is taken back: the previous content becomes the next version.
//   WithdrawVersion  It is dropped (rejected by a voter, or its content could not be had). Only
//                    before AcceptVersion.
//   ChangeVoters     The voters from now on, by name.
//
// A proposer that does not hear the result repeats its proposal under the same nonce; a result that
// was recorded for a nonce stands.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/version.h"

namespace alderspur::msgpack_codec {
class Reader;
class Writer;
}  // namespace alderspur::msgpack_codec

namespace alderspur::consensus {

constexpr std::size_t kMaxRememberedResults = 128;
constexpr std::size_t kMaxHistory = 64;
constexpr std::size_t kMaxVoters = 7;

struct OfferVersion {
  std::uint64_t nonce = 0;
  Version version;  // its number is assigned when the command is applied
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
  std::uint64_t nonce = 0;  // 0: not requested by an operator
  std::uint64_t number = 0;
};
struct RollBackCanary {
  std::uint64_t nonce = 0;  // 0: not requested by an operator
  std::uint64_t number = 0;
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

/// What became of a proposal.
struct ProposalResult {
  std::uint64_t nonce = 0;
  bool is_accepted = false;
  bool is_final = false;  // false: accepted and not yet decided
  std::uint64_t version_number = 0;
  std::string reason;
};
constexpr std::size_t kProposalResultFields = 5;
/// The fields without an array around them.
void pack_fields(msgpack_codec::Writer& writer, const ProposalResult& result);
ProposalResult read_proposal_result_fields(msgpack_codec::Reader& reader);

struct HistoryEntry {
  Version version;
  std::string outcome;  // "in force", "replaced", or why it was withdrawn
};

class AppliedState {
 public:
  void apply(const Command& command);

  /// Offered and not yet accepted. At most one of offered() and accepted() is set.
  const std::optional<Version>& offered() const { return offered_; }
  /// Accepted and not yet active at all routers.
  const std::optional<Version>& accepted() const { return accepted_; }
  /// The version that applies to all routers; number 0: none yet.
  const Version& current() const { return current_; }
  /// The accepted version while it applies to its canary routers only; otherwise null.
  const Version* canary() const;
  /// The accepted or the offered version; null if there is neither.
  const Version* pending() const;
  const std::vector<std::string>& voters() const { return voters_; }
  const std::deque<HistoryEntry>& history() const { return history_; }
  /// The result recorded for a nonce; null if there is none.
  const ProposalResult* find_result(std::uint64_t nonce) const;

  std::string snapshot() const;
  /// False if the bytes are no snapshot; nothing is changed then.
  bool restore(std::string_view bytes);
  bool operator==(const AppliedState& other) const { return snapshot() == other.snapshot(); }

 private:
  void offer(const OfferVersion& command);
  void accept(const AcceptVersion& command);
  void activate(const ActivateVersion& command);
  void withdraw(const WithdrawVersion& command);
  void change_voters(const ChangeVoters& command);
  void promote(const PromoteCanary& command);
  void roll_back(const RollBackCanary& command);

  // Why an offer is not possible; empty: it is.
  std::string reason_against(const OfferVersion& command) const;
  void record_result(ProposalResult result);
  // Records the result of a decision on a canary rollout. True if it is to be carried out.
  bool record_canary_decision(std::uint64_t nonce, std::uint64_t number);
  // Records the end of a pending version.
  void finish(const Version& version, bool is_accepted, const std::string& outcome);
  void add_history(const Version& version, const std::string& outcome);
  void mark_current_as_replaced();

  std::uint64_t last_number_ = 0;  // last version number assigned
  std::optional<Version> offered_;
  std::optional<Version> accepted_;
  Version current_;
  bool is_promoted_ = false;  // the accepted version was in a canary rollout and was promoted
  std::uint64_t pending_nonce_ = 0;
  std::vector<std::string> voters_;
  std::deque<ProposalResult> results_;
  std::deque<HistoryEntry> history_;
};

}  // namespace alderspur::consensus

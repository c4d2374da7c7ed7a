// The replicated state machine: the state that results from applying the commands of the Raft log
// in their order. The same commands must give the same state at every voter, so this code does no
// I/O and uses neither a clock nor randomness. Its texts are part of the state and must not differ
// between builds. Not thread-safe.
//
// The commands, in the order of a version's life:
//   OfferVersion     Offers a content as the next version. It is rejected if it is not based on the
//                    current version, or while another version is pending, so only one of two
//                    concurrent changes succeeds.
//   AcceptVersion    Enough voters have checked and stored the version. It can no longer be lost.
//   ActivateVersion  Every router has stored the version or has lost its lease on the older one.
//   PromoteCanary    The version in a canary rollout is to apply to all routers.
//   RollBackCanary   The canary rollout has ended; the previous content becomes the next version.
//   WithdrawVersion  The version is dropped, because a voter rejected it or its content did not
//                    reach enough voters. Possible only before AcceptVersion.
//   ChangeVoters     Sets the names of the voters.
//
// A proposer that receives no result repeats its proposal under the same nonce. A result that is
// recorded for a nonce does not change when the proposal is repeated.
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
constexpr std::size_t kMaxHistory = 64;  // versions
constexpr std::size_t kMaxVoters = 7;

// ---- Commands; see the head of this file

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
/// Encodes a command for the log.
std::string encode(const Command& command);
/// Decodes a command of the log; empty if it is invalid or of a kind that this build does not
/// support.
std::optional<Command> decode_command(std::string_view bytes);

/// The result of a proposal so far.
struct ProposalResult {
  std::uint64_t nonce = 0;
  bool is_accepted = false;
  bool is_final = false;  // false: the proposal was accepted, and its version is still pending
  std::uint64_t version_number = 0;
  std::string reason;
};
constexpr std::size_t kProposalResultFields = 5;
/// Write and read the fields of a result without an array around them.
void pack_fields(msgpack_codec::Writer& writer, const ProposalResult& result);
ProposalResult read_proposal_result_fields(msgpack_codec::Reader& reader);

/// A version and how it ended.
struct HistoryEntry {
  Version version;
  std::string outcome;  // "in force", "replaced", or why it was withdrawn
};

/// The versions, the voters, the history and the results of proposals, as of the last command.
class AppliedState {
 public:
  /// Applies the next command of the log. A command that does not fit the state has no effect
  /// beyond its recorded result.
  void apply(const Command& command);

  /// Returns the version that is offered and not yet accepted. At most one of offered() and
  /// accepted() is set.
  const std::optional<Version>& offered() const { return offered_; }
  /// Returns the version that is accepted and not yet active at all routers.
  const std::optional<Version>& accepted() const { return accepted_; }
  /// Returns the version that applies to all routers; its number is 0 if there is none yet.
  const Version& current() const { return current_; }
  /// Returns the accepted version while it applies to its canary routers only; otherwise null.
  const Version* canary() const;
  /// Returns the accepted or the offered version; null if there is neither.
  const Version* pending() const;
  /// Returns the voters set by the last ChangeVoters command; empty if there was none.
  const std::vector<std::string>& voters() const { return voters_; }
  /// Returns the last versions and how they ended, oldest first.
  const std::deque<HistoryEntry>& history() const { return history_; }
  /// Returns the result recorded for a nonce; null if there is none.
  const ProposalResult* find_result(std::uint64_t nonce) const;

  /// Encodes the whole state.
  std::string snapshot() const;
  /// Replaces the state by a snapshot's. Returns false, and changes nothing, if the bytes are not a
  /// valid snapshot.
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

  // Returns why an offer must be rejected; empty if it is valid.
  std::string reason_to_reject(const OfferVersion& command) const;
  void record_result(ProposalResult result);
  // Records the result of a decision on a canary rollout. Returns true if the decision applies.
  bool record_canary_decision(std::uint64_t nonce, std::uint64_t number);
  // Records the end of a pending version.
  void finish(const Version& version, bool is_accepted, const std::string& outcome);
  void add_history(const Version& version, const std::string& outcome);
  void mark_current_as_replaced();

  std::uint64_t last_number_ = 0;  // the last version number assigned
  std::optional<Version> offered_;
  std::optional<Version> accepted_;
  Version current_;
  bool is_promoted_ = false;  // the accepted version was in a canary rollout and was promoted
  std::uint64_t pending_nonce_ = 0;  // of the proposal of the pending version; 0: none
  std::vector<std::string> voters_;
  std::deque<ProposalResult> results_;
  std::deque<HistoryEntry> history_;
};

}  // namespace alderspur::consensus

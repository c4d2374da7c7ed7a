// What routers say to each other about versions, and its wire form: MessagePack arrays [kind,
// fields...]. The sender is known by the channel. No I/O; what does not fit the bounds reads as
// nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/applied_state.h"
#include "consensus/version.h"

namespace alderspur::consensus {

// What a program knows beyond the first form: 1, trials. A form is used only where all that must
// know it do.
constexpr std::uint64_t kProtocolVersion = 1;
constexpr std::size_t kMaxChunkBytes = 32 << 10, kMaxMessageBytes = 2 << 20;

// Of consensus, as Raft made it.
struct RaftFrame {
  std::string bytes;
};
// A router asks the leader for its lease, and says how it stands.
struct LeaseRequest {
  std::uint64_t epoch = 0;
  Time sent_at = 0;                 // by the asker's clock; its lease counts from here
  std::uint64_t active_number = 0;  // the number it acts on
  std::uint64_t stored_number = 0;  // the highest it has kept and found good
  std::uint64_t rejected_number = 0;
  std::string rejection_reason;
  std::uint64_t last_grant_id = 0;             // the last grant it took
  double total_share = 0, location_share = 0;  // that it holds under a lease that runs
  double request_rate = 0;  // what it takes: requests a second, smoothed, and one
  std::string location;
  std::uint64_t learner_id = 0;  // it asks to be let in among the voters, with an empty log
  double failure_ratio = 0;  // of the requests that ended here lately, the part refused or failed
  std::uint64_t protocol_version = 0;  // what this program knows, see kForms
};
struct LeaseGrant {
  Time sent_at = 0;  // as in the question
  std::uint64_t id = 0;
  Time duration = 0;  // 0: no lease, only news
  Version current;
  std::optional<Version> pending;
  bool is_pending_accepted = false;  // the pending one
  std::vector<std::string> voters;
  double total_share = 0, location_share = 0;
  std::uint64_t admitted_learner_id = 0;  // the learner's number: its former self counts no more
  bool is_member = false;              // the asker is in the log's own list of voters and learners
  std::uint64_t protocol_version = 0;  // of the leader's program
};
struct Redirect {
  std::string leader;  // empty: not known
};
struct FetchRequest {
  std::string digest;
  std::uint64_t offset = 0;
};
struct ContentChunk {
  std::string digest;
  std::uint64_t offset = 0, total_size = 0;  // total 0: not there
  std::string bytes;
};
struct ProposeRequest {
  std::uint64_t nonce = 0;
  Version version;
  std::vector<std::string> voters;  // not empty: a change of the voters instead
};
struct ProposeResponse {
  ProposalResult result;
};
// A voter that starts asks the others how far they are, and says how far it is itself.
struct LogStatus {
  bool wants_reply = false;
  bool is_empty = false;
  std::uint64_t term = 0, last_term = 0, last_index = 0;  // of the log
  std::uint64_t acknowledged_term = 0,
                acknowledged_index = 0;  // what the asker has acknowledged here
};
// A router without a lease asks any other what it has heard.
struct VersionQuery {};
struct VersionNews {
  Version current;
  std::optional<Version> accepted;
};
struct RenewHint {};     // there is news: renew
struct CanaryDecision {  // of an operator on a trial; answered as a proposal is
  std::uint64_t nonce = 0, version_number = 0;
  bool promote = false;
};

using Message = std::variant<RaftFrame, LeaseRequest, LeaseGrant, Redirect, FetchRequest,
                             ContentChunk, ProposeRequest, ProposeResponse, LogStatus, VersionQuery,
                             VersionNews, RenewHint, CanaryDecision>;
std::string encode(const Message& message);
std::optional<Message> decode_message(std::string_view bytes);

// Printable, without quotes, and short: what may stand in records and logs.
std::string to_printable(std::string_view text, std::size_t most);

}  // namespace alderspur::consensus

// The messages that routers exchange about versions, and their codec: MessagePack arrays
// [kind, fields...]. The channel identifies the sender, so messages do not contain its name.
//
// Does no I/O. Decoding a message that is malformed or exceeds a limit gives an empty result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/applied_state.h"
#include "consensus/version.h"

namespace alderspur::consensus {

/// The protocol version of this build: 0 is the first one, and 1 adds canary rollouts. A capability
/// is used only if every router that has to support it has announced its version.
constexpr std::uint64_t kProtocolVersion = 1;
/// The first protocol version that supports canary rollouts.
constexpr std::uint64_t kProtocolWithCanaries = 1;

constexpr std::size_t kMaxChunkBytes = 32 << 10;
constexpr std::size_t kMaxMessageBytes = 2 << 20;

/// A message of the Raft library, encoded by class Raft; see raft_frame.h.
struct RaftFrame {
  std::string bytes;
};

/// Requests a lease from the leader and reports the sender's state.
struct LeaseRequest {
  std::uint64_t epoch = 0;            // of the sender's process
  Time sent_at = 0;                   // by the sender's clock; the lease is counted from this time
  std::uint64_t active_number = 0;    // the version that the sender acts on
  std::uint64_t stored_number = 0;    // the highest version that it has stored and checked
  std::uint64_t rejected_number = 0;  // the last version that its checks rejected; 0: none
  std::string rejection_reason;
  std::uint64_t last_grant_id = 0;  // the last grant that it received
  double total_share = 0;           // the shares under its valid lease; 0 without one
  double location_share = 0;
  double request_rate = 0;  // requests per second, smoothed, plus one
  std::string location;
  std::uint64_t learner_id = 0;  // not 0: requests admission as a learner with an empty log
  double failure_ratio = 0;  // rejected or failed requests per request, among those ended recently
  std::uint64_t protocol_version = 0;  // see kProtocolVersion
};

/// The leader's answer to a lease request.
struct LeaseGrant {
  Time sent_at = 0;  // copied from the request
  std::uint64_t id = 0;
  Time duration = 0;  // 0: no lease; the other fields are valid nonetheless
  Version current;
  std::optional<Version> pending;
  bool is_pending_accepted = false;
  std::vector<std::string> voters;
  double total_share = 0;
  double location_share = 0;
  // The id of the admitted learner: its previous identity is no longer in the Raft configuration.
  std::uint64_t admitted_learner_id = 0;
  bool is_member = false;              // whether the receiver is in the Raft configuration
  std::uint64_t protocol_version = 0;  // of the leader
};

/// The answer of a router that is not the leader.
struct Redirect {
  std::string leader;  // the leader's name; empty: not known
};

/// Requests a chunk of a content; answered by a ContentChunk.
struct FetchRequest {
  std::string digest;
  std::uint64_t offset = 0;
};

/// A chunk of an encoded content.
struct ContentChunk {
  std::string digest;
  std::uint64_t offset = 0;      // bytes
  std::uint64_t total_size = 0;  // 0: the sender does not have the content
  std::string bytes;
};

/// Proposes a version or a change of the voters to the leader; answered by a ProposeResponse.
struct ProposeRequest {
  std::uint64_t nonce = 0;  // identifies the proposal in repeated requests
  Version version;
  std::vector<std::string> voters;  // not empty: a change of the voters, and `version` is ignored
};

/// The result of a proposal so far.
struct ProposeResponse {
  ProposalResult result;
};

/// The state of a voter's log. A starting voter sends its own to the other voters and requests
/// theirs.
struct LogStatus {
  bool wants_reply = false;
  bool is_empty = false;
  std::uint64_t term = 0;
  std::uint64_t last_term = 0;  // of the last entry
  std::uint64_t last_index = 0;
  // The term and the committed index that the receiver has acknowledged to the sender.
  std::uint64_t acknowledged_term = 0;
  std::uint64_t acknowledged_index = 0;
};

/// Requests the newest versions that the receiver knows. A router without a lease sends it to a
/// random router.
struct VersionQuery {};

/// The answer to a VersionQuery.
struct VersionResponse {
  Version current;
  std::optional<Version> accepted;
};

/// Notifies the receiver of a change; it renews its lease at once to receive the change.
struct RenewHint {};

/// An operator's decision on a canary rollout; answered by a ProposeResponse.
struct CanaryDecision {
  std::uint64_t nonce = 0;
  std::uint64_t version_number = 0;
  bool promote = false;  // false: roll back
};

/// The position in this list, plus one, is the kind on the wire, so new messages are only appended.
using Message = std::variant<RaftFrame, LeaseRequest, LeaseGrant, Redirect, FetchRequest,
                             ContentChunk, ProposeRequest, ProposeResponse, LogStatus, VersionQuery,
                             VersionResponse, RenewHint, CanaryDecision>;
/// Encodes a message.
std::string encode(const Message& message);
/// Decodes a message; empty if it is malformed, exceeds a limit or is of an unknown kind.
std::optional<Message> decode_message(std::string_view bytes);

/// Returns at most `max_length` characters of the text, with double quotes replaced by single
/// quotes and unprintable characters by spaces, so that messages and logs can contain it.
std::string to_printable(std::string_view text, std::size_t max_length);

}  // namespace alderspur::consensus

// The messages that routers exchange about versions, and their wire form: MessagePack arrays
// [kind, fields...]. The sender's name is known from the channel.
//
// No I/O. A message that does not fit its form or its limits decodes as nothing.
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

/// Capabilities of this program beyond the first protocol: 1, canary rollouts. A capability is used
/// only where every router that must understand it has announced it.
constexpr std::uint64_t kProtocolVersion = 1;
constexpr std::uint64_t kProtocolWithCanaries = 1;

constexpr std::size_t kMaxChunkBytes = 32 << 10;
constexpr std::size_t kMaxMessageBytes = 2 << 20;

/// A message of the Raft library, packed by class Raft.
struct RaftFrame {
  std::string bytes;
};

/// Asks the leader for a lease and reports the sender's state.
struct LeaseRequest {
  std::uint64_t epoch = 0;
  Time sent_at = 0;                 // by the sender's clock; its lease counts from here
  std::uint64_t active_number = 0;  // version in use
  std::uint64_t stored_number = 0;  // highest version that it has stored and checked
  std::uint64_t rejected_number = 0;
  std::string rejection_reason;
  std::uint64_t last_grant_id = 0;  // last grant taken over
  double total_share = 0;           // held under a running lease
  double location_share = 0;
  double request_rate = 0;  // requests per second, smoothed, plus one
  std::string location;
  std::uint64_t learner_id = 0;  // not 0: asks to be admitted among the voters, with an empty log
  double failure_ratio = 0;      // of the requests that ended lately, the part rejected or failed
  std::uint64_t protocol_version = 0;  // see kProtocolVersion
};

struct LeaseGrant {
  Time sent_at = 0;  // of the request
  std::uint64_t id = 0;
  Time duration = 0;  // 0: no lease, only news
  Version current;
  std::optional<Version> pending;
  bool is_pending_accepted = false;
  std::vector<std::string> voters;
  double total_share = 0;
  double location_share = 0;
  std::uint64_t admitted_learner_id = 0;  // this learner's former incarnation votes no more
  bool is_member = false;                 // the receiver is in the Raft configuration
  std::uint64_t protocol_version = 0;     // of the leader
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
  std::uint64_t offset = 0;
  std::uint64_t total_size = 0;  // 0: the sender does not have the content
  std::string bytes;
};

struct ProposeRequest {
  std::uint64_t nonce = 0;
  Version version;
  std::vector<std::string> voters;  // not empty: a change of the voters instead of a version
};

struct ProposeResponse {
  ProposalResult result;
};

/// The state of a voter's log. A starting voter sends it to the other voters and asks for theirs.
struct LogStatus {
  bool wants_reply = false;
  bool is_empty = false;
  std::uint64_t term = 0;
  std::uint64_t last_term = 0;  // of the last entry
  std::uint64_t last_index = 0;
  std::uint64_t acknowledged_term = 0;  // what the receiver has acknowledged to the sender
  std::uint64_t acknowledged_index = 0;
};

/// A router without a lease asks any other router for the versions that it has heard of.
struct VersionQuery {};

struct VersionNews {
  Version current;
  std::optional<Version> accepted;
};

/// There is news: the receiver renews its lease at once.
struct RenewHint {};

/// An operator's decision on a canary rollout; answered by a ProposeResponse.
struct CanaryDecision {
  std::uint64_t nonce = 0;
  std::uint64_t version_number = 0;
  bool promote = false;  // otherwise: roll back
};

/// The position in this list, plus one, is the kind on the wire: append only.
using Message = std::variant<RaftFrame, LeaseRequest, LeaseGrant, Redirect, FetchRequest,
                             ContentChunk, ProposeRequest, ProposeResponse, LogStatus, VersionQuery,
                             VersionNews, RenewHint, CanaryDecision>;
std::string encode(const Message& message);
std::optional<Message> decode_message(std::string_view bytes);

/// At most `max_length` characters, printable and without double quotes: fit for messages and logs.
std::string to_printable(std::string_view text, std::size_t max_length);

}  // namespace alderspur::consensus

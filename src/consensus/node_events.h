// The interface of ConsensusNode as plain values: its settings, the events that it receives, the
// actions that it requests, and its status for operators.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "consensus/applied_state.h"
#include "consensus/lease_table.h"
#include "consensus/messages.h"
#include "consensus/persisted_log.h"
#include "consensus/persisted_state.h"
#include "consensus/raft.h"

namespace alderspur::consensus {

/// If a router stores more contents than this, it deletes those that are not in use.
constexpr std::size_t kMaxStoredContents = 6;

/// Settings of a ConsensusNode. Times are in microseconds.
struct ConsensusSettings {
  std::string name;  // of this router
  std::string location;
  std::uint64_t epoch = 0;                            // increases with every start of the process
  std::vector<std::string> voters;                    // used until the cluster reports its own
  Time renew_interval = 300'000;                      // between lease requests
  std::uint64_t protocol_version = kProtocolVersion;  // smaller only in tests
  LeaseSettings lease;
  RaftSettings raft;
};

/// The version that this router acts on, and how.
struct ActiveVersion {
  Version version;
  ContentPtr content;           // null: no version has ever been active here
  bool is_conservative = true;  // this router has no valid lease
  // Without a lease: the contents of later versions, to be merged in conservatively, oldest first.
  std::vector<ContentPtr> newer_contents;
  double total_share = 0;     // of the budget of all routers; 0 without a lease
  double location_share = 0;  // of the budget of this router's location; 0 without a lease
  bool operator==(const ActiveVersion&) const = default;
};

// ---- Events

/// The state loaded from the disk. Must be the first event; events before it have no effect.
struct Start {
  PersistedState state;
  std::map<std::string, std::string> contents;  // encoded, by digest, not yet verified
  PersistedLog log;
  bool is_log_corrupt = false;  // a log exists, but must not be used
  bool has_no_disk = false;     // the disk is not usable, so this router cannot become a voter
};
/// A message of another router; see messages.h.
struct MessageReceived {
  std::string from;
  std::string bytes;
};
/// The result of a WriteLog action.
struct LogWritten {
  std::uint64_t number = 0;  // of the WriteLog action
  bool is_ok = true;
};
/// The result of a WriteContent action.
struct ContentWritten {
  std::string digest;
  bool is_ok = true;
};
/// The result of a CheckContent action.
struct ContentChecked {
  std::string digest;
  bool is_valid = true;
  std::string reason;  // if the content is invalid
};
/// An operator's proposal: a new version, a change of the voters, or a decision on a canary
/// rollout. Answered by a ProposalFinished action.
struct OperatorProposal {
  std::uint64_t nonce = 0;
  Content content;
  std::string author;
  std::string note;
  std::optional<std::uint64_t> base_number;  // empty: the newest version known here
  std::vector<std::string> voters;           // not empty: a change of the voters
  CanaryRollout canary;
  std::optional<CanaryDecision> canary_decision;  // its nonce is replaced by the proposal's nonce
};
/// The names of all members of the cluster, in any order.
struct PeersChanged {
  std::vector<std::string> names;
};
/// The load of this router, measured over recent requests.
struct LoadMeasured {
  double request_rate = 1;   // requests per second
  double failure_ratio = 0;  // rejected or failed requests per request
};
/// The time of ConsensusNode::next_deadline() has come.
struct TimerFired {};
using Event = std::variant<Start, MessageReceived, LogWritten, ContentWritten, ContentChecked,
                           OperatorProposal, PeersChanged, LoadMeasured, TimerFired>;

// ---- Actions

/// Sends a message to another router. It may be lost.
struct SendMessage {
  std::string to;
  std::string bytes;
};
/// Writes to the voter's log, in the order of the numbers. Answered by LogWritten.
struct WriteLog {
  std::uint64_t number = 0;
  LogWrite write;
};
/// Writes a content durably. Answered by ContentWritten.
struct WriteContent {
  std::string digest;
  std::string bytes;
};
/// Validates a content. Answered by ContentChecked.
struct CheckContent {
  std::string digest;
  ContentPtr content;
};
/// Deletes a stored content.
struct DeleteContent {
  std::string digest;
};
/// Writes the state durably; there is no answer.
struct PersistState {
  PersistedState state;
};
/// Makes this router act on a version.
struct Activate {
  ActiveVersion active;
};
/// The final result of an operator's proposal.
struct ProposalFinished {
  ProposalResult result;
};
/// Writes a line to the log of the process.
struct LogEvent {
  std::string event;
  std::string text;
};
using Action = std::variant<SendMessage, WriteLog, WriteContent, CheckContent, DeleteContent,
                            PersistState, Activate, ProposalFinished, LogEvent>;

// ---- Status

/// The part that a router takes in Raft.
enum class NodeRole {
  follower,  // takes no part
  joining,   // a voter at startup, which requests the log statuses of the other voters
  learner,   // has an empty log and requests to become a voter
  voter      // runs a Raft instance
};
/// Returns the name of a role as operators see it; `joining` is written as "asking".
const char* role_name(NodeRole role);

/// The state of a ConsensusNode for operators.
struct NodeStatus {
  ActiveVersion active;
  std::optional<Version> pending;
  bool is_pending_accepted = false;
  bool is_leader = false;
  NodeRole role = NodeRole::follower;
  std::string leader;   // empty: not known
  Time lease_left = 0;  // microseconds
  std::uint64_t term = 0;
  std::uint64_t last_log_index = 0;
  std::vector<std::string> voters;
  std::string fault;  // why this voter cannot use its log; empty: no fault
  // Routers that have not stored the newest version; only filled at the leader.
  std::vector<std::string> routers_behind;
  std::deque<HistoryEntry> history;  // only filled at voters
};

}  // namespace alderspur::consensus

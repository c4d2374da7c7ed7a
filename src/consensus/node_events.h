// The interface of ConsensusNode as values: its settings, the events that it is given, the actions
// that it asks for, and its status for operators.
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

constexpr std::size_t kMaxStoredContents = 6;  // beyond those in use, contents are deleted

struct ConsensusSettings {
  std::string name;  // of this router
  std::string location;
  std::uint64_t epoch = 0;          // grows with every start of the process
  std::vector<std::string> voters;  // of a new cluster
  Time renew_interval = 300'000;
  std::uint64_t protocol_version = kProtocolVersion;  // smaller only in tests
  LeaseSettings lease;
  RaftSettings raft;
};

/// The version that this router acts on.
struct ActiveVersion {
  Version version;
  ContentPtr content;                      // null: none has ever been active here
  bool is_conservative = true;             // no lease runs
  std::vector<ContentPtr> newer_contents;  // accepted later, to be merged in conservatively
  double total_share = 0;                  // of kLeasedFraction; 0 without a lease
  double location_share = 0;
  bool operator==(const ActiveVersion&) const = default;
};

// ---- Events

/// What was found on the disk. Before it, no event has an effect.
struct Start {
  PersistedState state;
  std::map<std::string, std::string> contents;  // encoded, by digest, not yet verified
  PersistedLog log;
  bool is_log_corrupt = false;  // there is a log, but it must not be used
  bool has_no_disk = false;
};
struct MessageReceived {
  std::string from;
  std::string bytes;
};
struct LogWritten {
  std::uint64_t number = 0;  // of the WriteLog action
  bool is_ok = true;
};
struct ContentWritten {
  std::string digest;
  bool is_ok = true;
};
struct ContentChecked {
  std::string digest;
  bool is_valid = true;
  std::string reason;
};
/// A new version, a change of the voters, or a decision on a canary rollout.
struct OperatorProposal {
  std::uint64_t nonce = 0;
  Content content;
  std::string author;
  std::string note;
  std::optional<std::uint64_t> base_number;  // empty: the newest version known here
  std::vector<std::string> voters;           // not empty: a change of the voters
  CanaryRollout canary;
  std::optional<CanaryDecision> canary_decision;  // its nonce is set from this proposal's
};
/// The names of all members of the cluster, in any order.
struct PeersChanged {
  std::vector<std::string> names;
};
struct LoadMeasured {
  double request_rate = 1;   // requests per second
  double failure_ratio = 0;  // the part of those that ended rejected or failed
};
struct TimerFired {};
using Event = std::variant<Start, MessageReceived, LogWritten, ContentWritten, ContentChecked,
                           OperatorProposal, PeersChanged, LoadMeasured, TimerFired>;

// ---- Actions

struct SendMessage {
  std::string to;
  std::string bytes;
};
/// To the voter's disk, in the order of the numbers; answered by LogWritten.
struct WriteLog {
  std::uint64_t number = 0;
  LogWrite write;
};
/// Durably; answered by ContentWritten.
struct WriteContent {
  std::string digest;
  std::string bytes;
};
/// Answered by ContentChecked.
struct CheckContent {
  std::string digest;
  ContentPtr content;
};
struct DeleteContent {
  std::string digest;
};
struct PersistState {
  PersistedState state;
};
struct Activate {
  ActiveVersion active;
};
/// The final result of an operator's proposal.
struct ProposalFinished {
  ProposalResult result;
};
/// A line for the process's log.
struct LogEvent {
  std::string event;
  std::string text;
};
using Action = std::variant<SendMessage, WriteLog, WriteContent, CheckContent, DeleteContent,
                            PersistState, Activate, ProposalFinished, LogEvent>;

// ---- Status

enum class NodeRole {
  follower,  // does not vote
  joining,   // a voter that starts and asks the other voters for their logs
  learner,   // to become a voter, with an empty log
  voter
};
const char* role_name(NodeRole role);

struct NodeStatus {
  ActiveVersion active;
  std::optional<Version> pending;
  bool is_pending_accepted = false;
  bool is_leader = false;
  NodeRole role = NodeRole::follower;
  std::string leader;  // empty: not known
  Time lease_left = 0;
  std::uint64_t term = 0;
  std::uint64_t last_log_index = 0;
  std::vector<std::string> voters;
  std::string fault;                        // why this voter cannot take part; empty: no fault
  std::vector<std::string> routers_behind;  // known to the leader
  std::deque<HistoryEntry> history;         // known to voters
};

}  // namespace alderspur::consensus

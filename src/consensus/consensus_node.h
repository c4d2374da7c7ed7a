// Versions that routers agree on, at one router: what it acts on, under which lease, and its part
// in deciding.
//
// Values in, values out: no I/O, no clock, no thread. Every call is given the time of a clock that
// never goes back; actions are to be carried out in their order. Not thread-safe.
//
// A router keeps contents by their digest, checks them by the existing checkers (outside, by
// Check), asks the leader for a lease every `renew`, and acts on what the leader says is in force
// as soon as it holds it. When its lease has run out it is careful: what it acts on then is the
// careful union of that version and of all it has heard to be agreed since; it asks any other
// router for news. It never goes back to an older number.
//
// A few routers are voters and hold the log (Raft). The one that leads it gives the leases (Book),
// has an offered version agreed once a majority of the voters, and every voter whose lease runs and
// that answers in time, has kept it and found it good, and puts an agreed one in force once every
// router has kept it or has lost its lease.
//
// A voter at its start asks the other voters how far they are. With an empty disk it founds a
// cluster only if all of them are empty as well; with a lost or spoilt one it never votes as its
// former self: it has itself taken out of the voters and comes back as a learner with an empty log.
// One whose log is behind what another told votes for nobody who holds less than that, for
// kHoldBack.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consensus/applied_state.h"
#include "consensus/lease_table.h"
#include "consensus/messages.h"
#include "consensus/raft.h"

namespace alderspur::consensus {

constexpr Time kVoteRestrictionTime = 10'000'000, kMaxOfferTime = 15'000'000;
constexpr std::size_t kMaxStoredContents = 6, kMaxOpenProposals = 8;

struct ConsensusSettings {
  std::string name, location;
  std::uint64_t epoch = 0;
  std::vector<std::string> voters;  // the first ones of a new cluster
  Time renew_interval = 300'000;
  std::uint64_t protocol_version = kProtocolVersion;  // less only in tests
  LeaseSettings lease;
  RaftSettings raft;
};
// What a router keeps through a restart, besides contents and a voter's log.
struct PersistedState {
  Version current;
  std::optional<Version> accepted;  // heard of beyond that
  std::vector<std::string> voters;
  bool operator==(const PersistedState&) const = default;
};
std::string encode(const PersistedState& kept);
std::optional<PersistedState> decode_persisted_state(std::string_view bytes);

// What to act on now.
struct ActiveVersion {
  Version version;
  ContentPtr content;                          // null: none was ever in force here
  bool is_conservative = true;                 // no lease runs
  std::vector<ContentPtr> newer_contents;      // agreed later, to be united with it with care
  double total_share = 0, location_share = 0;  // of kUsable; 0 without a lease
  bool operator==(const ActiveVersion&) const = default;
};

// ---- Events

struct Start {
  PersistedState state;
  std::map<std::string, std::string> contents;  // by digest, encoded, as they were found
  PersistedLog log;
  bool is_log_corrupt = false;  // the disk holds a log that must not be believed
  bool has_no_disk = false;
};
struct MessageReceived {
  std::string from, bytes;
};
struct LogWritten {
  std::uint64_t number = 0;
  bool is_ok = true;
};
struct ContentWritten {  // a content
  std::string digest;
  bool is_ok = true;
};
struct ContentChecked {
  std::string digest;
  bool is_valid = true;
  std::string reason;
};
struct OperatorProposal {  // by an operator
  std::uint64_t nonce = 0;
  Content content;
  std::string author, note;
  std::optional<std::uint64_t> base_number;       // empty: what is newest here
  std::vector<std::string> voters;                // not empty: a change of the voters
  CanaryRollout canary;                           // it holds for some first
  std::optional<CanaryDecision> canary_decision;  // a word on a trial instead, under this nonce
};
struct PeersChanged {  // who is there, in any order
  std::vector<std::string> names;
};
struct LoadMeasured {
  double request_rate = 1;   // requests a second
  double failure_ratio = 0;  // the part of those that ended refused or failed
};
struct TimerFired {};
using Event = std::variant<Start, MessageReceived, LogWritten, ContentWritten, ContentChecked,
                           OperatorProposal, PeersChanged, LoadMeasured, TimerFired>;

// ---- Actions

struct SendMessage {
  std::string to, bytes;
};
struct WriteLog {  // on the voter's disk, in the order of the numbers
  std::uint64_t number = 0;
  LogWrite write;
};
struct WriteContent {  // a content, durably
  std::string digest, bytes;
};
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
struct ProposalFinished {  // to an operator's proposal; final
  ProposalResult result;
};
struct LogEvent {  // a line for the log
  std::string event, text;
};
using Action = std::variant<SendMessage, WriteLog, WriteContent, CheckContent, DeleteContent,
                            PersistState, Activate, ProposalFinished, LogEvent>;

// ---- View

enum class NodeRole { follower, joining, learner, voter };
const char* role_name(NodeRole part);

struct NodeStatus {
  ActiveVersion active;
  std::optional<Version> pending;
  bool is_pending_accepted = false, is_leader = false;
  NodeRole role = NodeRole::follower;
  std::string leader;
  Time lease_left = 0;
  std::uint64_t term = 0, last_log_index = 0;
  std::vector<std::string> voters;
  std::string fault;                        // why something does not go on, if so
  std::vector<std::string> routers_behind;  // at the leader
  std::deque<HistoryEntry> history;         // at a voter
};

class ConsensusNode {
 public:
  ConsensusNode(ConsensusSettings settings, std::uint64_t seed);
  ~ConsensusNode();
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  Time next_deadline() const;
  const ActiveVersion& active() const { return acting_; }
  NodeStatus status(Time now) const;
  const LeaseTable& lease_table() const { return book_; }
  const AppliedState& applied_state() const { return ledger_; }
  bool is_leader(Time now) const {
    return raft_ && raft_->has_leader_lease(now) && raft_->is_term_established();
  }
  const Raft* raft() const { return raft_.get(); }
  ContentPtr content(std::uint64_t number) const;  // where it is still kept

 private:
  struct Item {  // a content
    std::string bytes;
    ContentPtr content;
    bool written = false, checked = false, good = false;
    std::string reason;
    Time write_at = 0;  // again, since the disk did not take it; 0: it did, or has yet to say
    bool fit() const { return written && checked && good; }
  };
  struct Fetch {
    std::string digest, bytes;
    std::uint64_t total = 0;
    std::size_t source = 0;
    Time until = 0;
  };
  struct Mine {  // a proposal of this router's operator
    ProposeRequest propose;
    std::optional<CanaryDecision> verdict;
    Time until = 0, again = 0;
  };

  void on(const Start& e);
  void on(const MessageReceived& e);
  void on(const LogWritten& e);
  void on(const ContentWritten& e);
  void on(const ContentChecked& e);
  void on(const OperatorProposal& e);
  void on(const PeersChanged& e);
  void on(const LoadMeasured& e);
  void on(const TimerFired&);
  void take(const std::string& from, RaftFrame& m);
  void take(const std::string& from, LeaseRequest& m);
  void take(const std::string& from, LeaseGrant& m);
  void take(const std::string& from, Redirect& m);
  void take(const std::string& from, FetchRequest& m);
  void take(const std::string& from, ContentChunk& m);
  void take(const std::string& from, ProposeRequest& m);
  void take(const std::string& from, ProposeResponse& m);
  void take(const std::string& from, LogStatus& m);
  void take(const std::string& from, VersionQuery& m);
  void take(const std::string& from, VersionNews& m);
  void take(const std::string& from, RenewHint& m);
  void take(const std::string& from, CanaryDecision& m);

  void act(Action a) { out_->push_back(std::move(a)); }
  void send(const std::string& to, const Message& m);
  void report(const char* event, std::string text) { act(LogEvent{event, std::move(text)}); }

  // The router's part.
  void follow(const std::string& leader);
  void renew();
  void renew_soon(Time in = 0) { renew_at_ = std::min(renew_at_, now_ + in); }
  LeaseRequest standing() const;
  void ask_around();
  void hear(const Version& v, bool in_force);
  bool first(const Version& v) const { return among_first(v, set_.name); }
  static bool among_first(const Version& v, const std::string& name);
  void want(const Version& v);
  void fetch();
  void arrived(const std::string& digest, std::string bytes);
  void write_again();
  void judge(const std::string& digest);
  void move_on();
  void show();
  void keep();
  void sweep();
  bool fit(const Version& v) const;
  bool leased() const { return now_ < lease_until_; }
  void push_mine();

  // The voter's part.
  void begin_voting();
  void begin_raft(PersistedLog saved, const std::vector<std::string>& found);
  void spoilt(const std::string& why);
  void lead();
  void decide(const Version& v);
  std::string who_knows_no_trials() const;
  void watch(const Version& trial);
  bool harmful(const Version& trial, std::string& why) const;
  void reconcile();
  void admit(const std::string& name, const LeaseRequest& r, LeaseGrant& out);
  bool propose(const Command& c);
  void nudge_some();
  const std::vector<std::string>& desired() const;  // who is to vote
  bool to_vote(const std::string& name) const;
  LogStatus witness(const std::string& to, bool asks);
  void put(std::uint64_t instance, std::uint64_t number, LogWrite store);
  void turn();
  void follow_ledger();

  const ConsensusSettings set_;
  std::mt19937_64 random_;
  Time now_ = 0;
  std::vector<Action>* out_ = nullptr;
  bool begun_ = false;

  PersistedState kept_, told_kept_;
  ActiveVersion acting_, shown_;
  std::map<std::string, Item> items_;
  std::optional<Fetch> fetch_;
  std::vector<Version> wanted_;  // newest last
  Version target_;               // heard to be in force
  std::optional<Version> pending_;
  bool pending_agreed_ = false;
  std::uint64_t grant_ = 0, refused_ = 0;
  std::uint64_t settled_ = 0;  // the highest number of a proposal of ours that is in force
  std::string refused_why_;
  Time lease_until_ = 0, renew_at_ = 0, heard_at_ = 0;
  double share_all_ = 0, share_point_ = 0, weight_ = 1, bad_ = 0;
  std::string leader_;
  std::optional<std::uint64_t> leader_forms_;  // empty: it has not said so
  std::size_t voter_at_ = 0;
  std::vector<std::string> others_;
  std::set<Time> asked_;  // questions for a lease that may yet be answered
  std::deque<std::pair<std::string, std::string>> own_;  // frames to ourselves
  std::deque<Mine> mine_;

  NodeRole part_ = NodeRole::follower;
  std::unique_ptr<Raft> raft_;
  struct Putting {
    std::uint64_t put = 0, instance = 0, number = 0;  // of which Raft; 0: a reset
  };
  std::deque<Putting> putting_;
  std::uint64_t instance_ = 0, puts_ = 0;
  bool no_disk_ = false;
  PersistedLog saved_;
  AppliedState ledger_;
  LeaseTable book_;
  std::map<std::string, LogStatus> witnesses_;
  std::set<std::string> empty_;  // voters that have told us of an empty disk
  Time inquire_at_ = 0, asking_since_ = 0, reset_at_ = 0;
  std::uint64_t learner_ = 0;
  bool cleared_ = false;  // the learner's disk is empty
  bool among_ = true;     // as the leader said last
  struct Admission {
    std::uint64_t learner = 0;
    bool done = false;
  };
  std::map<std::string, Admission> admissions_;
  Time proposed_at_ = 0, offered_since_ = 0, nudge_at_ = 0;
  std::uint64_t tried_ = 0;                // the trial that is watched
  Time tried_since_ = 0, harm_since_ = 0;  // as this leader saw it; 0: no harm
  std::uint64_t proposed_ = 0, offered_number_ = 0;
  int proposed_kind_ = 0;
  std::deque<std::string> nudges_;
  std::pair<std::uint64_t, int> nudged_{0, 0};
  std::string trouble_;
};

}  // namespace alderspur::consensus

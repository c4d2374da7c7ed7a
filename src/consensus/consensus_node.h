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

constexpr Time kHoldBack = 10'000'000, kOfferMost = 15'000'000;
constexpr std::size_t kContentsMost = 6, kProposalsMost = 8;

struct ConsensusSettings {
  std::string name, point;
  std::uint64_t epoch = 0;
  std::vector<std::string> voters;  // the first ones of a new cluster
  Time renew = 300'000;
  std::uint64_t forms = kForms;  // less only in tests
  LeaseSettings book;
  RaftSettings raft;
};
// What a router keeps through a restart, besides contents and a voter's log.
struct PersistedState {
  Version in_force;
  std::optional<Version> agreed;  // heard of beyond that
  std::vector<std::string> voters;
  bool operator==(const PersistedState&) const = default;
};
std::string encode(const PersistedState& kept);
std::optional<PersistedState> decode_kept(std::string_view bytes);

// What to act on now.
struct ActiveVersion {
  Version version;
  ContentPtr content;                     // null: none was ever in force here
  bool is_conservative = true;            // no lease runs
  std::vector<ContentPtr> heard;          // agreed later, to be united with it with care
  double share_all = 0, share_point = 0;  // of kUsable; 0 without a lease
  bool operator==(const ActiveVersion&) const = default;
};

// ---- Events

struct Begin {
  PersistedState kept;
  std::map<std::string, std::string> contents;  // by digest, encoded, as they were found
  Saved saved;
  bool spoilt = false;  // the disk holds a log that must not be believed
  bool no_disk = false;
};
struct Frame {
  std::string from, bytes;
};
struct Stored {
  std::uint64_t number = 0;
  bool good = true;
};
struct Written {  // a content
  std::string digest;
  bool good = true;
};
struct Checked {
  std::string digest;
  bool good = true;
  std::string reason;
};
struct Proposal {  // by an operator
  std::uint64_t nonce = 0;
  Content content;
  std::string author, note;
  std::optional<std::uint64_t> base;  // empty: what is newest here
  std::vector<std::string> voters;    // not empty: a change of the voters
  CanaryRollout trial;                // it holds for some first
  std::optional<Verdict> verdict;     // a word on a trial instead, under this nonce
};
struct Others {  // who is there, in any order
  std::vector<std::string> names;
};
struct Load {
  double weight = 1;  // requests a second
  double bad = 0;     // the part of those that ended refused or failed
};
struct Wake {};
using Event = std::variant<Begin, Frame, Stored, Written, Checked, Proposal, Others, Load, Wake>;

// ---- Actions

struct SendFrame {
  std::string to, bytes;
};
struct Put {  // on the voter's disk, in the order of the numbers
  std::uint64_t number = 0;
  Store store;
};
struct Write {  // a content, durably
  std::string digest, bytes;
};
struct Check {
  std::string digest;
  ContentPtr content;
};
struct Discard {
  std::string digest;
};
struct Keep {
  PersistedState kept;
};
struct Act {
  ActiveVersion acting;
};
struct Reply {  // to an operator's proposal; final
  Settled settled;
};
struct Report {  // a line for the log
  std::string event, text;
};
using Action = std::variant<SendFrame, Put, Write, Check, Discard, Keep, Act, Reply, Report>;

// ---- View

enum class Part { follower, asking, learner, voter };
const char* word(Part part);

struct View {
  ActiveVersion acting;
  std::optional<Version> pending;
  bool pending_agreed = false, leads = false;
  Part part = Part::follower;
  std::string leader;
  Time lease_left = 0;
  std::uint64_t term = 0, log = 0;
  std::vector<std::string> voters;
  std::string trouble;               // why something does not go on, if so
  std::vector<std::string> behind;   // at the leader
  std::deque<HistoryEntry> history;  // at a voter
};

class ConsensusNode {
 public:
  ConsensusNode(ConsensusSettings settings, std::uint64_t seed);
  ~ConsensusNode();
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  Time next() const;
  const ActiveVersion& acting() const { return acting_; }
  View view(Time now) const;
  const LeaseTable& book() const { return book_; }
  const AppliedState& ledger() const { return ledger_; }
  bool leads(Time now) const { return raft_ && raft_->leads(now) && raft_->settled(); }
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
    Propose propose;
    std::optional<Verdict> verdict;
    Time until = 0, again = 0;
  };

  void on(const Begin& e);
  void on(const Frame& e);
  void on(const Stored& e);
  void on(const Written& e);
  void on(const Checked& e);
  void on(const Proposal& e);
  void on(const Others& e);
  void on(const Load& e);
  void on(const Wake&);
  void take(const std::string& from, RaftFrame& m);
  void take(const std::string& from, Renew& m);
  void take(const std::string& from, Grant& m);
  void take(const std::string& from, Redirect& m);
  void take(const std::string& from, Want& m);
  void take(const std::string& from, Chunk& m);
  void take(const std::string& from, Propose& m);
  void take(const std::string& from, Answer& m);
  void take(const std::string& from, LogPosition& m);
  void take(const std::string& from, Ask& m);
  void take(const std::string& from, Tell& m);
  void take(const std::string& from, RenewHint& m);
  void take(const std::string& from, Verdict& m);

  void act(Action a) { out_->push_back(std::move(a)); }
  void send(const std::string& to, const Message& m);
  void report(const char* event, std::string text) { act(Report{event, std::move(text)}); }

  // The router's part.
  void follow(const std::string& leader);
  void renew();
  void renew_soon(Time in = 0) { renew_at_ = std::min(renew_at_, now_ + in); }
  Renew standing() const;
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
  void begin_raft(Saved saved, const std::vector<std::string>& found);
  void spoilt(const std::string& why);
  void lead();
  void decide(const Version& v);
  std::string who_knows_no_trials() const;
  void watch(const Version& trial);
  bool harmful(const Version& trial, std::string& why) const;
  void reconcile();
  void admit(const std::string& name, const Renew& r, Grant& out);
  bool propose(const Command& c);
  void nudge_some();
  const std::vector<std::string>& desired() const;  // who is to vote
  bool to_vote(const std::string& name) const;
  LogPosition witness(const std::string& to, bool asks);
  void put(std::uint64_t instance, std::uint64_t number, Store store);
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

  Part part_ = Part::follower;
  std::unique_ptr<Raft> raft_;
  struct Putting {
    std::uint64_t put = 0, instance = 0, number = 0;  // of which Raft; 0: a reset
  };
  std::deque<Putting> putting_;
  std::uint64_t instance_ = 0, puts_ = 0;
  bool no_disk_ = false;
  Saved saved_;
  AppliedState ledger_;
  LeaseTable book_;
  std::map<std::string, LogPosition> witnesses_;
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

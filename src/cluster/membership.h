// Who is there: a weakly consistent membership of routers, in the manner of SWIM (Das et al. 2002)
// with the refinements of Lifeguard (Dadgar et al. 2018). Values in, values out: no I/O, no clock,
// no thread of its own.
//
// Use: one Membership a process; hand it every event with the time, carry out the actions in order,
// and hand it Tick when next() is due. The same identity, seed and events give the same actions.
// Not thread-safe.
//
// What it does: each period it probes one member, in an order that is shuffled anew each round;
// without an answer it has others probe it; without theirs it suspects it. A suspicion ends in a
// failure unless the member refutes it by a higher incarnation; its time shrinks as others suspect
// the same, and whoever suspected it first goes on asking it. News travel as rumours on all
// messages and by a gossip of their own while there are any; where more wait than messages can
// carry (a fleet starts, a cut ends), by whole pictures. So the load of a member does not grow with
// their number, but for the one rumour a change.
//
// Who is who: a member is known by its name; its epoch is new at each start, its incarnation grows
// within one. (epoch, incarnation, state) orders all that is said of a name, and the greater holds.
// Whoever is unknown, or known by a lower epoch, and speaks for itself is asked first: only an
// answer to our own question proves that it is there now. So neither a replayed message nor an old
// rumour revives the dead.
//
// Bounds: kMembersMost members, kRumoursMost rumours a message, names and addresses of kWordMost
// characters.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::cluster {

using core::Time;

constexpr std::size_t kMembersMost = 4096, kRumoursMost = 6, kWordMost = 64;

struct Identity {
  std::string name, address, point, version;
  std::uint64_t epoch = 0;
  double share = 0;  // of the traffic, as told; 0: not told
  bool operator==(const Identity&) const = default;
};
// In the order in which they override each other within one incarnation.
enum class State : std::uint8_t { alive, suspect, failed, left };
const char* word(State state);

struct GossipUpdate {
  Identity identity;
  std::uint32_t incarnation = 0;
  State state = State::alive;
  std::string by;  // who suspects
};
// True if `a` says more than `b` of the same name.
bool overrides(const GossipUpdate& a, const GossipUpdate& b);

struct Message {
  enum class Kind : std::uint8_t { ping, ack, ask, nack, gossip };  // ask: ping somebody for me
  Kind kind = Kind::gossip;
  std::uint64_t number = 0;  // of the question
  Identity from;
  std::uint32_t incarnation = 0;       // of the sender
  std::string to;                      // whom it is meant for; empty: whoever is at that address
  std::uint64_t to_epoch = 0;          // 0: any
  std::string target, target_address;  // of an `ask`
  std::uint64_t target_epoch = 0;
  std::vector<GossipUpdate> rumours;
};

struct MembershipSettings {
  Time period = 300'000;     // one probe in each
  Time answer = 100'000;     // then others are asked
  Time gossip = 100'000;     // while there is news
  Time reach = 1'000'000;    // between two tries to reach somebody who is not there
  Time refresh = 1'000'000;  // between two messages of old news
  Time suspicion_least = 900'000, suspicion_most = 3'600'000;
  Time forget = 60'000'000;  // after which the failed and the left are forgotten
  std::size_t helpers = 3;   // asked to probe, and suspicions that shrink the time to its least
  std::size_t fanout = 3;    // of gossip
};

// ---- Events and actions

struct Start {
  std::vector<std::string> seeds;  // addresses; any of them may be down
};
struct Received {
  Message message;
  std::string from;  // the address it came from
};
struct Exchanged {  // a whole picture, of whoever was asked for one or asked us
  std::vector<GossipUpdate> picture;
};
struct Tick {};
struct Leave {};
using Event = std::variant<Start, Received, Exchanged, Tick, Leave>;

struct Send {
  std::string address;
  Message message;
};
struct Exchange {  // ask that address for its picture, and give it ours
  std::string address;
};
struct Changed {
  GossipUpdate now;
  std::optional<State> before;  // empty: it was not known
};
struct Conflict {  // an older process goes on under the name of a newer one
  Identity older, newer;
};
struct Superseded {  // by a later process of our own name: we are out and say nothing more
  Identity by;
};
struct Left {};  // our leaving has been said
using Action = std::variant<Send, Exchange, Changed, Conflict, Superseded, Left>;

// ---- What it shows

enum class Whole : std::uint8_t {
  whole,     // all known members are there
  degraded,  // some are suspect or failed
  cut,       // fewer than half of those known are seen, ourselves counted
  alone      // nobody else is seen
};
const char* word(Whole whole);

struct Seen {
  GossipUpdate member;
  Time since = 0;  // in this state
  Time heard = 0;  // a word of its own, last; 0: never
};
struct Counts {
  std::uint64_t pings = 0, asks = 0, gossips = 0, suspicions = 0, failures = 0, refutations = 0,
                conflicts = 0, refused = 0, stalls = 0;
};

class Membership {
 public:
  Membership(const MembershipSettings& settings, Identity self, std::uint64_t seed);

  void handle(Time now, const Event& event, std::vector<Action>& actions);
  Time next() const;  // when a Tick is due

  // All that is known, ourselves first.
  std::vector<GossipUpdate> picture() const;
  std::vector<Seen> members() const;  // others
  const Seen* find(std::string_view name) const;
  Whole whole() const;
  const Identity& self() const { return self_; }
  std::uint32_t incarnation() const { return incarnation_; }
  std::size_t there() const { return order_.size(); }      // others that are alive or suspect
  std::size_t known() const { return there() + failed_; }  // others, but for those that left
  int health() const { return doubt_; }  // 0: well; more: we may be slow ourselves
  const Counts& counts() const { return counts_; }

 private:
  enum class Wake : std::uint8_t {
    probe,
    help,
    verdict,
    gossip,
    reach,
    refresh,
    suspicion,
    forget,
    nack,
    left
  };
  struct Due {
    Wake why{};
    std::string name;
    std::uint64_t number = 0;
  };
  struct Member {
    Seen seen;
    std::set<std::string> suspecters;
    Time suspected = 0, verdict = 0, called = 0;
    int calls = 0;          // last ones, before it is held for failed
    Time unanswered = 0;    // when it last gave no answer to what we asked it for another
    std::size_t place = 0;  // in order_
  };
  struct Question {  // asked by us, or for another
    std::string name, for_address;
    std::uint64_t epoch = 0, for_number = 0;
    std::size_t helpers = 0, nacks = 0;
    bool periodic = false;
  };
  struct News {
    GossipUpdate rumour;
    std::size_t sent = 0;
  };
  using Members = std::map<std::string, Member, std::less<>>;

  void on(const Start& e);
  void on(const Received& e);
  void on(const Exchanged& e);
  void on(const Tick&);
  void on(const Leave&);
  void due(const Due& d);

  void act(Action a) { out_->push_back(std::move(a)); }
  void wake(Time in, Wake why, std::string name = {}, std::uint64_t number = 0);
  Message message(Message::Kind kind, std::uint64_t number) const;
  void send(const std::string& address, Message m, const std::string& about = {});
  std::uint64_t ask(const std::string& name, std::uint64_t epoch, const std::string& address,
                    bool periodic);

  void probe();
  void help(std::uint64_t number);
  void conclude(std::uint64_t number);
  void gossip();
  void reach();
  void refresh();
  void answered(const Message& m);
  void meet(const Message& m, const std::string& from);
  void merge(const GossipUpdate& r);
  void merge_self(const GossipUpdate& r);
  void confirm(Member& m, const GossipUpdate& r);
  void take(const GossipUpdate& r);
  void suspect(const std::string& name);
  void call(const Identity& who, std::uint64_t epoch);
  void await(const Member& m);
  void expire(Member& m);
  void enlist(Member& m);
  void strike(Member& m);
  void spread(const GossipUpdate& r);
  void pick(std::vector<GossipUpdate>& into, const std::string& about);
  void doubt(int by);
  Time patience(const Member& m) const;
  GossipUpdate myself() const;
  std::vector<Member*> some(std::size_t n, const std::string& but);
  std::uint64_t draw(std::uint64_t below);

  const MembershipSettings set_;
  Identity self_;
  std::uint32_t incarnation_ = 1;
  std::mt19937_64 random_;
  Time now_ = 0;
  bool started_ = false, out_of_it_ = false, leaving_ = false;
  int doubt_ = 0;
  std::vector<std::string> seeds_;
  Members members_;
  std::vector<Member*> order_;  // alive and suspect, in the order of this round
  std::size_t at_ = 0, failed_ = 0, suspects_ = 0;
  std::multiset<std::string> at_addresses_;  // of who is there
  std::string refreshed_;                    // the last one told of as old news
  Time exchanged_ = 0;
  std::size_t asked_seed_ = 0;
  std::map<std::uint64_t, Question> questions_;
  std::map<std::string, News, std::less<>> news_;
  std::set<std::pair<std::size_t, std::string>> fresh_;  // of news_: the least often sent first
  std::multimap<Time, Due> timers_;
  std::vector<Action>* out_ = nullptr;
  Counts counts_;
};

}  // namespace alderspur::cluster

// Which routers are there: a weakly consistent membership by the SWIM protocol (Das et al. 2002)
// with the refinements of Lifeguard (Dadgar et al. 2018). A state machine: events in, actions out.
// No I/O, no clock, no thread; not thread-safe. Durations in microseconds.
//
// Use: one Membership a process; hand it every event with the time, carry out the actions in order,
// and hand it a Tick when next_tick() is due. The same identity, seed and events give the same
// actions.
//
// Each period it probes one member, in an order that is shuffled anew each round; without an ack it
// has others probe it; without theirs it suspects it. A suspicion ends in a failure unless the
// member refutes it by a higher incarnation; its timeout shrinks as others confirm it. Updates
// travel on all messages and by a gossip of their own while there are any; where more wait than
// messages can carry (a fleet starts, a partition ends), by full state exchanges. So the load of a
// member does not grow with their number, but for the one update a change.
//
// A sender that is unknown, or known with a lower epoch, is pinged first: only an ack to a ping of
// our own proves that it is there now. So neither a replayed message nor an outdated update brings
// a stopped member back.
//
// Bounds: kMaxMembers members, kMaxUpdatesPerMessage updates a message, names and addresses of
// kMaxNameLength characters. What exceeds them is ignored and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/gossip_queue.h"
#include "cluster/local_health.h"
#include "cluster/member.h"
#include "cluster/member_table.h"
#include "cluster/message.h"
#include "cluster/random_source.h"
#include "cluster/timer_queue.h"

namespace alderspur::cluster {

struct MembershipSettings {
  Time probe_interval = 300'000;
  Time probe_timeout = 100'000;         // without an ack then, others are asked to probe
  Time gossip_interval = 100'000;       // while there are updates to tell
  Time reconnect_interval = 1'000'000;  // between two attempts to reach a member that is not there
  Time refresh_interval = 1'000'000;    // between two messages of old updates
  Time min_suspicion_timeout = 900'000;
  Time max_suspicion_timeout = 3'600'000;
  Time forget_after = 60'000'000;   // of members that failed or left
  std::size_t indirect_probes = 3;  // members asked to probe; confirmations for the least timeout
  std::size_t gossip_fanout = 3;
};

// ---- Events

struct Start {
  std::vector<std::string> seeds;  // addresses; any of them may be down
};
struct MessageReceived {
  Message message;
  std::string from;  // the address it came from
};
/// The full state of a member that we asked for it, or that asked us.
struct FullStateReceived {
  std::vector<GossipUpdate> members;
};
struct Tick {};
/// Leave the cluster: tell the others, then stop.
struct Leave {};
using Event = std::variant<Start, MessageReceived, FullStateReceived, Tick, Leave>;

// ---- Actions

struct SendMessage {
  std::string address;
  Message message;
};
/// Ask that address for its full state, and give it ours.
struct ExchangeFullState {
  std::string address;
};
struct MemberChanged {
  GossipUpdate update;
  std::optional<MemberState> previous_state;  // empty: it was not known
};
/// An older process goes on under the name of a newer one.
struct NameConflict {
  Identity older;
  Identity newer;
};
/// A later process has taken our own name: we are out and send nothing more.
struct Superseded {
  Identity by;
};
/// The other members have been notified of the shutdown.
struct LeaveCompleted {};
using Action = std::variant<SendMessage, ExchangeFullState, MemberChanged, NameConflict, Superseded,
                            LeaveCompleted>;

// ---- What it shows

enum class ClusterHealth : std::uint8_t {
  whole,        // all known members are alive
  degraded,     // some are suspect or failed
  partitioned,  // fewer than half of those known are live, ourselves counted
  isolated,     // no other is live
};
/// As operators see it.
const char* to_string(ClusterHealth health);

struct MembershipCounters {
  std::uint64_t pings = 0;
  std::uint64_t ping_requests = 0;
  std::uint64_t gossips = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t failures = 0;
  std::uint64_t refutations = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t rejected = 0;  // messages and updates
  std::uint64_t stalls = 0;    // of this process
};

class Membership {
 public:
  Membership(const MembershipSettings& settings, Identity self, std::uint64_t seed);

  /// Appends to `actions` what is to be done, in order.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// When a Tick is due; kNever after the end.
  Time next_tick() const;

  /// All that is known, ourselves first.
  std::vector<GossipUpdate> full_state() const;
  /// All others that are known, by name.
  std::vector<MemberView> members() const;
  /// Null where the name is unknown.
  const MemberView* find(std::string_view name) const;
  ClusterHealth health() const;
  const Identity& self() const { return self_; }
  std::uint32_t incarnation() const { return incarnation_; }
  /// Others that are alive or suspect.
  std::size_t live_count() const { return table_.live_count(); }
  /// Others, but for those that left.
  std::size_t known_count() const { return live_count() + table_.failed_count(); }
  /// Lifeguard's: 0: healthy; more: this process may be slow itself.
  int local_health_score() const { return local_health_.score(); }
  const MembershipCounters& counters() const { return counters_; }

 private:
  // A ping of ours, or one that we send on behalf of another member.
  struct OutstandingPing {
    std::string target;
    std::uint64_t target_epoch = 0;
    std::string requester_address;  // empty: our own
    std::uint64_t requester_ping_id = 0;
    std::size_t ping_requests = 0;
    std::size_t nacks = 0;
    bool is_probe = false;  // one of the periodic probes
  };

  // Events and timers (membership.cpp)
  void on(const Start& event);
  void on(const MessageReceived& event);
  void on(const FullStateReceived& event);
  void on(const Tick& event);
  void on(const Leave& event);
  void handle_stall(Time late);
  void fire(const Timer& timer);
  void forget(const std::string& name);
  void act(Action action) { actions_->push_back(std::move(action)); }
  void set_timer(Time delay, TimerKind kind, std::string member = {}, std::uint64_t ping_id = 0);

  // Probing (membership_probing.cpp)
  Message make_message(Message::Kind kind, std::uint64_t ping_id) const;
  std::uint64_t ping(const Identity& target, std::uint64_t epoch, bool is_probe);
  void ping_outside_of_probes(const Identity& target, std::uint64_t epoch);
  void probe_next();
  void probe_indirectly(std::uint64_t ping_id);
  void conclude_probe(std::uint64_t ping_id);
  void handle_ping(const Message& message, const std::string& from);
  void handle_ping_request(const Message& message, const std::string& from);
  void handle_ack(const Message& message);
  void handle_nack(const Message& message);
  void send_nack(std::uint64_t ping_id);
  void verify_sender(const Message& message, const std::string& from);
  void handle_own_name(const Message& message, const std::string& from);

  // Updates on members (membership_updates.cpp)
  GossipUpdate own_update() const;
  void merge(const GossipUpdate& update);
  void merge_own(const GossipUpdate& update);
  void apply(const GossipUpdate& update);
  void begin_suspicion(Member& member);
  void suspect(const std::string& name);
  void confirm_suspicion(Member& member, const GossipUpdate& update);
  void schedule_last_pings(const Member& member);
  void check_suspicion(Member& member);
  void declare_failed(const Member& member);
  Time suspicion_timeout_of(const Member& member) const;

  // Dissemination (membership_gossip.cpp)
  void send(const std::string& address, Message message, const std::string& subject = {});
  void attach_update_on(const std::string& subject, std::vector<GossipUpdate>& updates) const;
  std::size_t max_transmissions() const;
  void gossip();
  void refresh();
  void reconnect();
  void exchange_full_state(const std::string& address);
  bool may_exchange_full_state() const;

  const MembershipSettings settings_;
  Identity self_;
  std::uint32_t incarnation_ = 1;
  RandomSource random_;
  MemberTable table_{random_};
  GossipQueue gossip_queue_;
  TimerQueue timers_;
  LocalHealth local_health_;
  std::map<std::uint64_t, OutstandingPing> outstanding_pings_;  // by ping id
  Time now_ = 0;
  bool is_started_ = false;
  bool is_leaving_ = false;
  bool is_out_ = false;  // superseded, or has left: no more actions
  std::vector<std::string> seeds_;
  std::size_t next_seed_ = 0;
  std::string refresh_cursor_;  // the last member that refresh() sent
  Time last_exchange_at_ = 0;
  std::vector<Action>* actions_ = nullptr;  // of the event being handled
  MembershipCounters counters_;
};

}  // namespace alderspur::cluster

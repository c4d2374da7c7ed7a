// Maintains the list of routers that are running: a weakly consistent membership based on the SWIM
// protocol (Das et al. 2002) with the refinements of Lifeguard (Dadgar et al. 2018). Membership is
// a state machine that takes events and returns actions. It does no I/O, reads no clock, starts no
// thread and is not thread-safe. Times and durations are in microseconds.
//
// Usage: create one Membership per process. Pass every event with the current time to handle(),
// execute the returned actions in order, and pass a Tick when next_tick() is due. The same
// identity, seed and events give the same actions.
//
// Failure detection: in each period one member is probed, in an order that is shuffled again after
// each round. If no ack arrives, other members (helpers) are requested to probe it; if they receive
// none either, it becomes suspect. A suspect member is declared failed unless it refutes the
// suspicion with a higher incarnation. The suspicion timeout decreases as other members confirm the
// suspicion.
//
// Dissemination: updates are attached to all messages, and separate gossip messages are sent as
// long as updates are queued. If more updates are queued than messages can carry, for example when
// a fleet starts or a partition ends, members exchange their full state. The load of a member
// therefore does not grow with the size of the cluster, except for one update per change.
//
// Verification: a sender that is unknown, or known with a lower epoch, is pinged first, because
// only an ack to a ping of this process proves that the sender is running now. Neither a replayed
// message nor an outdated update can therefore bring a stopped member back.
//
// Limits: kMaxMembers members, kMaxUpdatesPerMessage updates per message, and kMaxNameLength bytes
// per name or address. Messages and updates that exceed a limit are ignored and counted.
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

/// Intervals and limits of the protocol. Durations are in microseconds.
struct MembershipSettings {
  Time probe_interval = 300'000;
  Time probe_timeout = 100'000;         // without an ack by then, indirect probes are requested
  Time gossip_interval = 100'000;       // between gossip rounds while updates are queued
  Time reconnect_interval = 1'000'000;  // between attempts to reach failed members or seeds
  Time refresh_interval = 1'000'000;    // between messages that repeat old updates
  Time min_suspicion_timeout = 900'000;
  Time max_suspicion_timeout = 3'600'000;
  Time forget_after = 60'000'000;  // how long failed and departed members are kept
  // How many members are requested to probe indirectly. The same number of confirmations reduces
  // the suspicion timeout to its minimum.
  std::size_t indirect_probes = 3;
  std::size_t gossip_fanout = 3;  // messages per gossip round
};

// ---- Events

/// Starts the protocol.
struct Start {
  std::vector<std::string> seeds;  // addresses; any of them may be down
};
/// A datagram of another member has arrived.
struct MessageReceived {
  Message message;
  std::string from;  // the address that it was sent from
};
/// The full state of another member has arrived in an exchange, which either side may have opened.
struct FullStateReceived {
  std::vector<GossipUpdate> members;
};
/// A timer may be due.
struct Tick {};
/// Leaves the cluster: the other members are notified before the protocol stops.
struct Leave {};
using Event = std::variant<Start, MessageReceived, FullStateReceived, Tick, Leave>;

// ---- Actions

/// Sends a datagram.
struct SendMessage {
  std::string address;
  Message message;
};
/// Requests the full state of the member at this address, and sends it the state of this process.
struct ExchangeFullState {
  std::string address;
};
/// The state or the epoch of another member has changed.
struct MemberChanged {
  GossipUpdate update;
  std::optional<MemberState> previous_state;  // empty if the member was unknown
};
/// Two processes use the same name: an older process is still running, or a process has started at
/// another address while the older one was live.
struct NameConflict {
  Identity older;
  Identity newer;
};
/// A later process uses the name of this one. This Membership stops and returns no more actions.
struct Superseded {
  Identity by;
};
/// The other members have been notified that this process leaves.
struct LeaveCompleted {};
using Action = std::variant<SendMessage, ExchangeFullState, MemberChanged, NameConflict, Superseded,
                            LeaveCompleted>;

// ---- Views

/// The health of the cluster as this process sees it.
enum class ClusterHealth : std::uint8_t {
  whole,        // all known members are alive
  degraded,     // some members are suspect or failed
  partitioned,  // fewer than half of the known members are live, counting this process
  isolated,     // no other member is live
};
/// Returns the name of the health as it appears on the operators' pages.
const char* to_string(ClusterHealth health);

/// Event counts since the start.
struct MembershipCounters {
  std::uint64_t pings = 0;
  std::uint64_t ping_requests = 0;
  std::uint64_t gossips = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t failures = 0;  // members that this process has declared failed
  std::uint64_t refutations = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t rejected = 0;  // messages and updates
  std::uint64_t stalls = 0;    // how often this process itself was stopped for a while
};

/// The membership protocol of one process. See the head of this file.
class Membership {
 public:
  Membership(const MembershipSettings& settings, Identity self, std::uint64_t seed);

  /// Handles an event and appends the resulting actions to `actions`, in the order in which they
  /// must be executed.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// Returns the time at which a Tick is due; kNever before the start and after the end.
  Time next_tick() const;

  /// Returns the update on this process, followed by the updates on all other members.
  std::vector<GossipUpdate> full_state() const;
  /// Returns all other members in the order of their names.
  std::vector<MemberView> members() const;
  /// Returns null if no other member has this name.
  const MemberView* find(std::string_view name) const;
  ClusterHealth health() const;
  const Identity& self() const { return self_; }
  std::uint32_t incarnation() const { return incarnation_; }
  /// Returns the number of other members that are alive or suspect.
  std::size_t live_count() const { return table_.live_count(); }
  /// Returns the number of other members, without those that have left.
  std::size_t known_count() const { return live_count() + table_.failed_count(); }
  /// Returns Lifeguard's local health score. 0 means healthy; with a higher score, this process
  /// itself may be slow.
  int local_health_score() const { return local_health_.score(); }
  const MembershipCounters& counters() const { return counters_; }

 private:
  // A ping that awaits its ack: sent for this process, or on behalf of another member.
  struct OutstandingPing {
    std::string target;
    std::uint64_t target_epoch = 0;
    std::string requester_address;  // empty if the ping is for this process
    std::uint64_t requester_ping_id = 0;
    std::size_t ping_requests = 0;  // requests for indirect probes that were sent
    std::size_t nacks = 0;          // nacks that arrived in answer to these requests
    bool is_probe = false;          // one of the periodic probes
  };

  // Events and timers (membership.cpp)
  void on(const Start& event);
  void on(const MessageReceived& event);
  void on(const FullStateReceived& event);
  void on(const Tick& event);
  void on(const Leave& event);
  void handle_stall(Time duration);
  void fire(const Timer& timer);
  void forget(const std::string& name);
  void emit(Action action) { actions_->push_back(std::move(action)); }
  void set_timer(Time delay, TimerKind kind, std::string member = {}, std::uint64_t ping_id = 0);

  // Probing (membership_probing.cpp)
  Message make_message(Message::Kind kind, std::uint64_t ping_id) const;
  std::uint64_t ping(const Identity& target, std::uint64_t epoch, bool is_probe);
  void ping_unscheduled(const Identity& target, std::uint64_t epoch);
  void probe_next();
  void probe_indirectly(std::uint64_t ping_id);
  void conclude_probe(std::uint64_t ping_id);
  void handle_ping(const Message& message, const std::string& from);
  void handle_ping_request(const Message& message, const std::string& from);
  void handle_ack(const Message& message);
  void handle_nack(const Message& message);
  void send_nack(std::uint64_t ping_id);
  void verify_sender(const Message& message, const std::string& from);
  void handle_same_name(const Message& message, const std::string& from);

  // Updates on members (membership_updates.cpp)
  GossipUpdate own_update() const;
  void merge(const GossipUpdate& update);
  void merge_update_on_self(const GossipUpdate& update);
  void apply(const GossipUpdate& update);
  void begin_suspicion(Member& member);
  void suspect(const std::string& name);
  void confirm_suspicion(Member& member, const GossipUpdate& update);
  void schedule_final_pings(const Member& member);
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
  bool is_stopped_ = false;  // superseded, or has left: no more actions
  std::vector<std::string> seeds_;
  std::size_t next_seed_ = 0;
  std::string refresh_cursor_;  // name of the last member that refresh() sent an update on
  Time last_exchange_at_ = 0;
  std::vector<Action>* actions_ = nullptr;  // output of the current handle() call
  MembershipCounters counters_;
};

}  // namespace alderspur::cluster

// Runs many Memberships in one process on a simulated network with its own clock. Messages are
// delayed and may be lost by a rule that the test sets. Simulated processes can be killed, stopped
// and resumed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/membership.h"

namespace simulation {

namespace cluster = alderspur::cluster;
using cluster::Time;

constexpr Time kSecond = 1'000'000;
// The maximum number of events that a stopped process receives when it is resumed, like datagrams
// in a socket buffer.
constexpr std::size_t kMaxHeldEvents = 500;

/// Returns the name of the process with this index.
inline std::string node_name(std::size_t index) { return "n" + std::to_string(index); }
/// Returns the default address of the process with this name.
inline std::string address_of(const std::string& name) { return "at-" + name; }

/// One simulated process.
struct Node {
  std::unique_ptr<cluster::Membership> membership;
  std::string address;
  bool is_stopped = false;
  std::vector<cluster::Event> held_events;  // arrived while the process is stopped
  std::uint64_t bytes_sent = 0;             // estimated
  std::vector<cluster::NameConflict> conflicts;
  bool is_superseded = false;
  bool has_left = false;
};

/// The simulated network and its processes.
class Network {
 public:
  /// Returns true if a message between these addresses is lost.
  using LossRule = std::function<bool(const std::string& from, const std::string& to)>;

  explicit Network(std::uint64_t seed, cluster::MembershipSettings settings = {})
      : random_(seed), settings_(settings) {}

  /// Starts a process with this name, or restarts it. Its epoch is derived from the clock.
  Node& start(const std::string& name, const std::vector<std::string>& seeds,
              std::string address = {}) {
    if (address.empty()) address = address_of(name);
    nodes_.erase(address);
    Node& node = nodes_[address];
    node.address = address;
    const auto epoch = static_cast<std::uint64_t>(now_ + 1);
    const cluster::Identity self{name, address, "p", "1", epoch, 0};
    node.membership = std::make_unique<cluster::Membership>(settings_, self, random_());
    handle(node, cluster::Start{seeds});
    return node;
  }
  /// Starts `count` processes. The first three are the seeds of all.
  void start_all(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) start(node_name(i), default_seeds());
  }
  static std::vector<std::string> default_seeds() { return {"at-n0", "at-n1", "at-n2"}; }
  void kill(const std::string& address) { nodes_.erase(address); }
  /// Stops a process as SIGSTOP does. Events that arrive are held until resume().
  void stop(const std::string& address) { nodes_.at(address).is_stopped = true; }
  void resume(const std::string& address) {
    Node& node = nodes_.at(address);
    node.is_stopped = false;
    for (const auto& event : std::exchange(node.held_events, {})) handle(node, event);
    schedule_tick(node);
  }
  void deliver(const std::string& address, const cluster::Event& event) {
    const auto found = nodes_.find(address);
    if (found != nodes_.end()) handle(found->second, event);
  }

  void run(Time duration) {
    const Time end = now_ + duration;
    while (!scheduled_.empty() && scheduled_.begin()->first <= end) {
      auto entry = scheduled_.extract(scheduled_.begin());
      now_ = std::max(now_, entry.key());
      entry.mapped()();
    }
    now_ = end;
  }
  /// Runs until the condition is true; returns false if it is not true within `timeout`.
  bool run_until(const std::function<bool()>& condition, Time timeout, Time step = 50'000) {
    for (const Time end = now_ + timeout; now_ < end; run(step)) {
      if (condition()) return true;
    }
    return condition();
  }

  /// Reports whether each process has exactly the others as live members and sees no partition.
  bool all_see_each_other() const {
    return all_of_nodes([this](const cluster::Membership& membership) {
      return membership.live_count() + 1 == nodes_.size() &&
             membership.health() != cluster::ClusterHealth::partitioned;
    });
  }
  /// Reports whether each process has exactly the others as live members, and all of them are
  /// alive.
  bool all_whole() const {
    return all_of_nodes([this](const cluster::Membership& membership) {
      return membership.live_count() + 1 == nodes_.size() &&
             membership.health() == cluster::ClusterHealth::whole;
    });
  }

  Node& node(const std::string& address) { return nodes_.at(address); }
  cluster::Membership& member(const std::string& name) {
    return *nodes_.at(address_of(name)).membership;
  }
  std::map<std::string, Node>& nodes() { return nodes_; }
  Time now() const { return now_; }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  void set_loss(LossRule is_lost) { is_lost_ = std::move(is_lost); }
  void stop_losses() {
    set_loss([](const auto&, const auto&) { return false; });
  }
  void set_delay(std::function<Time()> delay) { delay_ = std::move(delay); }

  /// Sets a function that is called for each change that a process reports.
  using ChangeObserver = std::function<void(Node&, const cluster::MemberChanged&)>;
  void observe_changes(ChangeObserver observer) { on_change_ = std::move(observer); }
  /// Sets a function that is called for each message that is sent, whether or not it is lost.
  using MessageObserver = std::function<void(const std::string& to, const cluster::Message&)>;
  void observe_messages(MessageObserver observer) { on_message_ = std::move(observer); }

 private:
  bool all_of_nodes(const std::function<bool(const cluster::Membership&)>& condition) const {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [&](const auto& entry) { return condition(*entry.second.membership); });
  }
  void handle(Node& node, const cluster::Event& event) {
    if (node.is_stopped) {
      const bool is_tick = std::holds_alternative<cluster::Tick>(event);
      if (!is_tick && node.held_events.size() < kMaxHeldEvents) node.held_events.push_back(event);
      return;
    }
    std::vector<cluster::Action> actions;
    node.membership->handle(now_, event, actions);
    for (auto& action : actions) execute(node, action);
    schedule_tick(node);
  }
  void schedule_tick(Node& node) {
    const Time due_at = node.membership->next_tick();
    if (due_at == cluster::kNever) return;
    const auto tick = [this, address = node.address, membership = node.membership.get()] {
      const auto found = nodes_.find(address);
      if (found == nodes_.end() || found->second.is_stopped) return;
      if (found->second.membership.get() != membership) return;  // the process was restarted
      if (membership->next_tick() <= now_) handle(found->second, cluster::Tick{});
    };
    scheduled_.emplace(std::max(due_at, now_), tick);
  }
  void execute(Node& node, cluster::Action& action) {
    if (auto* sent = std::get_if<cluster::SendMessage>(&action)) {
      send(node, *sent);
    } else if (const auto* exchange = std::get_if<cluster::ExchangeFullState>(&action)) {
      exchange_full_state(node, exchange->address);
    } else if (const auto* changed = std::get_if<cluster::MemberChanged>(&action)) {
      on_change_(node, *changed);
    } else if (const auto* conflict = std::get_if<cluster::NameConflict>(&action)) {
      node.conflicts.push_back(*conflict);
    } else if (std::holds_alternative<cluster::Superseded>(action)) {
      node.is_superseded = true;
    } else {
      node.has_left = true;
    }
  }
  void send(Node& node, cluster::SendMessage& sent) {
    node.bytes_sent += 150 + 90 * sent.message.updates.size();
    on_message_(sent.address, sent.message);
    if (is_lost_(node.address, sent.address)) return;
    const Time arrival = now_ + delay_();
    scheduled_.emplace(
        arrival, [this, to = sent.address, from = node.address, message = std::move(sent.message)] {
          deliver(to, cluster::MessageReceived{message, from});
        });
  }
  // An exchange needs a connection: it takes place only if no direction of the link is lost.
  void exchange_full_state(Node& node, const std::string& address) {
    if (is_lost_(node.address, address) || is_lost_(address, node.address)) return;
    if (!nodes_.contains(address) || nodes_.at(address).is_stopped) return;
    const Time arrival = now_ + 2 * delay_();
    scheduled_.emplace(
        arrival, [this, to = address, from = node.address, own = node.membership->full_state()] {
          if (!nodes_.contains(to) || !nodes_.contains(from) || nodes_.at(to).is_stopped) return;
          auto theirs = nodes_.at(to).membership->full_state();
          handle(nodes_.at(to), cluster::FullStateReceived{own});
          handle(nodes_.at(from), cluster::FullStateReceived{std::move(theirs)});
        });
  }

  std::mt19937_64 random_;
  const cluster::MembershipSettings settings_;
  std::map<std::string, Node> nodes_;  // by address
  std::multimap<Time, std::function<void()>> scheduled_;
  LossRule is_lost_ = [](const auto&, const auto&) { return false; };
  std::function<Time()> delay_ = [this] { return 500 + static_cast<Time>(draw(4000)); };
  ChangeObserver on_change_ = [](auto&, const auto&) {};
  MessageObserver on_message_ = [](const auto&, const auto&) {};
  Time now_ = 1'000'000'000;
};

}  // namespace simulation

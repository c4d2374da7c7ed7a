// Runs replicas on a simulated network with its own clock. Frames are delayed by a few milliseconds
// and may be lost. Replicas can be stopped, and restarted without their state.
#pragma once

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "replication/replica.h"

namespace simulation {

using alderspur::replication::Action;
using alderspur::replication::ApplyGlobalPurge;
using alderspur::replication::ApplyPurge;
using alderspur::replication::Author;
using alderspur::replication::BanRequested;
using alderspur::replication::BanSet;
using alderspur::replication::BansLoaded;
using alderspur::replication::Bound;
using alderspur::replication::ClockRead;
using alderspur::replication::Event;
using alderspur::replication::FrameReceived;
using alderspur::replication::LiftRequested;
using alderspur::replication::PeersChanged;
using alderspur::replication::PurgeFloor;
using alderspur::replication::PurgeFloors;
using alderspur::replication::PurgeObserved;
using alderspur::replication::Replica;
using alderspur::replication::ReplicaSettings;
using alderspur::replication::ReportBound;
using alderspur::replication::ReportClockSkew;
using alderspur::replication::ReportRefusedBan;
using alderspur::replication::ReportRejectedBan;
using alderspur::replication::SendFrame;
using alderspur::replication::SetBan;
using alderspur::replication::Tick;
using alderspur::replication::Time;

constexpr Time kSecond = 1'000'000;

/// Returns the factor by which exploring tests multiply their number of seeds. ALDERSPUR_EXPLORE
/// sets it; the default is 1.
inline std::size_t exploration_factor() {
  const char* factor = std::getenv("ALDERSPUR_EXPLORE");
  return factor != nullptr ? std::strtoul(factor, nullptr, 10) : 1;
}

inline std::string replica_name(std::size_t index) { return "r" + std::to_string(index); }
inline Author author(std::size_t index) { return {replica_name(index), 1}; }

/// One router: its replica, and what the router has received from the replica's actions.
struct Node {
  std::unique_ptr<Replica> replica;            // null while the replica is stopped
  std::set<std::string> banned;                // servers
  std::map<std::uint64_t, Time> purge_floors;  // by object
  Time global_floor = 0;
  std::map<Bound, std::uint64_t> bound_reports;
  std::map<std::string, std::uint64_t> clock_skews;            // number of reports by peer
  Time clock_error = 0;                                        // error of the router's Unix time
  std::set<std::string> refused_bans;                          // servers
  std::map<std::string, std::set<std::string>> rejected_bans;  // peers that reject it, by server
  std::uint64_t epoch = 0;
};

/// The simulated network and its replicas.
class Network {
 public:
  /// Returns true if a frame between these replicas is lost.
  using LossRule = std::function<bool(const std::string& from, const std::string& to)>;

  Network(std::uint64_t seed, std::size_t size,
          std::size_t max_floors = alderspur::replication::kDefaultMaxFloors)
      : random_(seed), max_floors_(max_floors) {
    for (std::size_t i = 0; i < size; ++i) start_replica(replica_name(i));
    announce_peers();
  }

  void stop(const std::string& name) {
    nodes_[name].replica.reset();
    announce_peers();
  }
  void restart(const std::string& name) {
    start_replica(name);
    announce_peers();
  }

  void deliver(const std::string& name, const Event& event) {
    Node& node = nodes_[name];
    if (!node.replica) return;
    std::vector<Action> actions;
    node.replica->handle(now_, ClockRead{now_ + node.clock_error}, actions);
    node.replica->handle(now_, event, actions);
    for (const auto& action : actions) execute(name, node, action);
  }

  void ban(const std::string& at, const std::string& server) {
    deliver(at, BanRequested{server, "by hand", now_});
    nodes_[at].banned.insert(server);
  }
  void lift(const std::string& at, const std::string& server) {
    deliver(at, LiftRequested{server});
    nodes_[at].banned.erase(server);
  }
  void purge(const std::string& at, std::uint64_t object) {
    deliver(at, PurgeObserved{{true, object, now_}});
  }

  void run(Time duration) {
    for (const Time end = now_ + duration; now_ < end; now_ += 1000) {
      while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
        const auto [to, frame] = in_flight_.begin()->second;
        in_flight_.erase(in_flight_.begin());
        deliver(to, frame);
      }
      for (auto& [name, node] : nodes_) {
        if (node.replica && node.replica->next_tick() <= now_) deliver(name, Tick{});
      }
    }
  }
  /// Runs until the condition is true; returns false if it is not true within `timeout`.
  bool run_until(const std::function<bool()>& condition, Time timeout) {
    for (const Time end = now_ + timeout; now_ < end; run(10'000)) {
      if (condition()) return true;
    }
    return condition();
  }

  /// Reports whether all running replicas have the same bans and floors.
  bool all_equal() const {
    const Replica* first = nullptr;
    for (const auto& [name, node] : nodes_) {
      if (!node.replica) continue;
      if (first == nullptr) first = node.replica.get();
      const bool is_same =
          node.replica->bans() == first->bans() && node.replica->floors() == first->floors();
      if (!is_same) return false;
    }
    return true;
  }
  /// Reports whether the server is banned, or not banned, in each running replica and at its
  /// router.
  bool all_have_banned(const std::string& server, bool is_banned) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
      const Node& node = entry.second;
      return !node.replica || (node.banned.contains(server) == is_banned &&
                               node.replica->bans().is_banned(server) == is_banned);
    });
  }

  void set_loss(LossRule is_lost) { is_lost_ = std::move(is_lost); }
  void stop_losses() {
    set_loss([](const auto&, const auto&) { return false; });
  }

  Node& node(const std::string& name) { return nodes_[name]; }
  const Replica& replica(const std::string& name) { return *nodes_[name].replica; }
  std::map<std::string, Node>& nodes() { return nodes_; }
  Time now() const { return now_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

 private:
  void start_replica(const std::string& name) {
    Node& node = nodes_[name];
    ReplicaSettings settings;
    settings.self = {name, ++node.epoch};
    settings.max_floors = max_floors_;
    node.banned.clear();
    node.purge_floors.clear();
    node.global_floor = 0;
    node.replica = std::make_unique<Replica>(settings, random_());
  }
  void announce_peers() {
    for (auto& [name, node] : nodes_) {
      PeersChanged peers;
      for (const auto& [other, other_node] : nodes_) {
        if (other != name && other_node.replica) peers.names.push_back(other);
      }
      if (node.replica) deliver(name, peers);
    }
  }
  void execute(const std::string& name, Node& node, const Action& action) {
    if (const auto* frame = std::get_if<SendFrame>(&action)) {
      bytes_sent_ += frame->bytes.size();
      if (is_lost_(name, frame->to)) return;
      const Time delay = 500 + static_cast<Time>(draw(4000));
      in_flight_.emplace(now_ + delay, std::pair(frame->to, FrameReceived{name, frame->bytes}));
    } else if (const auto* ban = std::get_if<SetBan>(&action)) {
      if (ban->is_banned) {
        node.banned.insert(ban->server);
      } else {
        node.banned.erase(ban->server);
      }
    } else if (const auto* purge = std::get_if<ApplyGlobalPurge>(&action)) {
      node.global_floor = std::max(node.global_floor, purge->at);
    } else if (const auto* refused = std::get_if<ReportRefusedBan>(&action)) {
      node.refused_bans.insert(refused->server);
    } else if (const auto* rejected = std::get_if<ReportRejectedBan>(&action)) {
      node.refused_bans.insert(rejected->server);
      node.rejected_bans[rejected->server].insert(rejected->peer);
    } else if (const auto* skew = std::get_if<ReportClockSkew>(&action)) {
      ++node.clock_skews[skew->from];
    } else if (const auto* report = std::get_if<ReportBound>(&action)) {
      ++node.bound_reports[report->bound];
    } else {
      const auto& floor = std::get<ApplyPurge>(action).floor;
      node.purge_floors[floor.id] = floor.at;
    }
  }

  std::mt19937_64 random_;
  const std::size_t max_floors_;
  std::map<std::string, Node> nodes_;
  std::multimap<Time, std::pair<std::string, FrameReceived>> in_flight_;
  LossRule is_lost_ = [](const auto&, const auto&) { return false; };
  Time now_ = 1'000'000'000;
  std::uint64_t bytes_sent_ = 0;
};

/// Loads bans into a replica, as if an earlier process of the router had stored them.
inline void load_stored(Network& network, const std::string& name, const BanSet& bans) {
  network.deliver(name, BansLoaded{bans});
}

}  // namespace simulation

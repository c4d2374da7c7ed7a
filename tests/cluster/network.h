// A network of many memberships in one process, on a clock of its own: every message passes a fault
// of the test.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/membership.h"

namespace network {

using namespace alderspur;
using cluster::Time;
constexpr Time kSecond = 1'000'000;

class Network {
 public:
  struct Node {
    std::unique_ptr<cluster::Membership> member;
    std::string address;
    bool stopped = false;  // it holds what comes until it goes on
    std::vector<cluster::Event> held;
    std::uint64_t sent = 0, bytes = 0;
    std::vector<cluster::Conflict> conflicts;
    bool superseded = false, left = false;
  };
  explicit Network(std::uint64_t seed, cluster::MembershipSettings settings = {})
      : random(seed), settings_(settings) {}

  // Starts, or starts anew, a process of that name. Epochs grow with the clock.
  Node& start(const std::string& name, const std::vector<std::string>& seeds,
              std::string address = {}, std::uint64_t epoch = 0) {
    if (address.empty()) address = "at-" + name;
    nodes.erase(address);
    Node& n = nodes[address];
    n.address = address;
    cluster::Identity self{
        name, address, "p", "1", epoch ? epoch : static_cast<std::uint64_t>(now + 1), 0};
    n.member = std::make_unique<cluster::Membership>(settings_, self, random());
    give(n, cluster::Start{seeds});
    return n;
  }
  void kill(const std::string& address) { nodes.erase(address); }
  void stop(const std::string& address) { nodes.at(address).stopped = true; }
  void go_on(const std::string& address) {
    Node& n = nodes.at(address);
    n.stopped = false;
    for (const auto& e : std::exchange(n.held, {})) give(n, e);
    arm(n);
  }
  Node& at(const std::string& address) { return nodes.at(address); }
  cluster::Membership& member(const std::string& name) { return *nodes.at("at-" + name).member; }

  void run(Time time) {
    const Time end = now + time;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto node = queue_.extract(queue_.begin());
      now = std::max(now, node.key());
      node.mapped()();
    }
    now = end;
  }
  bool run_until(const std::function<bool()>& holds, Time most, Time step = 50'000) {
    for (const Time end = now + most; now < end; run(step))
      if (holds()) return true;
    return holds();
  }
  // All that run see exactly each other.
  bool agreed() {
    for (auto& [address, n] : nodes)
      if (n.member->there() + 1 != nodes.size() || n.member->whole() == cluster::Whole::cut)
        return false;
    return true;
  }
  bool all_whole() {
    for (auto& [address, n] : nodes)
      if (n.member->there() + 1 != nodes.size() || n.member->whole() != cluster::Whole::whole)
        return false;
    return true;
  }

  // True: the message is lost between those addresses.
  std::function<bool(const std::string& from, const std::string& to)> lost = [](auto&, auto&) {
    return false;
  };
  std::function<Time()> way = [this] { return 500 + static_cast<Time>(random() % 4000); };
  // Called for each change that a node tells of.
  std::function<void(Node&, const cluster::Changed&)> changed = [](auto&, auto&) {};
  std::function<void(const std::string& to, const cluster::Message&)> carried = [](auto&, auto&) {};
  Time now = 1'000'000'000;
  std::map<std::string, Node> nodes;
  std::mt19937_64 random;

  void deliver(const std::string& to, cluster::Event event) {
    const auto it = nodes.find(to);
    if (it != nodes.end()) give(it->second, event);
  }

 private:
  void give(Node& n, const cluster::Event& event) {
    if (n.stopped) {
      if (n.held.size() < 500 && !std::holds_alternative<cluster::Tick>(event))
        n.held.push_back(event);
      return;
    }
    std::vector<cluster::Action> actions;
    n.member->handle(now, event, actions);
    for (auto& a : actions) carry_out(n, a);
    arm(n);
  }
  void arm(Node& n) {
    const Time due = n.member->next();
    if (due == std::numeric_limits<Time>::max()) return;
    queue_.emplace(std::max(due, now), [this, address = n.address, member = n.member.get()] {
      const auto it = nodes.find(address);
      if (it == nodes.end() || it->second.member.get() != member || it->second.stopped) return;
      if (member->next() <= now) give(it->second, cluster::Tick{});
    });
  }
  void carry_out(Node& n, cluster::Action& action) {
    if (auto* s = std::get_if<cluster::Send>(&action)) {
      ++n.sent;
      n.bytes += 150 + 90 * s->message.rumours.size();
      carried(s->address, s->message);
      if (lost(n.address, s->address)) return;
      queue_.emplace(now + way(),
                     [this, to = s->address, from = n.address, m = std::move(s->message)] {
                       deliver(to, cluster::Received{m, from});
                     });
    } else if (auto* e = std::get_if<cluster::Exchange>(&action)) {
      // A connection: there and back, or not at all.
      if (lost(n.address, e->address) || lost(e->address, n.address) || !nodes.contains(e->address))
        return;
      if (nodes.at(e->address).stopped) return;
      queue_.emplace(now + 2 * way(),
                     [this, to = e->address, from = n.address, mine = n.member->picture()] {
                       if (!nodes.contains(to) || !nodes.contains(from) || nodes.at(to).stopped)
                         return;
                       auto theirs = nodes.at(to).member->picture();
                       give(nodes.at(to), cluster::Exchanged{mine});
                       give(nodes.at(from), cluster::Exchanged{std::move(theirs)});
                     });
    } else if (auto* c = std::get_if<cluster::Changed>(&action)) {
      changed(n, *c);
    } else if (auto* x = std::get_if<cluster::Conflict>(&action)) {
      n.conflicts.push_back(*x);
    } else if (std::holds_alternative<cluster::Superseded>(action)) {
      n.superseded = true;
    } else {
      n.left = true;
    }
  }
  const cluster::MembershipSettings settings_;
  std::multimap<Time, std::function<void()>> queue_;
};

}  // namespace network

// Many agreements in one process on a clock of the test: a network with faults between each two,
// clocks that run at different rates, and disks that keep, lose, fail or hang. What must always
// hold is checked at each step; the first breach stops the play and says seed and time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/consensus_node.h"

namespace simulation {

using namespace alderspur;
using namespace alderspur::consensus;
constexpr Time kSecond = 1'000'000, kMaxStaleTime = 2 * kSecond;  // T

struct Link {
  bool is_cut = false;
  unsigned loss_percent = 0;  // of a hundred
  Time delay = 1'000, jitter = 2'000;
};

struct SimulatedDisk {
  PersistedLog synced_log, written_log;  // what a loss of power leaves; what a process finds
  PersistedState state;
  std::map<std::string, std::string> contents;
  bool ignores_sync = false, rejects_writes = false, is_log_corrupt = false;
  Time latency = 500;
};

class SimulatedCluster {
 public:
  struct Router {
    std::string name;
    std::unique_ptr<ConsensusNode> node;
    SimulatedDisk disk;
    double clock_rate = 1;  // of its clock
    Time clock_offset = 0;
    bool is_paused = false;
    std::uint64_t epoch = 0, generation = 0;
    std::uint64_t protocol_version = kProtocolVersion;  // of its program, from its next start on
    std::vector<Event> deferred_events;
    ActiveVersion active;
    std::uint64_t highest_number = 0;
    std::vector<ProposalResult> results;
    std::vector<std::string> log_events;
    std::function<std::string(const Content&)> checker;  // why not; empty: good
  };
  SimulatedCluster(std::uint64_t seed, std::size_t routers, std::size_t voters)
      : random(seed), seed_(seed) {
    for (std::size_t i = 0; i < voters; ++i) voters_.push_back(name(i));
    for (std::size_t i = 0; i < routers; ++i) {
      Router& r = routers_[name(i)];
      r.name = name(i);
      r.clock_rate = 1 + (static_cast<double>(random() % 2000) - 1000) * 1e-5;  // within 1%
      r.clock_offset = static_cast<Time>(random() % 1'000'000'000);
      start(r.name);
    }
  }
  static std::string name(std::size_t i) { return "r" + std::to_string(i); }
  Router& router(std::size_t i) { return routers_.at(name(i)); }
  Router& router(const std::string& n) { return routers_.at(n); }

  void start(const std::string& n) {
    Router& r = routers_.at(n);
    ConsensusSettings s;
    s.name = n, s.location = "p" + std::to_string(std::stoi(n.substr(1)) % 2), s.voters = voters_;
    s.epoch = ++r.epoch;
    s.protocol_version = r.protocol_version;
    ++r.generation;
    r.is_paused = false, r.deferred_events.clear();
    r.active = {};
    r.node = std::make_unique<ConsensusNode>(s, random());
    Start b{r.disk.state, r.disk.contents, r.disk.written_log, r.disk.is_log_corrupt, false};
    if (r.disk.is_log_corrupt) b.log = {};
    r.disk.is_log_corrupt = false;
    deliver(r, PeersChanged{names(n)});
    deliver(r, b);
  }
  void kill(const std::string& n) {
    Router& r = routers_.at(n);
    r.node.reset();
    ++r.generation;
    r.active = {};
    r.active.is_conservative = true;
  }
  // As a kill, and what was not truly synced is gone.
  void lose_power(const std::string& n) {
    kill(n);
    SimulatedDisk& d = routers_.at(n).disk;
    d.written_log = d.synced_log;
  }
  void pause(const std::string& n) { routers_.at(n).is_paused = true; }
  void resume(const std::string& n) {
    Router& r = routers_.at(n);
    r.is_paused = false;
    for (auto& e : std::exchange(r.deferred_events, {})) deliver(r, e);
    deliver(r, TimerFired{});
  }
  bool is_running(const std::string& n) { return routers_.at(n).node != nullptr; }
  Link& link(const std::string& a, const std::string& b) { return links_[{a, b}]; }
  void partition(const std::set<std::string>& side, bool is = true) {
    for (const auto& [a, x] : routers_)
      for (const auto& [b, y] : routers_)
        if (side.contains(a) != side.contains(b)) link(a, b).is_cut = is;
  }
  void restore_links() { links_.clear(); }

  std::uint64_t propose(const std::string& n, const std::string& text,
                        std::optional<std::uint64_t> base = {}, CanaryRollout trial = {}) {
    OperatorProposal p;
    p.nonce = random() | 1, p.content = {{"servers", text}}, p.author = n, p.base_number = base;
    p.canary = std::move(trial);
    deliver(routers_.at(n), p);
    return p.nonce;
  }
  std::uint64_t propose_voters(const std::string& n, std::vector<std::string> voters) {
    OperatorProposal p;
    p.nonce = random() | 1, p.voters = std::move(voters);
    deliver(routers_.at(n), p);
    return p.nonce;
  }
  std::uint64_t decide_canary(const std::string& n, std::uint64_t number,
                              bool go_on) {  // on a trial
    OperatorProposal p;
    p.nonce = random() | 1, p.canary_decision = CanaryDecision{0, number, go_on};
    deliver(routers_.at(n), p);
    return p.nonce;
  }
  void set_load(const std::string& n, double weight, double bad) {
    deliver(routers_.at(n), LoadMeasured{weight, bad});
  }
  const ProposalResult* result(std::uint64_t nonce) {
    for (auto& [n, r] : routers_)
      for (const auto& s : r.results)
        if (s.nonce == nonce) return &s;
    return nullptr;
  }

  void run_for(Time time) {
    const Time end = now + time;
    while (!queue_.empty() && queue_.begin()->first <= end && violation.empty()) {
      now = queue_.begin()->first;
      auto then = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      then();
      check_invariants();
    }
    now = std::max(now, end);
  }
  bool run_until(const std::function<bool()>& holds, Time most = 30 * kSecond) {
    for (const Time end = now + most; now < end && violation.empty(); run_for(20'000))
      if (holds()) return true;
    return holds();
  }
  // The usual beginning: somebody leads, and a first version is acted on everywhere.
  bool start_with(const std::string& n, const std::string& text) {
    run_until([&] { return !leader().empty(); });
    const auto first = propose(n, text);
    return run_until([&] { return result(first) && all_use(text); });
  }
  // All that run act on that text, under a lease.
  bool all_use(const std::string& text) {
    for (auto& [n, r] : routers_) {
      if (!r.node || r.is_paused) continue;
      if (r.active.is_conservative || !r.active.content || r.active.content->at("servers") != text)
        return false;
    }
    return true;
  }
  std::string leader() {
    for (auto& [n, r] : routers_)
      if (r.node && !r.is_paused && r.node->is_leader(clock_of(r))) return n;
    return "";
  }
  std::map<std::string, Router>& routers() { return routers_; }
  Time clock_of(const Router& r) const {
    return kSecond + r.clock_offset + static_cast<Time>(static_cast<double>(now) * r.clock_rate);
  }

  // How everybody stands, for a check that failed.
  std::string describe() {
    std::string out = "now " + std::to_string(now) + " queue " + std::to_string(queue_.size()) +
                      (queue_.empty() ? "" : " first " + std::to_string(queue_.begin()->first)) +
                      violation + "\n";
    for (auto& [n, r] : routers_) {
      out += n + (r.is_paused ? " stopped" : "");
      if (!r.node) {
        out += " down\n";
        continue;
      }
      const auto v = r.node->status(clock_of(r));
      out += std::string(" ") + role_name(v.role) + (v.is_leader ? " leads" : "") + " acts on " +
             std::to_string(v.active.version.number) +
             (v.active.is_conservative ? " with care" : "") + ", leader " + v.leader + ", term " +
             std::to_string(v.term) + ", log " + std::to_string(v.last_log_index);
      if (v.pending)
        out += ", pending " + std::to_string(v.pending->number) +
               (v.is_pending_accepted ? " agreed" : "");
      for (const auto& b : v.routers_behind) out += ", behind " + b;
      if (r.node->raft())
        for (const auto& [s, role] : r.node->raft()->roles())
          out += " " + s + ":" + std::to_string(role);
      out += " " + v.fault + "\n";
      for (std::size_t i = r.log_events.size() > 4 ? r.log_events.size() - 4 : 0;
           i < r.log_events.size(); ++i)
        out += "    " + r.log_events[i] + "\n";
      for (const auto& s : r.results)
        out += "    reply " + std::to_string(s.version_number) + " " + s.reason + "\n";
    }
    return out;
  }

  Time now = 0, longest_stale_lease = 0;
  std::mt19937_64 random;
  std::string violation;
  std::uint64_t messages_sent = 0, bytes_sent = 0, log_writes = 0, content_writes = 0;
  double max_total_share = 0;

 private:
  std::vector<std::string> names(const std::string& but) {
    std::vector<std::string> out;
    for (const auto& [n, r] : routers_)
      if (n != but) out.push_back(n);
    return out;
  }
  void schedule(Time in, std::function<void()> then) { queue_.emplace(now + in, std::move(then)); }
  void report_violation(const std::string& what) {
    if (violation.empty())
      violation =
          "seed " + std::to_string(seed_) + " at " + std::to_string(now / 1000) + " ms: " + what;
  }
  void deliver(Router& r, const Event& e) {
    if (!r.node) return;
    if (r.is_paused) return void(r.deferred_events.push_back(e));
    std::vector<Action> actions;
    r.node->handle(clock_of(r), e, actions);
    for (auto& a : actions) carry_out(r, a);
    schedule_timer(r);
  }
  void schedule_timer(Router& r) {
    const Time next = r.node->next_deadline();
    const Time in =
        std::max<Time>(static_cast<Time>(static_cast<double>(next - clock_of(r)) / r.clock_rate),
                       0) +
        100;
    schedule(std::min<Time>(in, 10 * kSecond), [this, &r, g = r.generation, next] {
      if (r.generation == g && r.node && !r.is_paused && clock_of(r) >= next &&
          r.node->next_deadline() <= clock_of(r))
        deliver(r, TimerFired{});
    });
  }
  void schedule_disk_write(Router& r, Time more, std::function<Event(bool)> then) {
    last_disk_write_[r.name] = std::max(last_disk_write_[r.name], now + r.disk.latency + more);
    queue_.emplace(last_disk_write_[r.name], [this, &r, g = r.generation, then = std::move(then)] {
      const bool good = !r.disk.rejects_writes;
      if (r.generation != g) return;  // killed before it was done
      const auto event = then(good);
      deliver(r, event);
    });
  }
  void apply_write(PersistedLog& s, const LogWrite& p) {
    switch (p.kind) {
      case LogWrite::Kind::term:
        s.term = p.value, s.vote = 0;
        break;
      case LogWrite::Kind::vote:
        s.vote = p.value;
        break;
      case LogWrite::Kind::append:
        if (p.value != s.last_index() + 1)
          return report_violation("an entry is appended out of order");
        s.entries.insert(s.entries.end(), p.entries.begin(), p.entries.end());
        break;
      case LogWrite::Kind::truncate:
        if (p.value < s.first_index) return report_violation("more is cut off than there is");
        s.entries.resize(p.value - s.first_index);
        break;
      case LogWrite::Kind::snapshot: {
        s.snapshot = p.snapshot;
        const auto keep_from =
            p.value ? p.snapshot->index - std::min(p.snapshot->index, p.value) + 1 : ~0ULL;
        if (p.value == 0)
          s.entries.clear(), s.first_index = p.snapshot->index + 1;
        else
          while (s.first_index < keep_from && !s.entries.empty())
            s.entries.erase(s.entries.begin()), ++s.first_index;
        break;
      }
      case LogWrite::Kind::reset:
        s = {};
        break;
    }
  }
  void carry_out(Router& r, Action& a) {
    if (auto* s = std::get_if<SendMessage>(&a)) return send(r, *s);
    if (auto* p = std::get_if<WriteLog>(&a)) {
      ++log_writes;
      return schedule_disk_write(r, 0, [this, &r, put = std::move(*p)](bool good) -> Event {
        if (good) apply_write(r.disk.written_log, put.write);
        if (good && !r.disk.ignores_sync) r.disk.synced_log = r.disk.written_log;
        return LogWritten{put.number, good};
      });
    }
    if (auto* w = std::get_if<consensus::WriteContent>(&a)) {
      ++content_writes;
      return schedule_disk_write(r, 0, [&r, w = std::move(*w)](bool good) -> Event {
        if (good) r.disk.contents[w.digest] = w.bytes;
        return ContentWritten{w.digest, good};
      });
    }
    if (auto* c = std::get_if<CheckContent>(&a)) {
      const auto why = r.checker ? r.checker(*c->content) : "";
      schedule(200, [this, &r, g = r.generation, e = ContentChecked{c->digest, why.empty(), why}] {
        if (r.generation == g) deliver(r, e);
      });
    } else if (auto* d = std::get_if<DeleteContent>(&a)) {
      r.disk.contents.erase(d->digest);
    } else if (auto* k = std::get_if<PersistState>(&a)) {
      r.disk.state = k->state;
    } else if (auto* x = std::get_if<Activate>(&a)) {
      on_activate(r, x->active);
    } else if (auto* y = std::get_if<ProposalFinished>(&a)) {
      r.results.push_back(y->result);
    } else if (auto* z = std::get_if<LogEvent>(&a)) {
      r.log_events.push_back(z->event + ": " + z->text);
    }
  }
  void send(Router& r, const SendMessage& s) {
    ++messages_sent, bytes_sent += s.bytes.size();
    const Link& w = links_[{r.name, s.to}];
    if (!routers_.contains(s.to) || w.is_cut || random() % 100 < w.loss_percent) return;
    const Time in =
        w.delay + static_cast<Time>(random() % static_cast<std::uint64_t>(w.jitter + 1));
    schedule(in, [this, from = r.name, to = s.to, bytes = s.bytes] {
      if (!links_[{from, to}].is_cut) deliver(routers_.at(to), MessageReceived{from, bytes});
    });
  }

  void on_activate(Router& r, const ActiveVersion& a) {
    if (a.version.number < r.highest_number && a.version.number < r.active.version.number)
      report_violation(r.name + " went back from " + std::to_string(r.active.version.number) +
                       " to " + std::to_string(a.version.number));
    r.active = a;
    const auto n = a.version.number;
    r.highest_number = std::max(r.highest_number, n);
    if (!n) return;
    const auto it = digests_.try_emplace(n, a.version.digest).first;
    if (it->second != a.version.digest)
      report_violation("two contents of number " + std::to_string(n));
    if (!a.version.canary) return void(first_used_at_.try_emplace(n, now));
    const auto& first = a.version.canary.routers;
    if (std::find(first.begin(), first.end(), r.name) == first.end())
      report_violation(r.name + " acts on " + std::to_string(n) + ", which is on trial elsewhere");
  }
  // A lease ends by the router's own clock, whether or not it has said so yet.
  bool has_lease(const Router& r) const {
    return r.node && !r.active.is_conservative && r.node->status(clock_of(r)).lease_left > 0;
  }
  void check_invariants() {
    if (now < next_check_) return;
    next_check_ = now + 5'000;
    double all = 0;
    std::map<std::string, double> at_points;
    std::size_t leaders = 0;
    for (const auto& [n, r] : routers_) {
      if (!r.node) continue;
      if (r.node->is_leader(clock_of(r))) ++leaders;
      if (!has_lease(r)) continue;
      all += r.active.total_share,
          at_points["p" + std::to_string(std::stoi(n.substr(1)) % 2)] += r.active.location_share;
      // Somebody acts on a later one already: for how long?
      const auto later = first_used_at_.upper_bound(r.active.version.number);
      if (later == first_used_at_.end()) continue;
      longest_stale_lease = std::max(longest_stale_lease, now - later->second);
      if (now - later->second > kMaxStaleTime)
        report_violation(n + " acts on " + std::to_string(r.active.version.number) + " although " +
                         std::to_string(later->first) + " has been in force for over T");
    }
    max_total_share = std::max(max_total_share, all);
    if (leaders > 1) report_violation("two lead at once");
    if (all > kLeasedFraction + 1e-6) report_violation("shares add up to " + std::to_string(all));
    for (const auto& [p, sum] : at_points)
      if (sum > kLeasedFraction + 1e-6)
        report_violation("shares of " + p + " add up to " + std::to_string(sum));
  }

  const std::uint64_t seed_;
  std::vector<std::string> voters_;
  std::map<std::string, Router> routers_;
  std::map<std::pair<std::string, std::string>, Link> links_;
  std::multimap<Time, std::function<void()>> queue_;
  std::map<std::string, Time> last_disk_write_;
  std::map<std::uint64_t, std::string> digests_;
  std::map<std::uint64_t, Time> first_used_at_;
  Time next_check_ = 0;
};

}  // namespace simulation

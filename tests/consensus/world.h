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

namespace world {

using namespace alderspur;
using namespace alderspur::consensus;
constexpr Time kSecond = 1'000'000, kBound = 2 * kSecond;  // T

struct Way {
  bool cut = false;
  unsigned loss = 0;  // of a hundred
  Time delay = 1'000, jitter = 2'000;
};

struct Disk {
  Saved synced, written;  // what a loss of power leaves; what a process finds
  PersistedState kept;
  std::map<std::string, std::string> contents;
  bool lies = false, fails = false, spoilt = false;
  Time latency = 500;
};

class World {
 public:
  struct Router {
    std::string name;
    std::unique_ptr<ConsensusNode> agreement;
    Disk disk;
    double rate = 1;  // of its clock
    Time offset = 0;
    bool stopped = false;
    std::uint64_t epoch = 0, generation = 0;
    std::uint64_t forms = kForms;  // of its program, from its next start on
    std::vector<Event> held;
    ActiveVersion acting;
    std::uint64_t highest = 0;
    std::vector<Settled> replies;
    std::vector<std::string> reports;
    std::function<std::string(const Content&)> checker;  // why not; empty: good
  };
  World(std::uint64_t seed, std::size_t routers, std::size_t voters) : random(seed), seed_(seed) {
    for (std::size_t i = 0; i < voters; ++i) voters_.push_back(name(i));
    for (std::size_t i = 0; i < routers; ++i) {
      Router& r = routers_[name(i)];
      r.name = name(i);
      r.rate = 1 + (static_cast<double>(random() % 2000) - 1000) * 1e-5;  // within 1%
      r.offset = static_cast<Time>(random() % 1'000'000'000);
      start(r.name);
    }
  }
  static std::string name(std::size_t i) { return "r" + std::to_string(i); }
  Router& at(std::size_t i) { return routers_.at(name(i)); }
  Router& at(const std::string& n) { return routers_.at(n); }

  void start(const std::string& n) {
    Router& r = routers_.at(n);
    ConsensusSettings s;
    s.name = n, s.point = "p" + std::to_string(std::stoi(n.substr(1)) % 2), s.voters = voters_;
    s.epoch = ++r.epoch;
    s.forms = r.forms;
    ++r.generation;
    r.stopped = false, r.held.clear();
    r.acting = {};
    r.agreement = std::make_unique<ConsensusNode>(s, random());
    Begin b{r.disk.kept, r.disk.contents, r.disk.written, r.disk.spoilt, false};
    if (r.disk.spoilt) b.saved = {};
    r.disk.spoilt = false;
    give(r, Others{names(n)});
    give(r, b);
  }
  void kill(const std::string& n) {
    Router& r = routers_.at(n);
    r.agreement.reset();
    ++r.generation;
    r.acting = {};
    r.acting.is_conservative = true;
  }
  // As a kill, and what was not truly synced is gone.
  void lose_power(const std::string& n) {
    kill(n);
    Disk& d = routers_.at(n).disk;
    d.written = d.synced;
  }
  void stop(const std::string& n) { routers_.at(n).stopped = true; }
  void go_on(const std::string& n) {
    Router& r = routers_.at(n);
    r.stopped = false;
    for (auto& e : std::exchange(r.held, {})) give(r, e);
    give(r, Wake{});
  }
  bool up(const std::string& n) { return routers_.at(n).agreement != nullptr; }
  Way& way(const std::string& a, const std::string& b) { return ways_[{a, b}]; }
  void cut(const std::set<std::string>& side, bool is = true) {
    for (const auto& [a, x] : routers_)
      for (const auto& [b, y] : routers_)
        if (side.contains(a) != side.contains(b)) way(a, b).cut = is;
  }
  void heal() { ways_.clear(); }

  std::uint64_t propose(const std::string& n, const std::string& text,
                        std::optional<std::uint64_t> base = {}, CanaryRollout trial = {}) {
    Proposal p;
    p.nonce = random() | 1, p.content = {{"servers", text}}, p.author = n, p.base = base;
    p.trial = std::move(trial);
    give(routers_.at(n), p);
    return p.nonce;
  }
  std::uint64_t propose_voters(const std::string& n, std::vector<std::string> voters) {
    Proposal p;
    p.nonce = random() | 1, p.voters = std::move(voters);
    give(routers_.at(n), p);
    return p.nonce;
  }
  std::uint64_t rule(const std::string& n, std::uint64_t number, bool go_on) {  // on a trial
    Proposal p;
    p.nonce = random() | 1, p.verdict = Verdict{0, number, go_on};
    give(routers_.at(n), p);
    return p.nonce;
  }
  void load(const std::string& n, double weight, double bad) {
    give(routers_.at(n), Load{weight, bad});
  }
  const Settled* reply(std::uint64_t nonce) {
    for (auto& [n, r] : routers_)
      for (const auto& s : r.replies)
        if (s.nonce == nonce) return &s;
    return nullptr;
  }

  void run(Time time) {
    const Time end = now + time;
    while (!queue_.empty() && queue_.begin()->first <= end && broken.empty()) {
      now = queue_.begin()->first;
      auto then = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      then();
      check();
    }
    now = std::max(now, end);
  }
  bool until(const std::function<bool()>& holds, Time most = 30 * kSecond) {
    for (const Time end = now + most; now < end && broken.empty(); run(20'000))
      if (holds()) return true;
    return holds();
  }
  // The usual beginning: somebody leads, and a first version is acted on everywhere.
  bool begin_with(const std::string& n, const std::string& text) {
    until([&] { return !leader().empty(); });
    const auto first = propose(n, text);
    return until([&] { return reply(first) && all_act(text); });
  }
  // All that run act on that text, under a lease.
  bool all_act(const std::string& text) {
    for (auto& [n, r] : routers_) {
      if (!r.agreement || r.stopped) continue;
      if (r.acting.is_conservative || !r.acting.content || r.acting.content->at("servers") != text)
        return false;
    }
    return true;
  }
  std::string leader() {
    for (auto& [n, r] : routers_)
      if (r.agreement && !r.stopped && r.agreement->leads(clock(r))) return n;
    return "";
  }
  std::map<std::string, Router>& routers() { return routers_; }
  Time clock(const Router& r) const {
    return kSecond + r.offset + static_cast<Time>(static_cast<double>(now) * r.rate);
  }

  // How everybody stands, for a check that failed.
  std::string stands() {
    std::string out = "now " + std::to_string(now) + " queue " + std::to_string(queue_.size()) +
                      (queue_.empty() ? "" : " first " + std::to_string(queue_.begin()->first)) +
                      broken + "\n";
    for (auto& [n, r] : routers_) {
      out += n + (r.stopped ? " stopped" : "");
      if (!r.agreement) {
        out += " down\n";
        continue;
      }
      const auto v = r.agreement->view(clock(r));
      out += std::string(" ") + word(v.part) + (v.leads ? " leads" : "") + " acts on " +
             std::to_string(v.acting.version.number) +
             (v.acting.is_conservative ? " with care" : "") + ", leader " + v.leader + ", term " +
             std::to_string(v.term) + ", log " + std::to_string(v.log);
      if (v.pending)
        out +=
            ", pending " + std::to_string(v.pending->number) + (v.pending_agreed ? " agreed" : "");
      for (const auto& b : v.behind) out += ", behind " + b;
      if (r.agreement->raft())
        for (const auto& [s, role] : r.agreement->raft()->servers())
          out += " " + s + ":" + std::to_string(role);
      out += " " + v.trouble + "\n";
      for (std::size_t i = r.reports.size() > 4 ? r.reports.size() - 4 : 0; i < r.reports.size();
           ++i)
        out += "    " + r.reports[i] + "\n";
      for (const auto& s : r.replies)
        out += "    reply " + std::to_string(s.number) + " " + s.text + "\n";
    }
    return out;
  }

  Time now = 0, longest_contradiction = 0;
  std::mt19937_64 random;
  std::string broken;
  std::uint64_t frames = 0, bytes = 0, stores = 0, writes = 0;
  double most_shared = 0;

 private:
  std::vector<std::string> names(const std::string& but) {
    std::vector<std::string> out;
    for (const auto& [n, r] : routers_)
      if (n != but) out.push_back(n);
    return out;
  }
  void later(Time in, std::function<void()> then) { queue_.emplace(now + in, std::move(then)); }
  void breach(const std::string& what) {
    if (broken.empty())
      broken =
          "seed " + std::to_string(seed_) + " at " + std::to_string(now / 1000) + " ms: " + what;
  }
  void give(Router& r, const Event& e) {
    if (!r.agreement) return;
    if (r.stopped) return void(r.held.push_back(e));
    std::vector<Action> actions;
    r.agreement->handle(clock(r), e, actions);
    for (auto& a : actions) carry_out(r, a);
    arm(r);
  }
  void arm(Router& r) {
    const Time next = r.agreement->next();
    const Time in =
        std::max<Time>(static_cast<Time>(static_cast<double>(next - clock(r)) / r.rate), 0) + 100;
    later(std::min<Time>(in, 10 * kSecond), [this, &r, g = r.generation, next] {
      if (r.generation == g && r.agreement && !r.stopped && clock(r) >= next &&
          r.agreement->next() <= clock(r))
        give(r, Wake{});
    });
  }
  void to_disk(Router& r, Time more, std::function<Event(bool)> then) {
    r_last_[r.name] = std::max(r_last_[r.name], now + r.disk.latency + more);
    queue_.emplace(r_last_[r.name], [this, &r, g = r.generation, then = std::move(then)] {
      const bool good = !r.disk.fails;
      if (r.generation != g) return;  // killed before it was done
      const auto event = then(good);
      give(r, event);
    });
  }
  void apply(Saved& s, const Store& p) {
    switch (p.kind) {
      case Store::Kind::term:
        s.term = p.value, s.vote = 0;
        break;
      case Store::Kind::vote:
        s.vote = p.value;
        break;
      case Store::Kind::append:
        if (p.value != s.last() + 1) return breach("an entry is appended out of order");
        s.entries.insert(s.entries.end(), p.entries.begin(), p.entries.end());
        break;
      case Store::Kind::truncate:
        if (p.value < s.start) return breach("more is cut off than there is");
        s.entries.resize(p.value - s.start);
        break;
      case Store::Kind::snapshot: {
        s.snapshot = p.snapshot;
        const auto keep_from =
            p.value ? p.snapshot->index - std::min(p.snapshot->index, p.value) + 1 : ~0ULL;
        if (p.value == 0)
          s.entries.clear(), s.start = p.snapshot->index + 1;
        else
          while (s.start < keep_from && !s.entries.empty())
            s.entries.erase(s.entries.begin()), ++s.start;
        break;
      }
      case Store::Kind::reset:
        s = {};
        break;
    }
  }
  void carry_out(Router& r, Action& a) {
    if (auto* s = std::get_if<SendFrame>(&a)) return send(r, *s);
    if (auto* p = std::get_if<Put>(&a)) {
      ++stores;
      return to_disk(r, 0, [this, &r, put = std::move(*p)](bool good) -> Event {
        if (good) apply(r.disk.written, put.store);
        if (good && !r.disk.lies) r.disk.synced = r.disk.written;
        return Stored{put.number, good};
      });
    }
    if (auto* w = std::get_if<consensus::Write>(&a)) {
      ++writes;
      return to_disk(r, 0, [&r, w = std::move(*w)](bool good) -> Event {
        if (good) r.disk.contents[w.digest] = w.bytes;
        return Written{w.digest, good};
      });
    }
    if (auto* c = std::get_if<Check>(&a)) {
      const auto why = r.checker ? r.checker(*c->content) : "";
      later(200, [this, &r, g = r.generation, e = Checked{c->digest, why.empty(), why}] {
        if (r.generation == g) give(r, e);
      });
    } else if (auto* d = std::get_if<Discard>(&a)) {
      r.disk.contents.erase(d->digest);
    } else if (auto* k = std::get_if<Keep>(&a)) {
      r.disk.kept = k->kept;
    } else if (auto* x = std::get_if<Act>(&a)) {
      acts(r, x->acting);
    } else if (auto* y = std::get_if<Reply>(&a)) {
      r.replies.push_back(y->settled);
    } else if (auto* z = std::get_if<Report>(&a)) {
      r.reports.push_back(z->event + ": " + z->text);
    }
  }
  void send(Router& r, const SendFrame& s) {
    ++frames, bytes += s.bytes.size();
    const Way& w = ways_[{r.name, s.to}];
    if (!routers_.contains(s.to) || w.cut || random() % 100 < w.loss) return;
    const Time in =
        w.delay + static_cast<Time>(random() % static_cast<std::uint64_t>(w.jitter + 1));
    later(in, [this, from = r.name, to = s.to, bytes = s.bytes] {
      if (!ways_[{from, to}].cut) give(routers_.at(to), Frame{from, bytes});
    });
  }

  void acts(Router& r, const ActiveVersion& a) {
    if (a.version.number < r.highest && a.version.number < r.acting.version.number)
      breach(r.name + " went back from " + std::to_string(r.acting.version.number) + " to " +
             std::to_string(a.version.number));
    r.acting = a;
    const auto n = a.version.number;
    r.highest = std::max(r.highest, n);
    if (!n) return;
    const auto it = digests_.try_emplace(n, a.version.digest).first;
    if (it->second != a.version.digest) breach("two contents of number " + std::to_string(n));
    if (!a.version.trial) return void(first_act_.try_emplace(n, now));
    const auto& first = a.version.trial.first;
    if (std::find(first.begin(), first.end(), r.name) == first.end())
      breach(r.name + " acts on " + std::to_string(n) + ", which is on trial elsewhere");
  }
  // A lease ends by the router's own clock, whether or not it has said so yet.
  bool leased(const Router& r) const {
    return r.agreement && !r.acting.is_conservative && r.agreement->view(clock(r)).lease_left > 0;
  }
  void check() {
    if (now < next_check_) return;
    next_check_ = now + 5'000;
    double all = 0;
    std::map<std::string, double> at_points;
    std::size_t leaders = 0;
    for (const auto& [n, r] : routers_) {
      if (!r.agreement) continue;
      if (r.agreement->leads(clock(r))) ++leaders;
      if (!leased(r)) continue;
      all += r.acting.share_all,
          at_points["p" + std::to_string(std::stoi(n.substr(1)) % 2)] += r.acting.share_point;
      // Somebody acts on a later one already: for how long?
      const auto later = first_act_.upper_bound(r.acting.version.number);
      if (later == first_act_.end()) continue;
      longest_contradiction = std::max(longest_contradiction, now - later->second);
      if (now - later->second > kBound)
        breach(n + " acts on " + std::to_string(r.acting.version.number) + " although " +
               std::to_string(later->first) + " has been in force for over T");
    }
    most_shared = std::max(most_shared, all);
    if (leaders > 1) breach("two lead at once");
    if (all > kUsable + 1e-6) breach("shares add up to " + std::to_string(all));
    for (const auto& [p, sum] : at_points)
      if (sum > kUsable + 1e-6) breach("shares of " + p + " add up to " + std::to_string(sum));
  }

  const std::uint64_t seed_;
  std::vector<std::string> voters_;
  std::map<std::string, Router> routers_;
  std::map<std::pair<std::string, std::string>, Way> ways_;
  std::multimap<Time, std::function<void()>> queue_;
  std::map<std::string, Time> r_last_;
  std::map<std::uint64_t, std::string> digests_;
  std::map<std::uint64_t, Time> first_act_;
  Time next_check_ = 0;
};

}  // namespace world

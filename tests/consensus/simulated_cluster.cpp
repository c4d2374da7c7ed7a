#include "consensus/simulated_cluster.h"

#include <algorithm>
#include <cstdlib>

namespace alderspur::consensus {
namespace {

// Times in microseconds.
constexpr Time kConditionInterval = 20'000;  // between two evaluations in run_until()
constexpr Time kInvariantInterval = 5'000;   // between two checks of the invariants
constexpr Time kContentCheckTime = 200;
constexpr Time kTimerLateness = 100;
constexpr double kClockRateStep = 1e-5;   // rates differ from 1 by up to 1000 steps, which is 1%
constexpr double kShareTolerance = 1e-6;  // for rounding errors in sums of shares
constexpr std::size_t kDescribedLogEvents = 4;

// Returns true if the router acts on the version with this text and is not conservative.
bool is_using(const SimulatedCluster::Router& router, const std::string& text) {
  const ActiveVersion& active = router.active;
  return !active.is_conservative && active.content && active.content->at("servers") == text;
}

}  // namespace

std::size_t exploration_factor() {
  const char* factor = std::getenv("ALDERSPUR_EXPLORE");
  return factor ? std::strtoul(factor, nullptr, 10) : 1;
}

SimulatedCluster::SimulatedCluster(std::uint64_t seed, std::size_t routers, std::size_t voters)
    : seed_(seed), random_(seed) {
  for (std::size_t i = 0; i < voters; ++i) voters_.push_back(name(i));
  for (std::size_t i = 0; i < routers; ++i) {
    Router& router = routers_[name(i)];
    router.name = name(i);
    router.clock_rate = 1 + (static_cast<double>(random_() % 2000) - 1000) * kClockRateStep;
    router.clock_offset = static_cast<Time>(random_() % 1'000'000'000);
    start(router.name);
  }
}

// Routers with even and odd numbers are in different locations.
std::string SimulatedCluster::location_of(const std::string& name) {
  return "p" + std::to_string(std::stoi(name.substr(1)) % 2);
}

// ---- Processes

void SimulatedCluster::start(const std::string& name) {
  Router& router = routers_.at(name);
  ConsensusSettings settings;
  settings.name = name;
  settings.location = location_of(name);
  settings.voters = voters_;
  settings.epoch = ++router.epoch;
  settings.protocol_version = router.protocol_version;
  ++router.generation;
  router.is_paused = false;
  router.deferred_events.clear();
  router.active = {};
  router.node = std::make_unique<ConsensusNode>(settings, random_());
  Start start{router.disk.state, router.disk.contents, router.disk.written_log,
              router.disk.is_log_corrupt, false};
  if (start.is_log_corrupt) start.log = {};
  router.disk.is_log_corrupt = false;
  deliver(router, PeersChanged{names_except(name)});
  deliver(router, start);
}

void SimulatedCluster::kill(const std::string& name) {
  Router& router = routers_.at(name);
  router.node.reset();
  ++router.generation;
  router.active = {};
  router.active.is_conservative = true;
}

void SimulatedCluster::lose_power(const std::string& name) {
  kill(name);
  SimulatedDisk& disk = routers_.at(name).disk;
  disk.written_log = disk.synced_log;
}

void SimulatedCluster::resume(const std::string& name) {
  Router& router = routers_.at(name);
  router.is_paused = false;
  for (const auto& event : std::exchange(router.deferred_events, {})) deliver(router, event);
  deliver(router, TimerFired{});
}

void SimulatedCluster::partition(const std::set<std::string>& side) {
  for (const auto& [from, sender] : routers_) {
    for (const auto& [to, receiver] : routers_) {
      if (side.contains(from) != side.contains(to)) link(from, to).is_cut = true;
    }
  }
}

// ---- Operators

std::uint64_t SimulatedCluster::propose(const std::string& name, const std::string& text,
                                        std::optional<std::uint64_t> base_number,
                                        CanaryRollout canary) {
  OperatorProposal proposal;
  proposal.nonce = random_() | 1;
  proposal.content = {{"servers", text}};
  proposal.author = name;
  proposal.base_number = base_number;
  proposal.canary = std::move(canary);
  deliver(routers_.at(name), proposal);
  return proposal.nonce;
}

std::uint64_t SimulatedCluster::propose_voters(const std::string& name,
                                               std::vector<std::string> voters) {
  OperatorProposal proposal;
  proposal.nonce = random_() | 1;
  proposal.voters = std::move(voters);
  deliver(routers_.at(name), proposal);
  return proposal.nonce;
}

std::uint64_t SimulatedCluster::decide_canary(const std::string& name, std::uint64_t number,
                                              bool promote) {
  OperatorProposal proposal;
  proposal.nonce = random_() | 1;
  proposal.canary_decision = CanaryDecision{0, number, promote};
  deliver(routers_.at(name), proposal);
  return proposal.nonce;
}

const ProposalResult* SimulatedCluster::result(std::uint64_t nonce) const {
  for (const auto& [name, router] : routers_) {
    for (const auto& result : router.results) {
      if (result.nonce == nonce) return &result;
    }
  }
  return nullptr;
}

void SimulatedCluster::set_load(const std::string& name, double request_rate,
                                double failure_ratio) {
  deliver(routers_.at(name), LoadMeasured{request_rate, failure_ratio});
}

// ---- Time

void SimulatedCluster::run_for(Time duration) {
  const Time end = now_ + duration;
  while (!queue_.empty() && queue_.begin()->first <= end && violation_.empty()) {
    now_ = queue_.begin()->first;
    const auto action = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    action();
    check_invariants();
  }
  now_ = std::max(now_, end);
}

bool SimulatedCluster::run_until(const std::function<bool()>& condition, Time max_duration) {
  const Time end = now_ + max_duration;
  while (now_ < end && violation_.empty()) {
    if (condition()) return true;
    run_for(kConditionInterval);
  }
  return condition();
}

bool SimulatedCluster::start_with(const std::string& name, const std::string& text) {
  wait_for_leader();
  const auto first = propose(name, text);
  return run_until([&] { return result(first) && all_use(text); });
}

Time SimulatedCluster::clock_of(const Router& router) const {
  const auto elapsed = static_cast<Time>(static_cast<double>(now_) * router.clock_rate);
  return kSecond + router.clock_offset + elapsed;
}

void SimulatedCluster::schedule(Time delay, std::function<void()> action) {
  queue_.emplace(now_ + delay, std::move(action));
}

// ---- State of the routers

bool SimulatedCluster::uses(std::size_t index, const std::string& text) const {
  return is_using(routers_.at(name(index)), text);
}

bool SimulatedCluster::all_use(const std::string& text) const {
  for (const auto& [name, router] : routers_) {
    if (!router.node || router.is_paused) continue;
    if (!is_using(router, text)) return false;
  }
  return true;
}

std::string SimulatedCluster::leader() const {
  for (const auto& [name, router] : routers_) {
    if (router.node && !router.is_paused && router.node->is_leader(clock_of(router))) return name;
  }
  return "";
}

std::string SimulatedCluster::describe(const Router& router) const {
  std::string text = router.name + (router.is_paused ? " paused" : "");
  if (!router.node) return text + " is not running\n";
  const NodeStatus status = router.node->status(clock_of(router));
  text += std::string(" ") + role_name(status.role) + (status.is_leader ? " (leader)" : "") +
          " acts on version " + std::to_string(status.active.version.number) +
          (status.active.is_conservative ? " conservatively" : "") + ", leader " + status.leader +
          ", term " + std::to_string(status.term) + ", log " +
          std::to_string(status.last_log_index);
  if (status.pending) {
    text += ", pending " + std::to_string(status.pending->number) +
            (status.is_pending_accepted ? " accepted" : "");
  }
  for (const auto& name : status.routers_behind) text += ", behind " + name;
  if (const Raft* raft = router.node->raft()) {
    for (const auto& [server, role] : raft->roles()) {
      text += " " + server + ":" + std::to_string(role);
    }
  }
  text += " " + status.fault + "\n";
  const auto& events = router.log_events;
  const std::size_t shown = std::min(events.size(), kDescribedLogEvents);
  for (auto event = events.end() - static_cast<std::ptrdiff_t>(shown); event != events.end();
       ++event) {
    text += "    " + *event + "\n";
  }
  for (const auto& result : router.results) {
    text +=
        "    result: version " + std::to_string(result.version_number) + " " + result.reason + "\n";
  }
  return text;
}

std::string SimulatedCluster::describe() const {
  std::string text =
      "at " + std::to_string(now_) + " us, " + std::to_string(queue_.size()) + " scheduled actions";
  if (!queue_.empty()) text += ", the first at " + std::to_string(queue_.begin()->first) + " us";
  text += "\n" + violation_ + "\n";
  for (const auto& [name, router] : routers_) text += describe(router);
  return text;
}

std::vector<std::string> SimulatedCluster::names_except(const std::string& excluded) const {
  std::vector<std::string> names;
  for (const auto& [name, router] : routers_) {
    if (name != excluded) names.push_back(name);
  }
  return names;
}

// ---- Events

void SimulatedCluster::deliver(Router& router, const Event& event) {
  if (!router.node) return;
  if (router.is_paused) {
    router.deferred_events.push_back(event);
    return;
  }
  std::vector<Action> actions;
  router.node->handle(clock_of(router), event, actions);
  for (const auto& action : actions) carry_out(router, action);
  schedule_timer(router);
}

void SimulatedCluster::schedule_timer(Router& router) {
  const Time due = router.node->next_deadline();
  const auto clock_delay = static_cast<double>(due - clock_of(router));
  // Bounded before it is converted: a node without a deadline has one that no Time can hold.
  const double distance = std::clamp(clock_delay / router.clock_rate, 0.0, 10.0 * kSecond);
  const Time delay = static_cast<Time>(distance) + kTimerLateness;
  schedule(std::min<Time>(delay, 10 * kSecond),
           [this, &router, generation = router.generation, due] {
             if (router.generation != generation || !router.node || router.is_paused) return;
             const Time clock = clock_of(router);
             if (clock >= due && router.node->next_deadline() <= clock) {
               deliver(router, TimerFired{});
             }
           });
}

// ---- Disks

// The writes of one router are performed one after another.
void SimulatedCluster::schedule_disk_write(Router& router, std::function<Event(bool is_ok)> write) {
  Time& last = last_disk_write_[router.name];
  last = std::max(last, now_ + router.disk.latency);
  queue_.emplace(last, [this, &router, generation = router.generation, write = std::move(write)] {
    if (router.generation != generation) return;  // the process was killed before the write
    const Event event = write(!router.disk.rejects_writes);
    deliver(router, event);
  });
}

void SimulatedCluster::apply_append(PersistedLog& log, const AppendEntries& append) {
  if (append.first_index != log.last_index() + 1) {
    return report_violation("an entry was appended at an index that is not the next one");
  }
  log.entries.insert(log.entries.end(), append.entries.begin(), append.entries.end());
}

void SimulatedCluster::apply_snapshot(PersistedLog& log, const SaveSnapshot& save) {
  log.snapshot = save.snapshot;
  const std::uint64_t index = save.snapshot.index;
  if (save.trailing_entries == 0) {
    log.entries.clear();
    log.first_index = index + 1;
    return;
  }
  const std::uint64_t first_kept = index - std::min(index, save.trailing_entries) + 1;
  while (log.first_index < first_kept && !log.entries.empty()) {
    log.entries.erase(log.entries.begin());
    ++log.first_index;
  }
}

void SimulatedCluster::apply_write(PersistedLog& log, const LogWrite& write) {
  if (const auto* term = std::get_if<SetTerm>(&write)) {
    log.term = term->term;
    log.vote = 0;
  } else if (const auto* vote = std::get_if<SetVote>(&write)) {
    log.vote = vote->candidate_id;
  } else if (const auto* append = std::get_if<AppendEntries>(&write)) {
    apply_append(log, *append);
  } else if (const auto* truncation = std::get_if<TruncateFrom>(&write)) {
    if (truncation->index < log.first_index) {
      return report_violation("the log was truncated before its first index");
    }
    log.entries.resize(truncation->index - log.first_index);
  } else if (const auto* save = std::get_if<SaveSnapshot>(&write)) {
    apply_snapshot(log, *save);
  } else {
    log = {};
  }
}

// ---- Actions

void SimulatedCluster::carry_out(Router& router, const Action& action) {
  std::visit([&](const auto& alternative) { perform(router, alternative); }, action);
}

void SimulatedCluster::perform(Router& router, const SendMessage& action) {
  ++totals_.messages;
  totals_.message_bytes += action.bytes.size();
  const Link& outgoing = links_[{router.name, action.to}];
  if (!routers_.contains(action.to) || outgoing.is_cut || random_() % 100 < outgoing.loss_percent) {
    return;
  }
  const auto jitter = random_() % static_cast<std::uint64_t>(outgoing.jitter + 1);
  schedule(outgoing.delay + static_cast<Time>(jitter),
           [this, from = router.name, to = action.to, bytes = action.bytes] {
             if (!links_[{from, to}].is_cut) deliver(routers_.at(to), MessageReceived{from, bytes});
           });
}

void SimulatedCluster::perform(Router& router, const WriteLog& action) {
  ++totals_.log_writes;
  schedule_disk_write(router, [this, &router, action](bool is_ok) -> Event {
    SimulatedDisk& disk = router.disk;
    if (is_ok) apply_write(disk.written_log, action.write);
    if (is_ok && !disk.ignores_sync) disk.synced_log = disk.written_log;
    return LogWritten{action.number, is_ok};
  });
}

void SimulatedCluster::perform(Router& router, const WriteContent& action) {
  ++totals_.content_writes;
  schedule_disk_write(router, [&router, action](bool is_ok) -> Event {
    if (is_ok) router.disk.contents[action.digest] = action.bytes;
    return ContentWritten{action.digest, is_ok};
  });
}

void SimulatedCluster::perform(Router& router, const CheckContent& action) {
  const std::string reason = router.checker ? router.checker(*action.content) : "";
  const ContentChecked event{action.digest, reason.empty(), reason};
  schedule(kContentCheckTime, [this, &router, generation = router.generation, event] {
    if (router.generation == generation) deliver(router, event);
  });
}

void SimulatedCluster::perform(Router& router, const DeleteContent& action) {
  router.disk.contents.erase(action.digest);
}

void SimulatedCluster::perform(Router& router, const PersistState& action) {
  router.disk.state = action.state;
}

void SimulatedCluster::perform(Router& router, const Activate& action) {
  check_active_version(router, action.active);
  router.active = action.active;
  router.highest_number = std::max(router.highest_number, action.active.version.number);
}

void SimulatedCluster::perform(Router& router, const ProposalFinished& action) {
  router.results.push_back(action.result);
}

void SimulatedCluster::perform(Router& router, const LogEvent& action) {
  router.log_events.push_back(action.event + ": " + action.text);
}

// ---- Invariants

void SimulatedCluster::report_violation(const std::string& what) {
  if (!violation_.empty()) return;
  violation_ =
      "seed " + std::to_string(seed_) + " at " + std::to_string(now_ / 1000) + " ms: " + what;
}

void SimulatedCluster::check_active_version(const Router& router, const ActiveVersion& next) {
  const std::uint64_t number = next.version.number;
  const std::uint64_t previous = router.active.version.number;
  if (number < router.highest_number && number < previous) {
    report_violation(router.name + " returned from version " + std::to_string(previous) +
                     " to version " + std::to_string(number));
  }
  if (number == 0) return;
  const auto digest = digests_.try_emplace(number, next.version.digest).first;
  if (digest->second != next.version.digest) {
    report_violation("version " + std::to_string(number) + " has two different contents");
  }
  if (!next.version.is_canary()) {
    first_used_at_.try_emplace(number, now_);
  } else if (!next.version.canary.includes(router.name)) {
    report_violation(router.name + " acts on version " + std::to_string(number) +
                     ", which is in a canary rollout at other routers only");
  }
}

// A lease expires by the router's own clock, even if the router has not handled its expiry yet.
bool SimulatedCluster::has_lease(const Router& router) const {
  return router.node && !router.active.is_conservative &&
         router.node->status(clock_of(router)).lease_left > 0;
}

// Measures for how long this router has acted on its version under a lease while a later version is
// active at some router.
void SimulatedCluster::check_staleness(const Router& router) {
  const std::uint64_t number = router.active.version.number;
  const auto later = first_used_at_.upper_bound(number);
  if (later == first_used_at_.end()) return;
  const Time stale_time = now_ - later->second;
  longest_stale_lease_ = std::max(longest_stale_lease_, stale_time);
  if (stale_time > kMaxStaleTime) {
    report_violation(router.name + " acts on version " + std::to_string(number) +
                     " under a lease, but version " + std::to_string(later->first) +
                     " was activated more than kMaxStaleTime ago");
  }
}

void SimulatedCluster::check_invariants() {
  if (now_ < next_check_) return;
  next_check_ = now_ + kInvariantInterval;
  double total_share = 0;
  std::map<std::string, double> location_shares;
  std::size_t leaders = 0;
  for (const auto& [name, router] : routers_) {
    if (!router.node) continue;
    if (router.node->is_leader(clock_of(router))) ++leaders;
    if (!has_lease(router)) continue;
    total_share += router.active.total_share;
    location_shares[location_of(name)] += router.active.location_share;
    check_staleness(router);
  }
  if (leaders > 1) report_violation("there is more than one leader");
  if (total_share > kLeasedFraction + kShareTolerance) {
    report_violation("the leased shares of all routers add up to " + std::to_string(total_share));
  }
  for (const auto& [location, share] : location_shares) {
    if (share > kLeasedFraction + kShareTolerance) {
      report_violation("the leased shares of location " + location + " add up to " +
                       std::to_string(share));
    }
  }
}

}  // namespace alderspur::consensus

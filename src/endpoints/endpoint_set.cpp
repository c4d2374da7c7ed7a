#include "endpoints/endpoint_set.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace alderspur::endpoints {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
// Above this number, servers that are gone are forgotten at once.
constexpr std::size_t kMaxKnownServers = 250'000;
// A start that is longer ago no longer matters: no slow start takes that long.
constexpr Time kMaxStartAge = 600'000'000;

/// Whether two published states are the same for the rest of the program.
bool is_same(const Member& left, const Member& right) {
  const Server& before = left.server;
  const Server& after = right.server;
  return before.status == after.status && before.weight == after.weight &&
         before.started_at == after.started_at && before.role == after.role &&
         before.location == after.location && before.cell == after.cell &&
         left.address == right.address;
}

}  // namespace

void EndpointSet::restore(const std::vector<Remembered>& remembered) {
  for (const auto& server : remembered) {
    KnownServer& known = servers_[server.id.value];
    known.started_at = server.started_at;
    known.weight = server.weight;
    known.damping.restore(server.penalty, server.penalty_at, server.is_suppressed);
  }
}

bool EndpointSet::apply_list(const CandidateList& candidate, Time now) {
  if (candidate.base != list_) return false;
  list_ = candidate.list;
  zones_ = candidate.zones;
  ++counters_.lists;
  queue_changes(candidate, now);
  if (!has_first_list_) {
    // Nothing is served before the first list: it is applied at once, and none of its servers
    // counts as new.
    apply_all_waiting(now);
    has_first_list_ = true;
  }
  return true;
}

// Applies departures at once, so that they do not wait behind thousands of new servers, and queues
// the rest.
void EndpointSet::queue_changes(const CandidateList& candidate, Time now) {
  const Difference& changes = candidate.difference;
  for (const auto* urgent :
       {&changes.removed, &changes.drained, &changes.moved, &changes.reassigned}) {
    for (const ServerId id : *urgent) evaluate(id, now);
  }
  for (const auto* others : {&changes.reinstated, &changes.added, &changes.reweighted}) {
    waiting_.insert(waiting_.end(), others->begin(), others->end());
  }
  // Points and hubs may have other zones now, also for servers that have not changed themselves.
  if (changes.has_location_changes && !changes.added.empty() && candidate.base) {
    for (const auto& server : list_->servers) {
      if (servers_.contains(server.id.value)) waiting_.push_back(server.id);
    }
  }
}

void EndpointSet::apply_all_waiting(Time now) {
  while (!waiting_.empty()) {
    const ServerId id = waiting_.front();
    waiting_.pop_front();
    evaluate(id, now);
  }
}

void EndpointSet::apply_board_update(bool is_complete, const std::vector<Member>& members,
                                     Time now) {
  std::vector<ServerId> affected;
  if (is_complete) affected = remove_unlisted(members);
  has_board_list_ = true;
  for (const auto& member : members) {
    if (member.server.status == ServerStatus::gone) {
      board_members_.erase(member.server.id.value);
    } else {
      board_members_[member.server.id.value] = member;
    }
    affected.push_back(member.server.id);
  }
  for (const ServerId id : affected) evaluate(id, now);
  if (settings_.authority == Authority::board) has_first_list_ = true;
}

// Removes what the board's complete list no longer contains; returns the servers affected.
std::vector<ServerId> EndpointSet::remove_unlisted(const std::vector<Member>& members) {
  std::vector<ServerId> affected;
  std::unordered_set<std::uint64_t> listed;
  for (const auto& member : members) listed.insert(member.server.id.value);
  for (const auto& [id, member] : board_members_) {
    if (!listed.contains(id)) affected.push_back({id});
  }
  std::sort(affected.begin(), affected.end());
  for (const ServerId id : affected) board_members_.erase(id.value);
  // With the board's first list, its word counts for the files' servers that it does not list.
  if (!has_board_list_ && list_) {
    for (const auto& server : list_->servers) {
      if (!listed.contains(server.id.value)) affected.push_back(server.id);
    }
  }
  return affected;
}

void EndpointSet::advance(Time now) {
  for (std::size_t i = 0; i < kMaxChangesPerTurn && !waiting_.empty(); ++i) {
    const ServerId id = waiting_.front();
    waiting_.pop_front();
    evaluate(id, now);
  }
  for (std::size_t i = 0; i < kMaxChangesPerTurn; ++i) {
    if (wakeups_.empty() || wakeups_.begin()->at > now) break;
    const ServerId id = wakeups_.begin()->id;
    wakeups_.erase(wakeups_.begin());
    const auto it = servers_.find(id.value);
    if (it == servers_.end()) continue;
    it->second.wakeup_at = 0;
    evaluate(id, now);
  }
}

Time EndpointSet::next_wakeup() const {
  if (!waiting_.empty()) return 0;
  return wakeups_.empty() ? kNever : wakeups_.begin()->at;
}

Merged EndpointSet::merge_sources(ServerId id) const {
  EndpointSources sources;
  sources.has_board_list = has_board_list_;
  sources.has_file_list = list_ != nullptr;
  Member from_files;
  if (const auto* server = list_ ? list_->find(id) : nullptr) {
    from_files = to_member(*server, zones_);
    sources.files = &from_files;
  }
  const auto on_board = board_members_.find(id.value);
  if (on_board != board_members_.end()) sources.board = &on_board->second;
  if (auto merged = merge(settings_.authority, sources)) return *merged;
  Merged gone;
  gone.member.server.id = id;
  gone.reason =
      settings_.authority == Authority::board ? Reason::not_on_board : Reason::not_in_files;
  return gone;
}

// Decides how a server is to be used now, and publishes it if that has changed.
void EndpointSet::evaluate(ServerId id, Time now) {
  const Merged merged = merge_sources(id);
  const Server& listed = merged.member.server;
  const bool is_gone = listed.status == ServerStatus::gone;
  if (is_gone && !servers_.contains(id.value)) return;
  KnownServer& known = servers_[id.value];
  known.reason = merged.reason;
  record_departure(known, listed.status, now);
  update_start_time(known, merged.member, now);
  known.wanted_status = listed.status;
  Member next = merged.member;
  if (is_gone) {
    next = departed(known, std::move(next));
    known.weight = 0;
  } else {
    next.server.started_at = std::max(listed.started_at, known.started_at);
    next.server.weight = step_weight(known, listed.weight, now);
  }
  if (update_suppression(id, known, next, now)) {
    next.server.status = ServerStatus::draining;
    known.reason = Reason::flapping;
  }
  const bool is_weight_reached = next.server.weight == listed.weight;
  schedule(id, known, next_evaluation(known, is_weight_reached, now));
  publish(id, known, next);
  forget_if_gone(id, known, now);
}

void EndpointSet::record_departure(KnownServer& known, ServerStatus next_status, Time now) {
  if (known.wanted_status != ServerStatus::ready || next_status == ServerStatus::ready) return;
  known.damping.record_departure(now, settings_.damping);
  ++counters_.departures;
}

// A server that was away has lost what it had cached, whatever its list says; so may one that is
// new or stands at another address. It counts as just started, because its full share of the load
// would overwhelm it.
void EndpointSet::update_start_time(KnownServer& known, const Member& merged, Time now) const {
  if (merged.server.status == ServerStatus::gone) return;
  const bool has_appeared = known.wanted_status == ServerStatus::gone && has_first_list_;
  const bool has_moved = known.was_published() &&
                         known.published.server.status != ServerStatus::gone &&
                         merged.address != known.published.address;
  if (has_appeared || has_moved) known.started_at = std::max(known.started_at, now);
}

// The state to publish for a server that is gone: as it was last published, but gone.
Member EndpointSet::departed(const KnownServer& known, Member member) {
  if (known.was_published()) member = known.published;
  member.server.status = ServerStatus::gone;
  return member;
}

double EndpointSet::step_weight(KnownServer& known, double target, Time now) {
  if (known.weight <= 0) {
    known.weight = target;
    return known.weight;
  }
  if (known.weight == target || now < known.next_step_at) return known.weight;
  const double factor = settings_.max_weight_factor;
  const double next = std::clamp(target, known.weight / factor, known.weight * factor);
  if (next != target) ++counters_.weight_steps;
  known.weight = next;
  known.next_step_at = now + settings_.weight_interval;
  return known.weight;
}

// Whether the server is to be suppressed now. The last ready server of a group never is: that would
// turn flapping into an outage.
bool EndpointSet::update_suppression(ServerId id, KnownServer& known, const Member& member,
                                     Time now) {
  const Group group = group_of(member.server);
  const auto count = ready_counts_.find(group);
  const bool is_counted = known.is_published_ready() && group_of(known.published.server) == group;
  const std::size_t others =
      (count == ready_counts_.end() ? 0 : count->second) - (is_counted ? 1 : 0);
  const bool is_wanted = known.wanted_status == ServerStatus::ready;
  bool is_suppressed = is_wanted && known.damping.update_suppressed(now, settings_.damping);
  if (is_suppressed && others == 0) {
    known.damping.end_suppression();
    is_suppressed = false;
  }
  if (known.suppressed_in && (!is_suppressed || *known.suppressed_in != group)) {
    leave_suppressed_group(id, known);
    if (is_wanted && !is_suppressed) ++counters_.reinstated;
  }
  if (is_suppressed && !known.suppressed_in) {
    suppressed_[group].insert(id);
    known.suppressed_in = group;
    ++counters_.suppressed;
  }
  return is_suppressed;
}

void EndpointSet::leave_suppressed_group(ServerId id, KnownServer& known) {
  auto& group = suppressed_[*known.suppressed_in];
  group.erase(id);
  if (group.empty()) suppressed_.erase(*known.suppressed_in);
  known.suppressed_in.reset();
}

Time EndpointSet::next_evaluation(const KnownServer& known, bool is_weight_reached,
                                  Time now) const {
  Time at = kNever;
  if (known.reason == Reason::flapping) {
    at = known.damping.reuse_time(now, settings_.damping);
  } else if (known.wanted_status == ServerStatus::gone) {
    at = now + settings_.damping.half_life;  // to be forgotten
  }
  if (known.wanted_status != ServerStatus::gone && !is_weight_reached) {
    at = std::min(at, known.next_step_at);
  }
  return at;
}

void EndpointSet::schedule(ServerId id, KnownServer& known, Time at) {
  if (known.wakeup_at) wakeups_.erase({known.wakeup_at, id});
  known.wakeup_at = at == kNever ? 0 : at;
  if (known.wakeup_at) wakeups_.insert({known.wakeup_at, id});
}

void EndpointSet::publish(ServerId id, KnownServer& known, const Member& member) {
  if (!known.was_published() && member.server.status == ServerStatus::gone) return;
  if (known.was_published() && is_same(known.published, member)) return;
  const Group previous_group = group_of(known.published.server);
  const bool leaves_group =
      known.is_published_ready() &&
      (member.server.status != ServerStatus::ready || group_of(member.server) != previous_group);
  count_ready(known, member.server);
  known.published = member;
  ++counters_.changes;
  if (!std::exchange(known.has_unreported_change, true)) unreported_.push_back(id);
  if (!leaves_group || ready_counts_.contains(previous_group)) return;
  // The last ready server has left its group: the suppressed ones are evaluated next, so that one
  // of them takes its place.
  const auto suppressed = suppressed_.find(previous_group);
  if (suppressed == suppressed_.end()) return;
  waiting_.insert(waiting_.begin(), suppressed->second.begin(), suppressed->second.end());
}

// Keeps ready_counts_ up to date before `next` is published in place of what is now.
void EndpointSet::count_ready(const KnownServer& known, const Server& next) {
  const Group previous_group = group_of(known.published.server);
  const Group next_group = group_of(next);
  const bool was_ready = known.is_published_ready();
  const bool is_ready = next.status == ServerStatus::ready;
  const bool changes_group = previous_group != next_group;
  if (was_ready && (!is_ready || changes_group) && --ready_counts_[previous_group] == 0) {
    ready_counts_.erase(previous_group);
  }
  if (is_ready && (!was_ready || changes_group)) ++ready_counts_[next_group];
}

void EndpointSet::forget_if_gone(ServerId id, KnownServer& known, Time now) {
  if (known.wanted_status != ServerStatus::gone || known.has_unreported_change ||
      known.published.server.status != ServerStatus::gone) {
    return;
  }
  const bool is_negligible = known.damping.is_negligible(now, settings_.damping);
  if (!is_negligible && servers_.size() <= kMaxKnownServers) return;
  schedule(id, known, kNever);
  servers_.erase(id.value);
}

std::vector<EndpointChange> EndpointSet::take_changes() {
  std::vector<EndpointChange> changes;
  changes.reserve(unreported_.size());
  for (const ServerId id : std::exchange(unreported_, {})) {
    KnownServer& known = servers_.at(id.value);
    known.has_unreported_change = false;
    changes.push_back({known.published, known.reason});
  }
  std::stable_partition(changes.begin(), changes.end(), [](const EndpointChange& change) {
    return change.member.server.status != ServerStatus::ready;
  });
  return changes;
}

std::optional<Remembered> EndpointSet::to_remember(ServerId id, const KnownServer& known,
                                                   Time now) const {
  const auto* listed = list_ ? list_->find(id) : nullptr;
  const bool is_stepping = listed && known.weight > 0 && known.weight != listed->weight;
  const bool is_negligible = known.damping.is_negligible(now, settings_.damping);
  Remembered state;
  state.id = id;
  if (known.started_at > now - kMaxStartAge) state.started_at = known.started_at;
  if (is_stepping) state.weight = known.weight;
  if (!is_negligible) {
    state.penalty = known.damping.penalty(now, settings_.damping);
    state.penalty_at = now;
  }
  state.is_suppressed = known.damping.is_suppressed();
  if (state.started_at == 0 && !is_stepping && is_negligible) return {};
  return state;
}

std::vector<Remembered> EndpointSet::remembered(Time now) const {
  std::vector<Remembered> result;
  for (const auto& [id, known] : servers_) {
    if (const auto state = to_remember({id}, known, now)) result.push_back(*state);
  }
  // New servers that are not applied yet: after a restart they would otherwise pass for servers
  // that have been there before.
  for (const ServerId id : waiting_) {
    const auto it = servers_.find(id.value);
    if (it == servers_.end() || it->second.wanted_status == ServerStatus::gone) {
      result.push_back({id, now, 0, 0, 0, false});
    }
  }
  std::sort(result.begin(), result.end(),
            [](const Remembered& left, const Remembered& right) { return left.id < right.id; });
  return result;
}

Reason EndpointSet::reason(ServerId id) const {
  const auto it = servers_.find(id.value);
  return it == servers_.end() ? Reason::not_in_files : it->second.reason;
}

std::size_t EndpointSet::ready_count() const {
  std::size_t total = 0;
  for (const auto& [group, count] : ready_counts_) total += count;
  return total;
}

}  // namespace alderspur::endpoints

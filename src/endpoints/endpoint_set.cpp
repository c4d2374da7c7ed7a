#include "endpoints/endpoint_set.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace alderspur::endpoints {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
// Above this number of known servers, those that are gone are removed at once, including their
// flap damping penalty.
constexpr std::size_t kMaxKnownServers = 250'000;
// An older start time is not saved, because no slow start takes longer than this (10 minutes).
constexpr Time kMaxStartAge = 600'000'000;

/// Reports whether two states are equal in all fields that the consumers of changes use.
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
    // No request is served before the first list. It is therefore applied in one step, and none of
    // its servers counts as just started.
    apply_all_pending(now);
    has_first_list_ = true;
  }
  return true;
}

// Evaluates departures at once, so that they do not wait behind thousands of new servers, and
// queues the other changes.
void EndpointSet::queue_changes(const CandidateList& candidate, Time now) {
  const Difference& changes = candidate.difference;
  for (const auto* urgent :
       {&changes.removed, &changes.drained, &changes.moved, &changes.reassigned}) {
    for (const ServerId id : *urgent) evaluate(id, now);
  }
  for (const auto* others : {&changes.reinstated, &changes.added, &changes.reweighted}) {
    pending_.insert(pending_.end(), others->begin(), others->end());
  }
  // The zones of points and hubs may have changed, which also affects servers that are otherwise
  // unchanged.
  if (changes.has_location_changes && !changes.added.empty() && candidate.base) {
    for (const auto& server : list_->servers) {
      if (servers_.contains(server.id.value)) pending_.push_back(server.id);
    }
  }
}

void EndpointSet::apply_all_pending(Time now) {
  while (!pending_.empty()) {
    const ServerId id = pending_.front();
    pending_.pop_front();
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

// Removes the servers that the board's complete list no longer contains. Returns the servers to
// evaluate.
std::vector<ServerId> EndpointSet::remove_unlisted(const std::vector<Member>& members) {
  std::vector<ServerId> affected;
  std::unordered_set<std::uint64_t> listed;
  for (const auto& member : members) listed.insert(member.server.id.value);
  for (const auto& [id, member] : board_members_) {
    if (!listed.contains(id)) affected.push_back({id});
  }
  std::sort(affected.begin(), affected.end());
  for (const ServerId id : affected) board_members_.erase(id.value);
  // From the board's first list on, the board also decides about the servers of the files that it
  // does not list.
  if (!has_board_list_ && list_) {
    for (const auto& server : list_->servers) {
      if (!listed.contains(server.id.value)) affected.push_back(server.id);
    }
  }
  return affected;
}

void EndpointSet::advance(Time now) {
  for (std::size_t i = 0; i < kMaxChangesPerTurn && !pending_.empty(); ++i) {
    const ServerId id = pending_.front();
    pending_.pop_front();
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
  if (!pending_.empty()) return 0;
  return wakeups_.empty() ? kNever : wakeups_.begin()->at;
}

// Merges what the sources list for a server. The result has the status gone if no source lists it.
MergedMember EndpointSet::merge_sources(ServerId id) const {
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
  MergedMember gone;
  gone.member.server.id = id;
  gone.reason =
      settings_.authority == Authority::board ? Reason::not_on_board : Reason::not_in_files;
  return gone;
}

// Determines the current state of a server, and publishes it if it has changed.
void EndpointSet::evaluate(ServerId id, Time now) {
  const MergedMember merged = merge_sources(id);
  const Server& listed = merged.member.server;
  const bool is_gone = listed.status == ServerStatus::gone;
  if (is_gone && !servers_.contains(id.value)) return;
  KnownServer& known = servers_[id.value];
  known.reason = merged.reason;
  record_departure(known, listed.status, now);
  update_start_time(known, merged.member, now);
  known.listed_status = listed.status;
  Member next = merged.member;
  if (is_gone) {
    next = departed_member(known, std::move(next));
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
  remove_if_gone(id, known, now);
}

// Adds the damping penalty if a server that was listed as ready leaves service.
void EndpointSet::record_departure(KnownServer& known, ServerStatus next_status, Time now) {
  if (known.listed_status != ServerStatus::ready || next_status == ServerStatus::ready) return;
  known.damping.record_departure(now, settings_.damping);
  ++counters_.departures;
}

// Treats a server as just started if it returns, is new, or has a new address: its cache may be
// empty, whatever start time is listed, and its full share of the load would overload it.
void EndpointSet::update_start_time(KnownServer& known, const Member& merged, Time now) const {
  if (merged.server.status == ServerStatus::gone) return;
  const bool has_appeared = known.listed_status == ServerStatus::gone && has_first_list_;
  const bool has_moved = known.was_published() &&
                         known.published.server.status != ServerStatus::gone &&
                         merged.address != known.published.address;
  if (has_appeared || has_moved) known.started_at = std::max(known.started_at, now);
}

// Returns the state to publish for a departed server: its last published state with status gone.
Member EndpointSet::departed_member(const KnownServer& known, Member member) {
  if (known.was_published()) member = known.published;
  member.server.status = ServerStatus::gone;
  return member;
}

// Moves the weight of a server towards `target`, by at most one step per weight_interval. Returns
// the weight to publish.
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

// Updates the suppression of a server and reports whether it is suppressed now. The last ready
// server of a group is never suppressed, because that would turn flapping into an outage.
bool EndpointSet::update_suppression(ServerId id, KnownServer& known, const Member& member,
                                     Time now) {
  const Group group = group_of(member.server);
  const auto count = ready_counts_.find(group);
  const bool is_counted = known.is_published_ready() && group_of(known.published.server) == group;
  const std::size_t others =
      (count == ready_counts_.end() ? 0 : count->second) - (is_counted ? 1 : 0);
  const bool is_listed_ready = known.listed_status == ServerStatus::ready;
  bool is_suppressed = is_listed_ready && known.damping.update_suppressed(now, settings_.damping);
  if (is_suppressed && others == 0) {
    known.damping.end_suppression();
    is_suppressed = false;
  }
  if (known.suppressed_in && (!is_suppressed || *known.suppressed_in != group)) {
    leave_suppressed_group(id, known);
    if (is_listed_ready && !is_suppressed) ++counters_.reinstated;
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

// Returns the time at which the server has to be evaluated next, or kNever.
Time EndpointSet::next_evaluation(const KnownServer& known, bool is_weight_reached,
                                  Time now) const {
  Time at = kNever;
  if (known.reason == Reason::flapping) {
    at = known.damping.reuse_time(now, settings_.damping);
  } else if (known.listed_status == ServerStatus::gone) {
    at = now + settings_.damping.half_life;  // to remove the server once its penalty is negligible
  }
  if (known.listed_status != ServerStatus::gone && !is_weight_reached) {
    at = std::min(at, known.next_step_at);
  }
  return at;
}

// Replaces the entry of the server in wakeups_. With kNever, the server has no entry.
void EndpointSet::schedule(ServerId id, KnownServer& known, Time at) {
  if (known.wakeup_at) wakeups_.erase({known.wakeup_at, id});
  known.wakeup_at = at == kNever ? 0 : at;
  if (known.wakeup_at) wakeups_.insert({known.wakeup_at, id});
}

// Records the state as published and reports it in the next take_changes(), if it has changed.
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
  // The last ready server has left its group. The suppressed servers of the group are evaluated
  // next, so that one of them replaces it.
  const auto suppressed = suppressed_.find(previous_group);
  if (suppressed == suppressed_.end()) return;
  pending_.insert(pending_.begin(), suppressed->second.begin(), suppressed->second.end());
}

// Updates ready_counts_. Must be called before `next` replaces the published state of the server.
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

// Removes a departed server after take_changes() has reported it, once its penalty is negligible or
// too many servers are known.
void EndpointSet::remove_if_gone(ServerId id, KnownServer& known, Time now) {
  if (known.listed_status != ServerStatus::gone || known.has_unreported_change ||
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

// Returns nothing if the state of the server is the default.
std::optional<Remembered> EndpointSet::state_to_save(ServerId id, const KnownServer& known,
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
    if (const auto state = state_to_save({id}, known, now)) result.push_back(*state);
  }
  // New servers that have not been evaluated yet are saved as just started. Otherwise a restarted
  // process would treat them as servers that were in use before.
  for (const ServerId id : pending_) {
    const auto it = servers_.find(id.value);
    if (it == servers_.end() || it->second.listed_status == ServerStatus::gone) {
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

#include "endpoints/endpoint_set.h"

#include <algorithm>
#include <limits>

#include "endpoints/check.h"

namespace alderspur::endpoints {
namespace {

constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr std::size_t kKnownMost =
    250'000;  // beyond it servers that have gone are forgotten at once
constexpr Time kBornMatters = 600'000'000;  // no server is cold for so long

}  // namespace

void EndpointSet::restore(const std::vector<Remembered>& remembered) {
  for (const auto& r : remembered) {
    Known& k = known_[r.id.value];
    k.born = r.started_at;
    k.weight = r.weight;
    k.flaps.restore(r.penalty, r.penalty_at, r.is_suppressed);
  }
}

bool EndpointSet::apply_list(const CandidateList& offer, Time now) {
  if (offer.base != list_) return false;
  list_ = offer.list;
  point_zones_ = offer.point_zones;
  hub_zones_ = offer.hub_zones;
  ++counters_.lists;
  const Difference& d = offer.difference;
  // Danger: a drain that waits behind ten thousand new servers is a drain not kept.
  for (const auto* urgent : {&d.removed, &d.drained, &d.moved, &d.reassigned})
    for (const ServerId id : *urgent) evaluate(id, now);
  for (const auto* rest : {&d.reinstated, &d.added, &d.reweighted})
    waiting_.insert(waiting_.end(), rest->begin(), rest->end());
  // Points and hubs may have other numbers now, also for servers that are the same.
  if (d.has_location_changes && !d.added.empty() && offer.base)
    for (const auto& s : list_->servers)
      if (known_.contains(s.id.value)) waiting_.push_back(s.id);
  const bool first = !primed_;
  if (first) {  // nothing is served before the first list: it is taken at once, and nobody in it is
                // new
    while (!waiting_.empty()) {
      const ServerId id = waiting_.front();
      waiting_.pop_front();
      evaluate(id, now);
    }
    primed_ = true;
  }
  return true;
}

void EndpointSet::apply_board_update(bool complete, const std::vector<Member>& members, Time now) {
  std::vector<ServerId> touched;
  if (complete) {
    std::unordered_set<std::uint64_t> listed;
    for (const auto& m : members) listed.insert(m.server.id.value);
    for (const auto& [id, m] : board_)
      if (!listed.contains(id)) touched.push_back({id});
    std::sort(touched.begin(), touched.end());
    for (const ServerId id : touched) board_.erase(id.value);
    // The files' servers that the board does not list change with its first word.
    if (!board_spoke_ && list_)
      for (const auto& s : list_->servers)
        if (!listed.contains(s.id.value)) touched.push_back(s.id);
  }
  board_spoke_ = true;
  for (const auto& m : members) {
    if (m.server.status == ServerStatus::gone)
      board_.erase(m.server.id.value);
    else
      board_[m.server.id.value] = m;
    touched.push_back(m.server.id);
  }
  for (const ServerId id : touched) evaluate(id, now);
  if (settings_.authority == Authority::board) primed_ = true;
}

void EndpointSet::advance(Time now) {
  for (std::size_t i = 0; i < kMaxChangesPerTurn && !waiting_.empty(); ++i) {
    const ServerId id = waiting_.front();
    waiting_.pop_front();
    evaluate(id, now);
  }
  for (std::size_t i = 0; i < kMaxChangesPerTurn && !due_.empty() && due_.begin()->first <= now;
       ++i) {
    const ServerId id = due_.begin()->second;
    due_.erase(due_.begin());
    const auto it = known_.find(id.value);
    if (it == known_.end()) continue;
    it->second.wake = 0;
    evaluate(id, now);
  }
}

Time EndpointSet::next_wakeup() const {
  if (!waiting_.empty()) return 0;
  return due_.empty() ? kNever : due_.begin()->first;
}

Merged EndpointSet::wanted(ServerId id) const {
  EndpointSources v;
  v.has_board_list = board_spoke_;
  v.has_file_list = list_ != nullptr;
  Member from_files;
  if (const auto* s = list_ ? list_->find(id) : nullptr) {
    from_files = to_member(*list_, *s, point_zones_, hub_zones_);
    v.files = &from_files;
  }
  if (const auto it = board_.find(id.value); it != board_.end()) v.board = &it->second;
  if (auto merged = merge(settings_.authority, v)) return *merged;
  Merged gone;
  gone.member.server.id = id;
  gone.reason =
      settings_.authority == Authority::board ? Reason::not_on_board : Reason::not_in_files;
  return gone;
}

void EndpointSet::evaluate(ServerId id, Time now) {
  const Merged m = wanted(id);
  const bool fresh = !known_.contains(id.value);
  if (fresh && m.member.server.status == ServerStatus::gone) return;
  Known& k = known_[id.value];
  Member next = m.member;
  Server& s = next.server;
  k.reason = m.reason;
  if (k.wanted == ServerStatus::ready && s.status != ServerStatus::ready) {
    k.flaps.record_departure(now, settings_.damping);
    ++counters_.departures;
  }
  // Danger: a server that was away has lost what it held, whatever its list says; so may a new one,
  // and one that stands at another address. Sent its full share at once it falls over.
  const bool told = !k.told.name.empty();
  const bool appears = k.wanted == ServerStatus::gone && s.status != ServerStatus::gone;
  const bool moved =
      told && k.told.server.status != ServerStatus::gone && next.address != k.told.address;
  if (s.status != ServerStatus::gone && ((appears && primed_) || moved))
    k.born = std::max(k.born, now);
  s.started_at = std::max(s.started_at, k.born);
  k.wanted = s.status;
  if (s.status == ServerStatus::gone) {
    if (told) next.address = k.told.address, next.name = k.told.name, s = k.told.server;
    s.status = ServerStatus::gone;
    k.weight = 0;
  } else {
    s.weight = step(k, s.weight, now);
  }
  if (hold_out(id, k, next, now)) {
    s.status = ServerStatus::draining;
    k.reason = Reason::flapping;
  }
  Time again = kNever;
  if (k.reason == Reason::flapping)
    again = k.flaps.reuse_time(now, settings_.damping);
  else if (k.wanted == ServerStatus::gone)
    again = now + settings_.damping.half_life;  // to be forgotten
  if (k.wanted != ServerStatus::gone && s.weight != m.member.server.weight)
    again = std::min(again, k.step_at);
  wake(id, k, again);
  tell(id, k, next);
  forget_if_gone(id, k, now);
}

double EndpointSet::step(Known& k, double target, Time now) {
  if (k.weight <= 0) return k.weight = target;
  if (k.weight == target || now < k.step_at) return k.weight;
  const double most = settings_.max_weight_factor;
  const double next = std::clamp(target, k.weight / most, k.weight * most);
  if (next != target) ++counters_.weight_steps;
  k.weight = next;
  k.step_at = now + settings_.weight_interval;
  return k.weight;
}

// Danger: holding out the last server of a place would make an outage of a nuisance.
bool EndpointSet::hold_out(ServerId id, Known& k, const Member& m, Time now) {
  const Place place{m.server.role, m.server.location.value};
  const auto count = ready_.find(place);
  const Server& told = k.told.server;
  const bool counted = !k.told.name.empty() && told.status == ServerStatus::ready &&
                       Place{told.role, told.location.value} == place;
  const std::size_t others = (count == ready_.end() ? 0 : count->second) - (counted ? 1 : 0);
  bool held = k.wanted == ServerStatus::ready && k.flaps.update_suppressed(now, settings_.damping);
  if (held && others == 0) k.flaps.end_suppression(), held = false;
  if (k.held_in && (!held || *k.held_in != place)) {
    auto& there = held_[*k.held_in];
    there.erase(id);
    if (there.empty()) held_.erase(*k.held_in);
    k.held_in.reset();
    if (k.wanted == ServerStatus::ready && !held) ++counters_.reinstated;
  }
  if (held && !k.held_in) {
    held_[place].insert(id);
    k.held_in = place;
    ++counters_.suppressed;
  }
  return held;
}

void EndpointSet::wake(ServerId id, Known& k, Time at) {
  if (k.wake) due_.erase({k.wake, id});
  k.wake = at == kNever ? 0 : at;
  if (k.wake) due_.emplace(k.wake, id);
}

void EndpointSet::tell(ServerId id, Known& k, const Member& m) {
  const Server &was = k.told.server, &is = m.server;
  const bool never = k.told.name.empty();
  if (never && is.status == ServerStatus::gone) return;
  const bool same = !never && was.status == is.status && was.weight == is.weight &&
                    was.started_at == is.started_at && was.role == is.role &&
                    was.location == is.location && was.cell == is.cell &&
                    k.told.address == m.address;
  if (same) return;
  const Place before{was.role, was.location.value}, place{is.role, is.location.value};
  const bool was_ready = !never && was.status == ServerStatus::ready,
             ready = is.status == ServerStatus::ready;
  const bool leaves = was_ready && (!ready || before != place);
  if (leaves && --ready_[before] == 0) ready_.erase(before);
  if (ready && (!was_ready || before != place)) ++ready_[place];
  k.told = m;
  ++counters_.changes;
  if (!std::exchange(k.dirty, true)) dirty_.push_back(id);
  // The last of a place has left: one that is held out there takes its place, in the next part.
  if (!leaves || ready_.contains(before)) return;
  if (const auto it = held_.find(before); it != held_.end())
    waiting_.insert(waiting_.begin(), it->second.begin(), it->second.end());
}

void EndpointSet::forget_if_gone(ServerId id, Known& k, Time now) {
  if (k.wanted != ServerStatus::gone || k.dirty || k.told.server.status != ServerStatus::gone)
    return;
  if (!k.flaps.is_negligible(now, settings_.damping) && known_.size() <= kKnownMost) return;
  wake(id, k, kNever);
  known_.erase(id.value);
}

std::vector<EndpointChange> EndpointSet::take_changes() {
  std::vector<EndpointChange> out;
  out.reserve(dirty_.size());
  for (const ServerId id : std::exchange(dirty_, {})) {
    Known& k = known_.at(id.value);
    k.dirty = false;
    out.push_back({k.told, k.reason});
  }
  std::stable_partition(out.begin(), out.end(), [](const EndpointChange& c) {
    return c.member.server.status != ServerStatus::ready;
  });
  return out;
}

std::vector<Remembered> EndpointSet::remembered(Time now) const {
  std::vector<Remembered> out;
  for (const auto& [id, k] : known_) {
    const auto* s = list_ ? list_->find({id}) : nullptr;
    const double penalty = k.flaps.penalty(now, settings_.damping);
    const bool stepping = s && k.weight > 0 && k.weight != s->weight;
    const bool calm = k.flaps.is_negligible(now, settings_.damping);
    const Time born = k.born > now - kBornMatters ? k.born : 0;
    if (born == 0 && !stepping && calm) continue;
    out.push_back({{id},
                   born,
                   stepping ? k.weight : 0,
                   calm ? 0 : penalty,
                   calm ? 0 : now,
                   k.flaps.is_suppressed()});
  }
  // Danger: a new server whose turn has not come yet would pass for a warm one after a restart.
  for (const ServerId id : waiting_)
    if (const auto it = known_.find(id.value);
        it == known_.end() || it->second.wanted == ServerStatus::gone)
      out.push_back({id, now, 0, 0, 0, false});
  std::sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.id < b.id; });
  return out;
}

Reason EndpointSet::reason(ServerId id) const {
  const auto it = known_.find(id.value);
  return it == known_.end() ? Reason::not_in_files : it->second.reason;
}
std::size_t EndpointSet::ready_count() const {
  std::size_t n = 0;
  for (const auto& [place, count] : ready_) n += count;
  return n;
}

}  // namespace alderspur::endpoints

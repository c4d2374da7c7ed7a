// What the membership makes of updates: its own state, suspicions and failures.
#include <utility>

#include "cluster/membership.h"
#include "cluster/suspicion_timeout.h"

namespace alderspur::cluster {
namespace {

// Pings to a suspect before it is declared failed, one a probe timeout.
constexpr int kLastPings = 2;
// Probe intervals for which an unanswered ping of our own confirms a suspicion: an update takes
// that long to arrive.
constexpr Time kOwnEvidenceIntervals = 3;

}  // namespace

GossipUpdate Membership::own_update() const {
  return {self_, incarnation_, is_leaving_ ? MemberState::left : MemberState::alive, {}};
}

void Membership::merge(const GossipUpdate& update) {
  if (!is_valid(update.identity) || update.reported_by.size() > kMaxNameLength) {
    ++counters_.rejected;
    return;
  }
  if (update.identity.name == self_.name) return merge_own(update);
  Member* known = table_.find(update.identity.name);
  if (known == nullptr) {
    // Otherwise updates on a member that stopped long ago would circulate for ever: each member
    // that had forgotten it would add it again.
    if (!is_live(update.state)) return;
    if (table_.size() >= kMaxMembers) {
      ++counters_.rejected;
      return;
    }
    return apply(update);
  }
  const GossipUpdate& held = known->view.update;
  if (overrides(update, held)) return apply(update);
  const bool is_same_incarnation =
      update.identity.epoch == held.identity.epoch && update.incarnation == held.incarnation;
  const bool are_both_suspicions =
      update.state == MemberState::suspect && held.state == MemberState::suspect;
  if (is_same_incarnation && are_both_suspicions) confirm_suspicion(*known, update);
}

void Membership::merge_own(const GossipUpdate& update) {
  if (update.identity.epoch > self_.epoch) {
    if (is_live(update.state)) {
      is_out_ = true;
      return act(Superseded{update.identity});
    }
    // An earlier start of this router, made while the clock was ahead and stopped since: we come
    // after it.
    self_.epoch = update.identity.epoch + 1;
    incarnation_ = 1;
    return gossip_queue_.add(own_update());
  }
  const bool is_outdated = update.identity.epoch < self_.epoch || update.incarnation < incarnation_;
  if (is_outdated || update.state == MemberState::alive || is_leaving_) return;
  // We are suspected, or held for failed or gone: refuted, and a reason to doubt our own speed.
  incarnation_ = update.incarnation + 1;
  ++counters_.refutations;
  if (update.state == MemberState::suspect) local_health_.degrade();
  gossip_queue_.add(own_update());
}

void Membership::apply(const GossipUpdate& update) {
  // Live a moment ago, and now started elsewhere: two processes, or a move that was not announced.
  const Member* known = table_.find(update.identity.name);
  const bool has_moved = known != nullptr && is_live(known->state()) &&
                         known->identity().epoch != update.identity.epoch &&
                         known->identity().address != update.identity.address;
  if (has_moved) {
    ++counters_.conflicts;
    act(NameConflict{known->identity(), update.identity});
  }
  const auto stored = table_.store(update, now_);
  if (!is_live(update.state)) {
    set_timer(settings_.forget_after + 1, TimerKind::forget, update.identity.name);
  }
  if (update.state == MemberState::suspect) begin_suspicion(stored.member);
  gossip_queue_.add(stored.member.view.update);
  if (stored.previous_state != update.state || stored.is_new_epoch) {
    act(MemberChanged{update, stored.previous_state});
  }
}

// ---- Suspicions

Time Membership::suspicion_timeout_of(const Member& member) const {
  const SuspicionBounds bounds{settings_.min_suspicion_timeout, settings_.max_suspicion_timeout,
                               settings_.indirect_probes};
  return suspicion_timeout(bounds, member.suspicion.reporters.size(), live_count());
}

void Membership::begin_suspicion(Member& member) {
  Suspicion& suspicion = member.suspicion;
  suspicion.started_at = now_;
  suspicion.reporters.insert(member.view.update.reported_by);
  suspicion.deadline = now_ + suspicion_timeout_of(member);
  suspicion.last_ping_at = 0;
  suspicion.pings = 0;
  // It has not answered us either, when another asked us to ping it: that is a suspicion of ours.
  const Time evidence_until =
      member.last_unanswered + kOwnEvidenceIntervals * settings_.probe_interval;
  const bool has_own_evidence =
      member.last_unanswered > member.view.last_heard && now_ < evidence_until;
  if (has_own_evidence && suspicion.reporters.insert(self_.name).second) {
    suspicion.deadline = suspicion.started_at + suspicion_timeout_of(member);
    member.view.update.reported_by = self_.name;
  }
  schedule_last_pings(member);
}

void Membership::suspect(const std::string& name) {
  Member* member = table_.find(name);
  if (member == nullptr || !is_live(member->state())) return;
  GossipUpdate update = member->view.update;
  const bool is_suspect = update.state == MemberState::suspect;
  update.state = MemberState::suspect;
  update.reported_by = self_.name;
  ++counters_.suspicions;
  if (is_suspect) {
    confirm_suspicion(*member, update);
  } else {
    apply(update);
  }
}

// Every independent suspicion shortens the time that is left, and is passed on until there are
// enough.
void Membership::confirm_suspicion(Member& member, const GossipUpdate& update) {
  Suspicion& suspicion = member.suspicion;
  if (suspicion.reporters.size() > settings_.indirect_probes) return;
  if (!suspicion.reporters.insert(update.reported_by).second) return;
  suspicion.deadline = suspicion.started_at + suspicion_timeout_of(member);
  schedule_last_pings(member);
  gossip_queue_.add(update);
}

// Where a fifth of all messages is lost, a refutation may not reach everybody in time. So towards
// the end of a suspicion each member that holds it pings the suspect itself, at the cost of two
// messages a member and failure.
void Membership::schedule_last_pings(const Member& member) {
  const Time first_ping_at = member.suspicion.deadline - kLastPings * settings_.probe_timeout;
  set_timer(first_ping_at - now_, TimerKind::suspicion, member.name());
}

void Membership::check_suspicion(Member& member) {
  Suspicion& suspicion = member.suspicion;
  if (member.state() != MemberState::suspect || suspicion.deadline == 0) return;
  if (now_ < suspicion.deadline - kLastPings * settings_.probe_timeout) {
    return schedule_last_pings(member);
  }
  const Time next_ping_at = suspicion.last_ping_at + settings_.probe_timeout;
  if (suspicion.last_ping_at != 0 && now_ < next_ping_at) {
    return set_timer(next_ping_at - now_, TimerKind::suspicion, member.name());
  }
  if (suspicion.pings < kLastPings) {
    ++suspicion.pings;
    suspicion.last_ping_at = now_;
    ping_outside_of_probes(member.identity(), member.identity().epoch);
    return set_timer(settings_.probe_timeout, TimerKind::suspicion, member.name());
  }
  if (now_ < suspicion.deadline) {
    return set_timer(suspicion.deadline - now_, TimerKind::suspicion, member.name());
  }
  declare_failed(member);
}

void Membership::declare_failed(const Member& member) {
  GossipUpdate update = member.view.update;
  update.state = MemberState::failed;
  update.reported_by = self_.name;
  ++counters_.failures;
  apply(update);
}

}  // namespace alderspur::cluster

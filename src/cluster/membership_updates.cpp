// The part of Membership that applies updates on this process and on other members, and that
// handles suspicions and failures.
#include <utility>

#include "cluster/membership.h"
#include "cluster/suspicion_timeout.h"

namespace alderspur::cluster {
namespace {

// Number of pings that each member sends to a suspect before the suspect is declared failed, one
// per probe timeout.
constexpr int kFinalPings = 2;
// For this many probe intervals, an unanswered ping of this process counts as a confirmation of a
// suspicion that another member reports. The other member's update takes that long to arrive.
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
  if (update.identity.name == self_.name) return merge_update_on_self(update);
  Member* known = table_.find(update.identity.name);
  if (known == nullptr) {
    // Otherwise updates on a member that stopped long ago would circulate forever: each member that
    // had removed it from its table would add it again.
    if (!is_live(update.state)) return;
    if (table_.size() >= kMaxMembers) {
      ++counters_.rejected;
      return;
    }
    return apply(update);
  }
  const GossipUpdate& current = known->view.update;
  if (overrides(update, current)) return apply(update);
  const bool is_same_incarnation =
      update.identity.epoch == current.identity.epoch && update.incarnation == current.incarnation;
  const bool are_both_suspicions =
      update.state == MemberState::suspect && current.state == MemberState::suspect;
  if (is_same_incarnation && are_both_suspicions) confirm_suspicion(*known, update);
}

void Membership::merge_update_on_self(const GossipUpdate& update) {
  if (update.identity.epoch > self_.epoch) {
    if (is_live(update.state)) {
      is_stopped_ = true;
      return emit(Superseded{update.identity});
    }
    // The update is on an earlier start of this router, which ran while the clock was ahead and has
    // stopped since. This process takes a greater epoch.
    self_.epoch = update.identity.epoch + 1;
    incarnation_ = 1;
    return gossip_queue_.add(own_update());
  }
  const bool is_outdated = update.identity.epoch < self_.epoch || update.incarnation < incarnation_;
  if (is_outdated || update.state == MemberState::alive || is_leaving_) return;
  // Another member considers this process suspect, failed or departed. Refute that. A suspicion
  // also indicates that this process may be slow.
  incarnation_ = update.incarnation + 1;
  ++counters_.refutations;
  if (update.state == MemberState::suspect) local_health_.degrade();
  gossip_queue_.add(own_update());
}

void Membership::apply(const GossipUpdate& update) {
  // The member was live and has now started at another address: there are two processes with this
  // name, or the member moved without leaving first.
  const Member* known = table_.find(update.identity.name);
  const bool has_moved = known != nullptr && is_live(known->state()) &&
                         known->identity().epoch != update.identity.epoch &&
                         known->identity().address != update.identity.address;
  if (has_moved) {
    ++counters_.conflicts;
    emit(NameConflict{known->identity(), update.identity});
  }
  const auto stored = table_.store(update, now_);
  if (!is_live(update.state)) {
    set_timer(settings_.forget_after + 1, TimerKind::forget, update.identity.name);
  }
  if (update.state == MemberState::suspect) begin_suspicion(stored.member);
  gossip_queue_.add(stored.member.view.update);
  if (stored.previous_state != update.state || stored.is_new_epoch) {
    emit(MemberChanged{update, stored.previous_state});
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
  // The member has also left a ping unanswered that this process sent on behalf of another member.
  // This counts as a suspicion by this process.
  const Time evidence_until =
      member.last_unanswered + kOwnEvidenceIntervals * settings_.probe_interval;
  const bool has_own_evidence =
      member.last_unanswered > member.view.last_heard && now_ < evidence_until;
  if (has_own_evidence && suspicion.reporters.insert(self_.name).second) {
    suspicion.deadline = suspicion.started_at + suspicion_timeout_of(member);
    member.view.update.reported_by = self_.name;
  }
  schedule_final_pings(member);
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

// Each independent suspicion shortens the suspicion timeout. It is forwarded to other members until
// there are enough confirmations for the minimum timeout.
void Membership::confirm_suspicion(Member& member, const GossipUpdate& update) {
  Suspicion& suspicion = member.suspicion;
  if (suspicion.reporters.size() > settings_.indirect_probes) return;
  if (!suspicion.reporters.insert(update.reported_by).second) return;
  suspicion.deadline = suspicion.started_at + suspicion_timeout_of(member);
  schedule_final_pings(member);
  gossip_queue_.add(update);
}

// At a message loss of a fifth, a refutation may not reach every member in time. Shortly before the
// deadline of a suspicion, each member that has received it therefore pings the suspect itself.
// This costs two pings per member for each failure.
void Membership::schedule_final_pings(const Member& member) {
  const Time first_ping_at = member.suspicion.deadline - kFinalPings * settings_.probe_timeout;
  set_timer(first_ping_at - now_, TimerKind::suspicion, member.name());
}

void Membership::check_suspicion(Member& member) {
  Suspicion& suspicion = member.suspicion;
  if (member.state() != MemberState::suspect || suspicion.deadline == 0) return;
  if (now_ < suspicion.deadline - kFinalPings * settings_.probe_timeout) {
    return schedule_final_pings(member);
  }
  const Time next_ping_at = suspicion.last_ping_at + settings_.probe_timeout;
  if (suspicion.last_ping_at != 0 && now_ < next_ping_at) {
    return set_timer(next_ping_at - now_, TimerKind::suspicion, member.name());
  }
  if (suspicion.pings < kFinalPings) {
    ++suspicion.pings;
    suspicion.last_ping_at = now_;
    ping_unscheduled(member.identity(), member.identity().epoch);
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

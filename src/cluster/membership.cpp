// The event handlers, timers and views of Membership.
#include "cluster/membership.h"

#include <algorithm>
#include <array>
#include <utility>

namespace alderspur::cluster {
namespace {

// A Tick that is later than this means that this process was stopped, not that other members were.
constexpr Time kStallThreshold = 500'000;  // microseconds
// How long the departure of this process is gossiped before it is considered complete.
constexpr Time kLeaveDuration = 500'000;  // microseconds

}  // namespace

const char* to_string(ClusterHealth health) {
  constexpr std::array kNames = {"whole", "degraded", "cut", "alone"};
  return kNames.at(static_cast<std::size_t>(health));
}

Membership::Membership(const MembershipSettings& settings, Identity self, std::uint64_t seed)
    : settings_(settings), self_(std::move(self)), random_(seed) {}

void Membership::handle(Time now, const Event& event, std::vector<Action>& actions) {
  actions_ = &actions;
  now_ = std::max(now_, now);
  if (!is_stopped_) std::visit([this](const auto& specific) { on(specific); }, event);
  actions_ = nullptr;
}

// ---- Events

void Membership::on(const Start& event) {
  if (std::exchange(is_started_, true)) return;
  seeds_ = event.seeds;
  std::erase(seeds_, self_.address);
  random_.shuffle(seeds_);
  // The first delays are random: the members of a fleet that starts at one instant must not contact
  // their seeds at the same instant.
  set_timer(random_.time_below(settings_.probe_interval), TimerKind::probe);
  set_timer(random_.time_below(settings_.gossip_interval), TimerKind::gossip);
  set_timer(random_.time_below(settings_.reconnect_interval / 4), TimerKind::reconnect);
  set_timer(settings_.refresh_interval + random_.time_below(settings_.refresh_interval),
            TimerKind::refresh);
  gossip_queue_.add(own_update());
}

void Membership::on(const Tick& /*event*/) {
  if (timers_.empty()) return;
  const Time delay = now_ - timers_.next_due();
  if (delay > kStallThreshold) handle_stall(delay);
  while (!is_stopped_) {
    const auto timer = timers_.take_due(now_);
    if (!timer) return;
    fire(*timer);
  }
}

// When a process resumes after a stop, all its pings appear unanswered at once. Without this
// function it would suspect every other member.
void Membership::handle_stall(Time duration) {
  ++counters_.stalls;
  local_health_.degrade_to_max();
  outstanding_pings_.clear();
  timers_.delay_all(duration);
  table_.delay_suspicions(duration);
}

void Membership::on(const Leave& /*event*/) {
  if (std::exchange(is_leaving_, true)) return;
  gossip_queue_.add(own_update());
  gossip();
  set_timer(kLeaveDuration, TimerKind::leave_completed);
}

void Membership::on(const FullStateReceived& event) {
  const std::size_t count = std::min(kMaxMembers, event.members.size());
  for (std::size_t i = 0; i < count; ++i) merge(event.members[i]);
}

void Membership::on(const MessageReceived& event) {
  const Message& message = event.message;
  if (!is_valid(message.sender) || message.updates.size() > kMaxUpdatesPerMessage) {
    ++counters_.rejected;
    return;
  }
  if (message.sender.name == self_.name) {
    handle_same_name(message, event.from);
    return;
  }
  // An ack proves that its sender is running now. Any other message of an unknown sender does not.
  if (message.kind == Message::Kind::ack) handle_ack(message);
  verify_sender(message, event.from);
  // Updates are accepted only from a sender whose epoch is the known one. A recorded message of a
  // sender that has stopped could otherwise bring back other members that have stopped.
  const Member* sender = table_.find(message.sender.name);
  if (sender != nullptr && sender->identity().epoch == message.sender.epoch) {
    for (const auto& update : message.updates) {
      if (!is_stopped_) merge(update);
    }
  }
  if (is_stopped_) return;
  if (message.kind == Message::Kind::ping) handle_ping(message, event.from);
  if (message.kind == Message::Kind::nack) handle_nack(message);
  if (message.kind == Message::Kind::ping_request) handle_ping_request(message, event.from);
}

// ---- Timers

Time Membership::next_tick() const { return is_stopped_ ? kNever : timers_.next_due(); }

void Membership::set_timer(Time delay, TimerKind kind, std::string member, std::uint64_t ping_id) {
  timers_.set(now_ + std::max<Time>(1, delay), Timer{kind, std::move(member), ping_id});
}

void Membership::fire(const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::probe:
      set_timer(settings_.probe_interval * (1 + local_health_.score() / 2), TimerKind::probe);
      return probe_next();
    case TimerKind::probe_timeout:
      return probe_indirectly(timer.ping_id);
    case TimerKind::ping_expiry:
      return conclude_probe(timer.ping_id);
    case TimerKind::gossip:
      set_timer(settings_.gossip_interval, TimerKind::gossip);
      return gossip();
    case TimerKind::reconnect:
      set_timer(settings_.reconnect_interval, TimerKind::reconnect);
      return reconnect();
    case TimerKind::refresh:
      set_timer(settings_.refresh_interval, TimerKind::refresh);
      return refresh();
    case TimerKind::suspicion:
      if (Member* member = table_.find(timer.member)) check_suspicion(*member);
      return;
    case TimerKind::forget:
      return forget(timer.member);
    case TimerKind::nack:
      return send_nack(timer.ping_id);
    case TimerKind::leave_completed:
      is_stopped_ = true;
      return emit(LeaveCompleted{});
  }
}

void Membership::forget(const std::string& name) {
  const Member* member = table_.find(name);
  if (member == nullptr || is_live(member->state())) return;
  if (now_ < member->view.state_since + settings_.forget_after) return;
  table_.erase(name);
}

// ---- Views

std::vector<GossipUpdate> Membership::full_state() const {
  std::vector<GossipUpdate> state{own_update()};
  for (const auto& [name, member] : table_.members()) state.push_back(member.view.update);
  return state;
}

std::vector<MemberView> Membership::members() const {
  std::vector<MemberView> views;
  views.reserve(table_.size());
  for (const auto& [name, member] : table_.members()) views.push_back(member.view);
  return views;
}

const MemberView* Membership::find(std::string_view name) const {
  const Member* member = table_.find(name);
  return member == nullptr ? nullptr : &member->view;
}

ClusterHealth Membership::health() const {
  const bool has_failed = table_.failed_count() > 0;
  if (live_count() == 0) {
    const bool is_single = !has_failed && seeds_.empty();
    return is_single ? ClusterHealth::whole : ClusterHealth::isolated;
  }
  if ((live_count() + 1) * 2 < known_count() + 1) return ClusterHealth::partitioned;
  const bool is_degraded = has_failed || table_.suspect_count() > 0;
  return is_degraded ? ClusterHealth::degraded : ClusterHealth::whole;
}

}  // namespace alderspur::cluster

// The failure detector of Membership: direct and indirect probes, and the verification that the
// sender of a message is running.
#include <algorithm>
#include <utility>

#include "cluster/membership.h"

namespace alderspur::cluster {
namespace {

constexpr std::size_t kMaxOutstandingPings = 1024;
// A member that pings on behalf of another sends a nack if no ack arrives within this fraction of
// the probe timeout.
constexpr double kNackTimeoutFraction = 0.8;

}  // namespace

Message Membership::make_message(Message::Kind kind, std::uint64_t ping_id) const {
  Message message;
  message.kind = kind;
  message.ping_id = ping_id;
  message.sender = self_;
  message.sender_incarnation = incarnation_;
  return message;
}

// Sends a ping and returns its id. With `epoch` 0, any start of the target may answer.
std::uint64_t Membership::ping(const Identity& target, std::uint64_t epoch, bool is_probe) {
  const std::uint64_t ping_id = random_.next();
  OutstandingPing& outstanding = outstanding_pings_[ping_id];
  outstanding.target = target.name;
  outstanding.target_epoch = epoch;
  outstanding.is_probe = is_probe;
  Message message = make_message(Message::Kind::ping, ping_id);
  message.recipient = target.name;
  message.recipient_epoch = epoch;
  ++counters_.pings;
  send(target.address, std::move(message), target.name);
  return ping_id;
}

// Sends a ping that is not a periodic probe. If no ack arrives, the target's state stays as it is:
// the timer only removes the ping.
void Membership::ping_unscheduled(const Identity& target, std::uint64_t epoch) {
  const auto ping_id = ping(target, epoch, false);
  set_timer(settings_.probe_interval, TimerKind::ping_expiry, {}, ping_id);
}

void Membership::probe_next() {
  if (live_count() == 0 || is_leaving_) return;
  const Identity target = table_.next_to_probe().identity();
  const auto ping_id = ping(target, target.epoch, true);
  set_timer(settings_.probe_timeout * (1 + local_health_.score()), TimerKind::probe_timeout, {},
            ping_id);
}

void Membership::probe_indirectly(std::uint64_t ping_id) {
  const auto found = outstanding_pings_.find(ping_id);
  if (found == outstanding_pings_.end()) return;
  OutstandingPing& outstanding = found->second;
  const Member* target = table_.find(outstanding.target);
  if (target == nullptr) {
    outstanding_pings_.erase(found);
    return;
  }
  const Identity& identity = target->identity();
  // The target is also pinged directly once more. At a message loss of a fifth, about a third of
  // all pings gets no ack, and each false suspicion displaces other updates from the messages.
  Message ping_again = make_message(Message::Kind::ping, ping_id);
  ping_again.recipient = identity.name;
  ping_again.recipient_epoch = outstanding.target_epoch;
  send(identity.address, std::move(ping_again), identity.name);
  for (const Member* helper : table_.random_live(settings_.indirect_probes, outstanding.target)) {
    Message request = make_message(Message::Kind::ping_request, ping_id);
    request.recipient = helper->name();
    request.recipient_epoch = helper->identity().epoch;
    request.target = outstanding.target;
    request.target_epoch = outstanding.target_epoch;
    request.target_address = identity.address;
    ++outstanding.ping_requests;
    ++counters_.ping_requests;
    send(helper->identity().address, std::move(request));
  }
  const Time remaining =
      std::max(settings_.probe_timeout, settings_.probe_interval - settings_.probe_timeout);
  set_timer(remaining * (1 + local_health_.score()), TimerKind::ping_expiry, {}, ping_id);
}

void Membership::conclude_probe(std::uint64_t ping_id) {
  const auto found = outstanding_pings_.find(ping_id);
  if (found == outstanding_pings_.end()) return;
  const OutstandingPing outstanding = found->second;
  outstanding_pings_.erase(found);
  if (!outstanding.is_probe) return;  // only a periodic probe leads to a suspicion
  // The helpers have not even sent a nack, so this process itself may be slow or disconnected.
  if (outstanding.ping_requests > 0 && outstanding.nacks == 0) local_health_.degrade();
  const Member* target = table_.find(outstanding.target);
  if (target != nullptr && target->identity().epoch == outstanding.target_epoch) {
    suspect(outstanding.target);
  }
}

void Membership::handle_ping(const Message& message, const std::string& from) {
  const bool is_for_our_name = message.recipient == self_.name;
  const bool is_for_our_epoch =
      message.recipient_epoch == 0 || message.recipient_epoch == self_.epoch;
  if (!message.recipient.empty() && !(is_for_our_name && is_for_our_epoch)) return;
  send(from, make_message(Message::Kind::ack, message.ping_id), message.sender.name);
}

void Membership::handle_ping_request(const Message& message, const std::string& from) {
  const bool has_capacity = outstanding_pings_.size() < kMaxOutstandingPings;
  if (!has_capacity || message.target.size() > kMaxNameLength) return;
  Identity target;
  target.name = message.target;
  target.address = message.target_address;
  const auto ping_id = ping(target, message.target_epoch, false);
  OutstandingPing& outstanding = outstanding_pings_[ping_id];
  outstanding.requester_address = from;
  outstanding.requester_ping_id = message.ping_id;
  const auto nack_timeout =
      static_cast<Time>(kNackTimeoutFraction * static_cast<double>(settings_.probe_timeout));
  set_timer(nack_timeout, TimerKind::nack, {}, ping_id);
}

void Membership::handle_ack(const Message& message) {
  const auto found = outstanding_pings_.find(message.ping_id);
  if (found == outstanding_pings_.end()) return;
  const OutstandingPing outstanding = found->second;
  // A helper forwards the target's ack under the helper's own name, with the ping id of the
  // request.
  const bool is_indirect =
      message.target == outstanding.target && message.sender.name != outstanding.target;
  const bool is_from_target =
      outstanding.target.empty() || message.sender.name == outstanding.target;
  if (!is_indirect && !is_from_target) return;  // another member now uses the target's address
  outstanding_pings_.erase(found);
  if (!outstanding.requester_address.empty()) {
    Message ack = make_message(Message::Kind::ack, outstanding.requester_ping_id);
    ack.target = outstanding.target;
    return send(outstanding.requester_address, std::move(ack));
  }
  if (outstanding.is_probe) local_health_.improve();
  if (is_indirect) return;
  // The ack proves that the sender is running with this identity. This is how an unknown member, or
  // a new start of a known member, enters the table.
  const GossipUpdate update{message.sender, message.sender_incarnation, MemberState::alive, {}};
  const Member* known = table_.find(message.sender.name);
  const bool has_returned = known != nullptr && !is_live(known->state());
  if (known == nullptr || overrides(update, known->view.update)) merge(update);
  // When a partition ends, each side has outdated updates on the members of the other side, so the
  // two members exchange their full state.
  if (has_returned && !outstanding.is_probe && may_exchange_full_state()) {
    exchange_full_state(message.sender.address);
  }
}

void Membership::handle_nack(const Message& message) {
  const auto found = outstanding_pings_.find(message.ping_id);
  if (found != outstanding_pings_.end()) ++found->second.nacks;
}

void Membership::send_nack(std::uint64_t ping_id) {
  const auto found = outstanding_pings_.find(ping_id);
  if (found == outstanding_pings_.end()) return;
  const OutstandingPing& outstanding = found->second;
  send(outstanding.requester_address,
       make_message(Message::Kind::nack, outstanding.requester_ping_id));
  if (Member* target = table_.find(outstanding.target)) target->last_unanswered = now_;
  outstanding_pings_.erase(found);
}

// Records the time of a message from a known sender. Reports a sender that a newer start has
// replaced, and sends it a gossip message. Pings a sender that is unknown or newer than the known
// start, because its message alone does not prove that it is running.
void Membership::verify_sender(const Message& message, const std::string& from) {
  const Identity& sender = message.sender;
  Member* known = table_.find(sender.name);
  if (known != nullptr && known->identity().epoch == sender.epoch) {
    known->view.last_heard = now_;
    return;
  }
  if (known != nullptr && known->identity().epoch > sender.epoch) {
    ++counters_.conflicts;
    emit(NameConflict{sender, known->identity()});
    Message reply = make_message(Message::Kind::gossip, 0);
    reply.updates.push_back(known->view.update);
    return send(from, std::move(reply), {});
  }
  const bool has_capacity = outstanding_pings_.size() < kMaxOutstandingPings;
  if (!has_capacity || message.kind == Message::Kind::ack) return;
  Identity target = sender;
  target.address = from;
  ping_unscheduled(target, sender.epoch);
}

// Handles a message whose sender has the name of this process: a later or an earlier start of this
// router.
void Membership::handle_same_name(const Message& message, const std::string& from) {
  if (message.sender.epoch > self_.epoch) {
    merge_update_on_self({message.sender, message.sender_incarnation, MemberState::alive, {}});
  } else if (message.sender.epoch < self_.epoch) {
    ++counters_.conflicts;
    emit(NameConflict{message.sender, self_});
    send(from, make_message(Message::Kind::gossip, 0), self_.name);
  }
}

}  // namespace alderspur::cluster

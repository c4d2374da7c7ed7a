// The dissemination part of Membership: updates are spread on all messages, by gossip messages and
// by full state exchanges.
#include <cmath>
#include <utility>

#include "cluster/membership.h"

namespace alderspur::cluster {
namespace {

// Each update is sent this many times the binary logarithm of the number of members.
constexpr double kTransmissionFactor = 3;
// Gossip would take seconds to send a longer queue, so members exchange their full state instead.
constexpr std::size_t kMaxGossipBacklog = 4 * kMaxUpdatesPerMessage;  // updates
// On average, one in this many reconnect rounds also contacts a seed.
constexpr std::uint64_t kReconnectsPerSeed = 5;

}  // namespace

// Sends the message with updates attached, starting with an update on the member `subject`.
void Membership::send(const std::string& address, Message message, const std::string& subject) {
  if (address.empty()) return;
  if (!subject.empty()) attach_update_on(subject, message.updates);
  const std::size_t free_slots = kMaxUpdatesPerMessage - message.updates.size();
  for (auto& update : gossip_queue_.take(free_slots, max_transmissions())) {
    message.updates.push_back(std::move(update));
  }
  emit(SendMessage{address, std::move(message)});
}

// A member that this process considers suspect, failed or departed receives that update, so that it
// can refute it. A member that is alive receives the update on this process.
void Membership::attach_update_on(const std::string& subject,
                                  std::vector<GossipUpdate>& updates) const {
  const Member* member = table_.find(subject);
  if (member != nullptr && member->state() != MemberState::alive) {
    updates.push_back(member->view.update);
  } else if (member != nullptr || subject == self_.name) {
    updates.push_back(own_update());
  }
}

std::size_t Membership::max_transmissions() const {
  const auto members = static_cast<double>(live_count() + 2);
  return static_cast<std::size_t>(kTransmissionFactor * std::ceil(std::log2(members)));
}

void Membership::gossip() {
  for (std::size_t i = 0; i < settings_.gossip_fanout && !gossip_queue_.empty(); ++i) {
    const auto peers = table_.random_live(1);
    if (peers.empty()) return;
    ++counters_.gossips;
    send(peers[0]->identity().address, make_message(Message::Kind::gossip, 0));
  }
}

// Updates can be lost. This repeats a few of them at a time to one random member, and goes through
// the whole table in the course of successive calls.
void Membership::refresh() {
  const auto peers = table_.random_live(1);
  if (peers.empty()) return;
  const std::string& address = peers[0]->identity().address;
  Message message = make_message(Message::Kind::gossip, 0);
  message.updates = table_.next_batch(kMaxUpdatesPerMessage, refresh_cursor_);
  emit(SendMessage{address, std::move(message)});
  // When hundreds of members start at once, or two halves of a cluster merge, hundreds of updates
  // are queued, and a message carries only kMaxUpdatesPerMessage of them.
  if (gossip_queue_.size() > kMaxGossipBacklog && may_exchange_full_state()) {
    exchange_full_state(address);
  }
}

// Failed members are not probed. Without these attempts to reconnect, the two halves of a cluster
// would not merge after a partition.
void Membership::reconnect() {
  if (is_leaving_) return;
  if (!seeds_.empty() && (live_count() == 0 || random_.below(kReconnectsPerSeed) == 0)) {
    const auto& seed = seeds_[next_seed_ % seeds_.size()];
    ++next_seed_;
    if (!table_.has_live_at(seed)) emit(ExchangeFullState{seed});
  }
  if (table_.failed_count() == 0) return;
  if (const Member* failed = table_.random_failed()) ping_unscheduled(failed->identity(), 0);
}

bool Membership::may_exchange_full_state() const {
  return now_ >= last_exchange_at_ + settings_.reconnect_interval;
}

void Membership::exchange_full_state(const std::string& address) {
  last_exchange_at_ = now_;
  emit(ExchangeFullState{address});
}

}  // namespace alderspur::cluster

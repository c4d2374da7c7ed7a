// How the membership spreads updates: on all messages, by gossip, and by full state exchanges.
#include <cmath>
#include <utility>

#include "cluster/membership.h"

namespace alderspur::cluster {
namespace {

// Times log2 of the live members: how often each update is sent.
constexpr double kTransmissionFactor = 3;
// With more updates waiting, gossip would take seconds for them.
constexpr std::size_t kMaxGossipBacklog = 4 * kMaxUpdatesPerMessage;
// One of so many attempts to reconnect goes to a seed.
constexpr std::uint64_t kReconnectsPerSeed = 5;

}  // namespace

// Sends the message with updates attached, one on `subject` first.
void Membership::send(const std::string& address, Message message, const std::string& subject) {
  if (address.empty()) return;
  if (!subject.empty()) attach_update_on(subject, message.updates);
  const std::size_t places = kMaxUpdatesPerMessage - message.updates.size();
  for (auto& update : gossip_queue_.take(places, max_transmissions())) {
    message.updates.push_back(std::move(update));
  }
  act(SendMessage{address, std::move(message)});
}

// A member that is held for suspect, failed or gone must learn it to refute it; one that is alive
// learns of us.
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

// Updates get lost now and then: a few of all that is known go to one other, in turn through all.
void Membership::refresh() {
  const auto peers = table_.random_live(1);
  if (peers.empty()) return;
  const std::string& address = peers[0]->identity().address;
  Message message = make_message(Message::Kind::gossip, 0);
  message.updates = table_.next_in_turn(kMaxUpdatesPerMessage, refresh_cursor_);
  act(SendMessage{address, std::move(message)});
  // Hundreds of members that start at once, or two halves that meet, have hundreds of updates,
  // which messages carry by six.
  if (gossip_queue_.size() > kMaxGossipBacklog && may_exchange_full_state()) {
    exchange_full_state(address);
  }
}

// The failed are not probed: without this the two halves of a fleet would never find each other
// again.
void Membership::reconnect() {
  if (is_leaving_) return;
  if (!seeds_.empty() && (live_count() == 0 || random_.below(kReconnectsPerSeed) == 0)) {
    const auto& seed = seeds_[next_seed_ % seeds_.size()];
    ++next_seed_;
    if (!table_.has_live_at(seed)) act(ExchangeFullState{seed});
  }
  if (table_.failed_count() == 0) return;
  if (const Member* failed = table_.random_failed()) ping_outside_of_probes(failed->identity(), 0);
}

bool Membership::may_exchange_full_state() const {
  return now_ >= last_exchange_at_ + settings_.reconnect_interval;
}

void Membership::exchange_full_state(const std::string& address) {
  last_exchange_at_ = now_;
  act(ExchangeFullState{address});
}

}  // namespace alderspur::cluster

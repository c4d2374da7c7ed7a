#include "cluster/member_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace alderspur::cluster {
namespace {

// The number of entries that random_failed() examines at most.
constexpr std::size_t kMaxFailedSearch = 64;

// The maximum number of draws of random_live(), which must also end if few members are live.
std::size_t max_draws(std::size_t count) { return 3 * count + 3; }

}  // namespace

Member* MemberTable::find(std::string_view name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::find(std::string_view name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

MemberTable::Stored MemberTable::store(const GossipUpdate& update, Time now) {
  const auto [entry, is_new] = members_.try_emplace(update.identity.name);
  Member& member = entry->second;
  Stored stored{member, std::nullopt, false};
  if (!is_new) {
    stored.previous_state = member.state();
    stored.is_new_epoch = member.identity().epoch != update.identity.epoch;
    if (is_live(member.state())) remove_live(member);
    if (member.state() == MemberState::failed) --failed_count_;
    if (member.state() == MemberState::suspect) --suspect_count_;
  }
  if (stored.previous_state != update.state || stored.is_new_epoch) member.view.state_since = now;
  member.view.update = update;
  member.suspicion.reporters.clear();
  member.suspicion.deadline = 0;
  if (is_live(update.state)) add_live(member);
  if (update.state == MemberState::failed) ++failed_count_;
  if (update.state == MemberState::suspect) ++suspect_count_;
  return stored;
}

void MemberTable::erase(const std::string& name) {
  const auto found = members_.find(name);
  if (found->second.state() == MemberState::failed) --failed_count_;
  members_.erase(found);
}

const Member& MemberTable::next_to_probe() {
  if (next_probe_ >= probe_order_.size()) {
    next_probe_ = 0;
    random_.shuffle(probe_order_);
    for (std::size_t i = 0; i < probe_order_.size(); ++i) probe_order_[i]->probe_index = i;
  }
  return *probe_order_[next_probe_++];
}

std::vector<Member*> MemberTable::random_live(std::size_t count, std::string_view except) {
  std::vector<Member*> drawn;
  if (probe_order_.empty()) return drawn;
  for (std::size_t draw = 0; draw < max_draws(count) && drawn.size() < count; ++draw) {
    Member* member = probe_order_[random_.below(probe_order_.size())];
    const bool is_drawn = std::find(drawn.begin(), drawn.end(), member) != drawn.end();
    if (member->name() != except && !is_drawn) drawn.push_back(member);
  }
  return drawn;
}

const Member* MemberTable::random_failed() {
  auto entry = members_.begin();
  std::advance(entry, static_cast<std::ptrdiff_t>(random_.below(members_.size())));
  const std::size_t search_length = std::min(kMaxFailedSearch, members_.size());
  for (std::size_t i = 0; i < search_length; ++i, ++entry) {
    if (entry == members_.end()) entry = members_.begin();
    if (entry->second.state() == MemberState::failed) return &entry->second;
  }
  return nullptr;
}

std::vector<GossipUpdate> MemberTable::next_batch(std::size_t count, std::string& cursor) const {
  std::vector<GossipUpdate> updates;
  auto entry = members_.upper_bound(cursor);
  for (std::size_t i = 0; i < std::min(count, members_.size()); ++i, ++entry) {
    if (entry == members_.end()) entry = members_.begin();
    updates.push_back(entry->second.view.update);
    cursor = entry->first;
  }
  return updates;
}

void MemberTable::delay_suspicions(Time delay) {
  for (auto& [name, member] : members_) {
    if (member.suspicion.deadline != 0) member.suspicion.deadline += delay;
  }
}

// Inserts the member at a random position of the probe order. Otherwise members that join together
// would be probed one after the other in the order in which they joined.
void MemberTable::add_live(Member& member) {
  live_addresses_.insert(member.identity().address);
  member.probe_index = probe_order_.size();
  probe_order_.push_back(&member);
  const std::size_t position = random_.below(probe_order_.size());
  std::swap(probe_order_[position], probe_order_[member.probe_index]);
  probe_order_[member.probe_index]->probe_index = member.probe_index;
  member.probe_index = position;
}

void MemberTable::remove_live(const Member& member) {
  live_addresses_.erase(live_addresses_.find(member.identity().address));
  probe_order_.back()->probe_index = member.probe_index;
  std::swap(probe_order_[member.probe_index], probe_order_.back());
  probe_order_.pop_back();
}

}  // namespace alderspur::cluster

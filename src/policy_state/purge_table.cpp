#include "policy_state/purge_table.h"

#include <algorithm>

namespace alderspur::policy {

void PurgeTable::record(const Purge& purge, Time now) {
  const Time purged_at = now - std::max<Time>(0, purge.age);
  if (purge.covers_everything) {
    latest_full_purge_ = std::max(latest_full_purge_, purged_at);
    return;
  }
  const Key key = purge.object ? Key{true, purge.object->value} : Key{false, purge.group.value};
  Time& latest = latest_[key];
  latest = std::max(latest, purged_at);
}

Time PurgeTable::last_purge(const Request& request) const {
  Time latest = std::max(latest_full_purge_, last_purge_of({true, request.object.value}));
  if (!request.is_group_unknown) {
    return std::max(latest, last_purge_of({false, request.group.value}));
  }
  // The keys of groups come before those of objects.
  for (const auto& [key, purged_at] : latest_) {
    if (key.is_object) break;
    latest = std::max(latest, purged_at);
  }
  return latest;
}

Time PurgeTable::last_purge_of(const Key& key) const {
  const auto found = latest_.find(key);
  return found == latest_.end() ? -1 : found->second;
}

void PurgeTable::remove_before(Time time) {
  std::erase_if(latest_, [time](const auto& entry) { return entry.second < time; });
  if (latest_full_purge_ < time) latest_full_purge_ = -1;
}

}  // namespace alderspur::policy

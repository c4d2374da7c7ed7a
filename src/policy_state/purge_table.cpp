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
  Time latest = latest_full_purge_;
  for (const Key& key : {Key{true, request.object.value}, Key{false, request.group.value}}) {
    if (const auto found = latest_.find(key); found != latest_.end()) {
      latest = std::max(latest, found->second);
    }
  }
  return latest;
}

void PurgeTable::remove_before(Time time) {
  std::erase_if(latest_, [time](const auto& entry) { return entry.second < time; });
  if (latest_full_purge_ < time) latest_full_purge_ = -1;
}

}  // namespace alderspur::policy

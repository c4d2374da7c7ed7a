#include "policy_state/purge_table.h"

#include <algorithm>

namespace alderspur::policy {

void PurgeTable::record(const Purge& purge, Time now) {
  const Key key = purge.object ? Key{true, purge.object->value} : Key{false, purge.group.value};
  Time& latest = latest_[key];
  latest = std::max(latest, now - std::max<Time>(0, purge.age));
}

Time PurgeTable::last_purge(const Request& request) const {
  Time latest = -1;
  for (const Key& key : {Key{true, request.object.value}, Key{false, request.group.value}}) {
    if (const auto found = latest_.find(key); found != latest_.end()) {
      latest = std::max(latest, found->second);
    }
  }
  return latest;
}

void PurgeTable::forget_before(Time time) {
  std::erase_if(latest_, [time](const auto& entry) { return entry.second < time; });
}

}  // namespace alderspur::policy

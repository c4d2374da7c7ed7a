#include "consensus/startup_check.h"

#include <algorithm>

namespace alderspur::consensus {

void StartupCheck::add(const std::string& from, const LogStatus& status, bool is_starting) {
  if (status.is_empty) empty_voters_.insert(from);
  if (is_starting || !status.wants_reply) statuses_[from] = status;
}

StartupCheck::Result StartupCheck::decide(const PersistedLog& log, const std::string& self,
                                          const std::vector<std::string>& voters,
                                          bool has_waited) const {
  std::size_t answered = 0;
  std::size_t empty = 0;
  LogPosition newest;
  for (const auto& voter : voters) {
    if (voter == self) continue;
    if (empty_voters_.contains(voter)) ++empty;
    const auto status = statuses_.find(voter);
    if (status == statuses_.end()) continue;
    ++answered;
    newest = std::max(newest, {status->second.last_term, status->second.last_index});
  }
  const bool have_all_answered = answered + 1 == voters.size();
  if (!log.is_empty()) {
    if (!have_all_answered && !has_waited) return {};
    return {Decision::use_log, {}, newest};
  }
  if (have_all_answered && empty + 1 == voters.size()) return {Decision::found_cluster, {}, {}};
  for (const auto& [name, status] : statuses_) {
    if (!status.is_empty && !empty_voters_.contains(name)) return {Decision::log_is_lost, name, {}};
  }
  return {};
}

}  // namespace alderspur::consensus

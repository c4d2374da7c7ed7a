// What a starting voter learns from the other voters about their logs, and whether its own may be
// used. With an empty disk it founds a cluster only if all other voters are empty as well;
// otherwise its log was lost. A log that holds less than this voter has acknowledged to others was
// lost in part, and must not be used either: a vote or entry that others count on is missing.
// Values only.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/messages.h"
#include "consensus/persisted_log.h"

namespace alderspur::consensus {

class StartupCheck {
 public:
  /// `is_starting`: this voter has not begun to vote yet.
  void add(const std::string& from, const LogStatus& status, bool is_starting);

  /// What a voter learned so far means for its start.
  enum class Decision { wait, found_cluster, log_is_lost, use_log };
  struct Result {
    Decision decision = Decision::wait;
    std::string evidence;    // the voter that has a log, if this one is lost
    LogPosition vote_floor;  // the newest log of the others, if this one's may be used
  };
  /// `has_waited`: some voters may have crashed; those that have answered are enough.
  Result decide(const PersistedLog& log, const std::string& self,
                const std::vector<std::string>& voters, bool has_waited) const;

 private:
  std::map<std::string, LogStatus> statuses_;
  std::set<std::string> empty_voters_;  // have reported an empty disk, now or earlier
};

}  // namespace alderspur::consensus

// Collects the log statuses of the other voters at startup and decides whether this voter may use
// its own log.
//
// With an empty disk, the voter founds a new cluster only if all other voters are empty as well;
// otherwise its log was lost. A log that lacks entries or terms that this voter has acknowledged to
// others was lost in part and must not be used either, because a vote or an entry on which the
// other voters rely is missing; Voter checks this as statuses arrive.
//
// Does no I/O. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/messages.h"
#include "consensus/persisted_log.h"

namespace alderspur::consensus {

/// Decides on the startup of one voter. Used by Voter.
class StartupCheck {
 public:
  /// Records the log status of another voter. `is_starting`: whether this voter has not started its
  /// Raft instance yet; later, only replies to its own requests are recorded.
  void add(const std::string& from, const LogStatus& status, bool is_starting);

  /// The next step of the startup.
  enum class Decision {
    wait,           // more statuses are needed
    found_cluster,  // no voter has a log
    log_is_lost,    // this voter has no log, but another one does
    use_log
  };
  struct Result {
    Decision decision = Decision::wait;
    std::string evidence;    // for log_is_lost: the name of a voter that has a log
    LogPosition vote_floor;  // for use_log: the end of the newest log of the other voters
  };
  /// Decides from the statuses received so far. `has_waited`: the waiting time for missing statuses
  /// is over, because some voters may have crashed; a voter with a log then uses those it has.
  Result decide(const PersistedLog& log, const std::string& self,
                const std::vector<std::string>& voters, bool has_waited) const;

 private:
  std::map<std::string, LogStatus> statuses_;
  std::set<std::string> empty_voters_;  // voters that have ever reported an empty disk
};

}  // namespace alderspur::consensus

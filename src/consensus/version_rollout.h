// The leader's decisions on the pending version: when it is accepted, activated or withdrawn, and
// whether a canary rollout is promoted or rolled back. Decides only; the caller proposes the
// command. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "consensus/applied_state.h"
#include "consensus/lease_table.h"

namespace alderspur::consensus {

class VersionRollout {
 public:
  /// Forgets what was observed in an earlier term. How long an earlier leader has watched a canary
  /// rollout is unknown: its time counts anew.
  void begin_term();

  /// The command that is due for the pending version, if any. `roles`: of the Raft configuration.
  std::optional<Command> next_command(Time now, const AppliedState& state,
                                      const std::map<std::string, int>& roles, LeaseTable& leases);

 private:
  std::optional<Command> decide_offered(Time now, const Version& version,
                                        const std::map<std::string, int>& roles,
                                        const LeaseTable& leases);
  std::optional<Command> watch_canary(Time now, const Version& version, const LeaseTable& leases);

  std::uint64_t offered_number_ = 0;  // since offered_since_
  Time offered_since_ = 0;
  std::uint64_t canary_number_ = 0;  // since canary_since_
  Time canary_since_ = 0;
  Time harmful_since_ = 0;  // 0: the canary does no harm
};

}  // namespace alderspur::consensus

// The leader's decisions on the pending version: when to accept, activate or withdraw it, and
// whether to promote or roll back its canary rollout. This class only decides; the caller proposes
// the command. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "consensus/applied_state.h"
#include "consensus/lease_table.h"

namespace alderspur::consensus {

/// Decides on the pending version from the replicated state and the reports in lease requests.
class VersionRollout {
 public:
  /// Discards the observations of earlier terms. A canary rollout starts its duration again,
  /// because the new leader does not know how long an earlier leader has observed it.
  void begin_term();

  /// Returns the command that is due for the pending version, if any. `roles` are the roles by
  /// server name in the Raft configuration.
  std::optional<Command> next_command(Time now, const AppliedState& state,
                                      const std::map<std::string, int>& roles, LeaseTable& leases);

 private:
  std::optional<Command> decide_offered(Time now, const Version& version,
                                        const std::map<std::string, int>& roles,
                                        const LeaseTable& leases);
  std::optional<Command> watch_canary(Time now, const Version& version, const LeaseTable& leases);

  std::uint64_t offered_number_ = 0;  // the offered version observed last
  Time offered_since_ = 0;            // when this leader first observed it
  std::uint64_t canary_number_ = 0;   // the canary version observed last
  Time canary_since_ = 0;             // when this leader first observed it
  Time harmful_since_ = 0;            // 0: the canary is not harmful; see is_harmful()
};

}  // namespace alderspur::consensus

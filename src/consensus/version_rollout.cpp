#include "consensus/version_rollout.h"

#include <algorithm>

#include "consensus/raft.h"

namespace alderspur::consensus {
namespace {

constexpr Time kMaxOfferTime = 15'000'000;  // then an offered version is withdrawn
// How long to wait for voters beyond a majority that may still reject the version. The sum of this
// time and the duration of a lease must stay below the time within which a version has to become
// active.
constexpr Time kVoterGraceTime = 500'000;
constexpr Time kMinHarmfulTime = 2'000'000;  // of continuous harm, before a rollback
// Requests per second at the canary routers; a lower rate is not enough evidence. Each router
// reports a rate that is one higher than measured.
constexpr double kMinCanaryRequestRate = 1;
constexpr double kNegligibleRequestRate = 1e-9;  // a smaller difference is only a rounding error

// The answers of the voters in the Raft configuration on an offered version.
struct OfferVotes {
  std::size_t voters = 0;
  std::size_t stored = 0;   // voters that have stored the version
  bool may_reject = false;  // a voter with a lease has not answered yet
  std::string rejection;    // empty: no voter has rejected the version
};

OfferVotes count_votes(std::uint64_t number, const std::map<std::string, int>& roles,
                       const LeaseTable& leases) {
  OfferVotes votes;
  for (const auto& [name, role] : roles) {
    if (role != RAFT_VOTER) continue;
    ++votes.voters;
    const auto* holder = leases.find(name);
    if (!holder) continue;
    if (holder->rejected_number == number) {
      votes.rejection = "refused by " + name + ": " + holder->rejection_reason;
      return votes;
    }
    if (holder->stored_number >= number) {
      ++votes.stored;
    } else if (holder->may_hold_lease) {
      votes.may_reject = true;
    }
  }
  return votes;
}

int percent(double ratio) { return static_cast<int>(ratio * 100); }

// The failure ratios at the canary routers and at all other routers.
struct CanaryComparison {
  bool has_evidence = false;
  double canary_failure_ratio = 0;
  double other_failure_ratio = 0;

  bool is_harmful(double max_increase) const {
    return has_evidence && canary_failure_ratio > other_failure_ratio + max_increase;
  }
  std::string describe() const {
    return std::to_string(percent(canary_failure_ratio)) + "% ended badly at the first routers, " +
           std::to_string(percent(other_failure_ratio)) + "% elsewhere";
  }
};

// Computes the failure ratios of the canary routers that act on the version and of all other
// routers, weighted by their request rates.
CanaryComparison compare_canary(const Version& version, const LeaseTable& leases) {
  double canary_rate = 0;
  double canary_failures = 0;
  for (const auto& router : version.canary.routers) {
    const auto* holder = leases.find(router);
    if (!holder || holder->active_number != version.number) continue;
    canary_rate += holder->request_rate;
    canary_failures += holder->request_rate * holder->failure_ratio;
  }
  CanaryComparison comparison;
  const auto router_count = static_cast<double>(version.canary.routers.size());
  if (canary_rate < kMinCanaryRequestRate + router_count) return comparison;
  comparison.has_evidence = true;
  comparison.canary_failure_ratio = canary_failures / canary_rate;
  const double other_rate = leases.total_request_rate() - canary_rate;
  if (other_rate > kNegligibleRequestRate) {
    comparison.other_failure_ratio =
        std::max(0.0, leases.total_failure_rate() - canary_failures) / other_rate;
  }
  return comparison;
}

}  // namespace

void VersionRollout::begin_term() {
  offered_number_ = 0;
  canary_number_ = 0;
}

std::optional<Command> VersionRollout::next_command(Time now, const AppliedState& state,
                                                    const std::map<std::string, int>& roles,
                                                    LeaseTable& leases) {
  const Version* pending = state.pending();
  if (!pending) return {};
  if (state.canary()) return watch_canary(now, *pending, leases);
  if (!state.accepted()) return decide_offered(now, *pending, roles, leases);
  if (leases.all_have_stored(now, pending->number)) return ActivateVersion{pending->number};
  return {};
}

std::optional<Command> VersionRollout::decide_offered(Time now, const Version& version,
                                                      const std::map<std::string, int>& roles,
                                                      const LeaseTable& leases) {
  if (offered_number_ != version.number) {
    offered_number_ = version.number;
    offered_since_ = now;
  }
  const OfferVotes votes = count_votes(version.number, roles, leases);
  if (!votes.rejection.empty()) {
    return WithdrawVersion{version.number, to_printable(votes.rejection, kMaxNoteLength)};
  }
  // A voter whose disk hangs keeps its lease and never stores the version. It must not block the
  // version indefinitely; once the version is accepted, this voter gets no further lease.
  const bool is_grace_over = now > offered_since_ + kVoterGraceTime;
  const bool has_majority = votes.stored > votes.voters / 2;
  if (has_majority && (!votes.may_reject || is_grace_over)) return AcceptVersion{version.number};
  if (now > offered_since_ + kMaxOfferTime) {
    return WithdrawVersion{version.number, "its content did not reach enough voters in time"};
  }
  return {};
}

std::optional<Command> VersionRollout::watch_canary(Time now, const Version& version,
                                                    const LeaseTable& leases) {
  if (canary_number_ != version.number) {
    canary_number_ = version.number;
    canary_since_ = now;
    harmful_since_ = 0;
  }
  const CanaryRollout& canary = version.canary;
  const CanaryComparison comparison = compare_canary(version, leases);
  if (!comparison.is_harmful(canary.max_failure_increase)) {
    harmful_since_ = 0;
  } else if (harmful_since_ == 0) {
    harmful_since_ = now;
  }
  if (harmful_since_ != 0 && now >= harmful_since_ + kMinHarmfulTime) {
    return RollBackCanary{0, version.number, comparison.describe()};
  }
  if (now < canary_since_ + canary.duration) return {};
  if (canary.promote_on_expiry) return PromoteCanary{0, version.number};
  return RollBackCanary{0, version.number, "its time is over"};
}

}  // namespace alderspur::consensus

// The part of a ConsensusNode that every router runs, voter or not: it renews this router's lease,
// receives the newest versions from the leader and from other routers, has their contents fetched
// and stored, and decides which version this router acts on.
//
// With a valid lease, the router acts on the current version. Without one it acts conservatively,
// on the merge of its version with all later versions that it knows to be accepted. It never
// returns to a smaller version number. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/content_store.h"
#include "consensus/node_context.h"

namespace alderspur::consensus {

/// This router's lease and active version. `context` and `contents` must outlive this object.
class LeaseClient {
 public:
  LeaseClient(NodeContext& context, ContentStore& contents)
      : context_(context), contents_(contents) {}

  /// Restores the persisted state. The content store must have been loaded before.
  void start(const PersistedState& state);

  /// Stores the measured load, which is reported in lease requests.
  void on_load(const LoadMeasured& load);
  /// Answers a VersionQuery with the newest versions known here.
  void on_version_query(const std::string& from);
  void on_version_response(const VersionResponse& response);
  /// Sends the next lease request to the leader that the redirect names.
  void on_redirect(const std::string& from, const Redirect& redirect);
  /// Applies a grant. Returns false if it is outdated and was ignored.
  bool on_grant(const std::string& from, const LeaseGrant& grant);
  /// Renews the lease at once if the content belongs to the target or the pending version, so that
  /// the leader receives the result of the write or the check.
  void on_content_changed(const std::string& digest);

  /// Adopts the current and pending versions of this voter's own replicated state.
  void follow_applied_state(const AppliedState& state);
  /// Activates the newest version known to be current, if its content is usable.
  void activate_target();
  /// Sends a lease request if it is due. `learner_id`: see LeaseRequest.
  void renew_if_due(const std::vector<std::string>& voters, bool is_leader,
                    std::uint64_t learner_id);
  /// Makes the next lease request due at the latest after `delay`.
  void renew_within(Time delay);
  /// Fetches the missing contents of the versions known here.
  void fetch_contents(const std::vector<std::string>& voters);
  /// Adds Activate and PersistState actions if the active version or the persisted state changed.
  void report_changes();

  bool has_lease() const { return context_.now() < lease_until_; }
  const ActiveVersion& active() const { return active_; }
  /// Returns the newest version known to be current at this router.
  const Version& target() const { return target_; }
  const std::optional<Version>& pending() const { return pending_; }
  bool is_pending_accepted() const { return is_pending_accepted_; }
  /// Returns true if the content with this digest belongs to the active, the target, the pending or
  /// an accepted version.
  bool uses_digest(const std::string& digest) const;
  /// Returns the highest number of a current or accepted version known here.
  std::uint64_t newest_number() const;
  /// Returns the leader's name; empty if it is not known.
  const std::string& leader() const { return leader_; }
  /// Returns the leader's protocol version; empty if the leader has not reported it.
  const std::optional<std::uint64_t>& leader_protocol_version() const {
    return leader_protocol_version_;
  }
  /// Returns the voters that the leader last reported, or those of the settings if none were
  /// reported.
  const std::vector<std::string>& known_voters() const;
  /// Returns the remaining time of the lease in microseconds; 0 without a lease.
  Time lease_left(Time now) const;
  /// Returns the next time at which a request is due or the lease expires.
  Time next_deadline() const;

 private:
  void set_leader(const std::string& leader);
  LeaseRequest make_request(std::uint64_t learner_id) const;
  std::uint64_t highest_usable_number() const;
  void update_target(const Version& version);
  void update_accepted(const Version& version);
  bool applies_here(const Version& version) const;
  std::vector<std::string> fetch_sources(const std::vector<std::string>& voters);
  void update_active();

  NodeContext& context_;
  ContentStore& contents_;

  PersistedState persisted_;
  PersistedState last_persisted_;
  ActiveVersion active_;
  ActiveVersion last_reported_;
  Version target_;  // the newest version known to be current at this router
  std::optional<Version> pending_;
  bool is_pending_accepted_ = false;

  std::uint64_t last_grant_id_ = 0;
  std::uint64_t rejected_number_ = 0;
  std::string rejection_reason_;
  Time lease_until_ = 0;
  Time renew_at_ = 0;
  Time last_leader_message_at_ = 0;
  double total_share_ = 0;
  double location_share_ = 0;
  double request_rate_ = 1;
  double failure_ratio_ = 0;
  std::set<Time> unanswered_requests_;  // times at which they were sent

  std::string leader_;
  std::optional<std::uint64_t> leader_protocol_version_;
  std::size_t next_voter_ = 0;  // receives the next request while no leader is known
};

}  // namespace alderspur::consensus

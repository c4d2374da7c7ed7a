// A router's own part in agreement, whether it votes or not: it asks the leader for a lease, learns
// from it and from other routers which versions there are, fetches and stores their contents, and
// decides which version this router acts on.
//
// While a lease runs, the router acts on the current version. Without one it acts conservatively:
// on the merge of that version with all that it has heard to be accepted since. It never goes back
// to a smaller version number. Not thread-safe.
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

class LeaseClient {
 public:
  LeaseClient(NodeContext& context, ContentStore& contents)
      : context_(context), contents_(contents) {}

  /// `contents` must have been loaded.
  void start(const PersistedState& state);

  void on_load(const LoadMeasured& load);
  void on_version_query(const std::string& from);
  void on_version_news(const VersionNews& news);
  void on_redirect(const std::string& from, const Redirect& redirect);
  /// False if the grant is outdated and was ignored.
  bool on_grant(const std::string& from, const LeaseGrant& grant);
  /// A content was written or checked: the leader should hear of it.
  void on_content_changed(const std::string& digest);

  /// Takes over what a voter's own replicated state says.
  void follow_applied_state(const AppliedState& state);
  /// Acts on the newest version known to be current, if its content is usable.
  void activate_target();
  /// Sends a request if it is due. `learner_id`: see LeaseRequest.
  void renew_if_due(const std::vector<std::string>& voters, bool is_leader,
                    std::uint64_t learner_id);
  void renew_within(Time delay);
  /// Fetches the contents of versions heard of.
  void fetch_contents(const std::vector<std::string>& voters);
  /// Reports changes of the active version and of the state to be persisted.
  void report_changes();

  bool has_lease() const { return context_.now() < lease_until_; }
  const ActiveVersion& active() const { return active_; }
  const Version& target() const { return target_; }
  const std::optional<Version>& pending() const { return pending_; }
  bool is_pending_accepted() const { return is_pending_accepted_; }
  bool uses_digest(const std::string& digest) const;
  /// The highest number known of a current or accepted version.
  std::uint64_t newest_number() const;
  const std::string& leader() const { return leader_; }  // empty: not known
  /// Empty if the leader has not reported it.
  const std::optional<std::uint64_t>& leader_protocol_version() const {
    return leader_protocol_version_;
  }
  const std::vector<std::string>& known_voters() const;
  Time lease_left(Time now) const;
  Time next_deadline() const;

 private:
  void set_leader(const std::string& leader);
  LeaseRequest make_request(std::uint64_t learner_id) const;
  std::uint64_t highest_usable_number() const;
  void learn_current(const Version& version);
  void learn_accepted(const Version& version);
  bool applies_here(const Version& version) const;
  std::vector<std::string> fetch_sources(const std::vector<std::string>& voters);
  void update_active();

  NodeContext& context_;
  ContentStore& contents_;

  PersistedState persisted_;
  PersistedState last_persisted_;
  ActiveVersion active_;
  ActiveVersion last_reported_;
  Version target_;  // newest version known to be current here
  std::optional<Version> pending_;
  bool is_pending_accepted_ = false;

  std::uint64_t last_grant_id_ = 0;
  std::uint64_t rejected_number_ = 0;
  std::string rejection_reason_;
  Time lease_until_ = 0;
  Time renew_at_ = 0;
  Time heard_from_leader_at_ = 0;
  double total_share_ = 0;
  double location_share_ = 0;
  double request_rate_ = 1;
  double failure_ratio_ = 0;
  std::set<Time> unanswered_requests_;  // by the time they were sent

  std::string leader_;
  std::optional<std::uint64_t> leader_protocol_version_;
  std::size_t next_voter_ = 0;  // to be asked while no leader is known
};

}  // namespace alderspur::consensus

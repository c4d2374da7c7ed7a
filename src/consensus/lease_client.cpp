#include "consensus/lease_client.h"

#include <algorithm>

namespace alderspur::consensus {
namespace {

constexpr Time kShortDelay = 20'000;  // before a lease request is repeated early
constexpr std::size_t kMaxUnansweredRequests = 8;
constexpr int kRandomSources = 2;  // random peers to fetch from, besides the leader and the voters

}  // namespace

void LeaseClient::start(const PersistedState& state) {
  persisted_ = state;
  last_persisted_ = state;
  if (persisted_.voters.empty()) persisted_.voters = context_.settings().voters;
  target_ = persisted_.current;
  if (contents_.contains(target_.digest)) {
    active_.version = target_;
    active_.content = contents_.content(target_.digest);
  } else if (target_.number != 0) {
    context_.log("content_lost", "the content of version " + std::to_string(target_.number) +
                                     " is not on the disk");
  }
  renew_at_ = context_.now();
}

void LeaseClient::on_load(const LoadMeasured& load) {
  request_rate_ = load.request_rate;
  failure_ratio_ = load.failure_ratio;
}

// ---- Versions reported by other routers

void LeaseClient::on_version_query(const std::string& from) {
  context_.send(from, VersionResponse{target_, persisted_.accepted});
}

void LeaseClient::on_version_response(const VersionResponse& response) {
  update_target(response.current);
  if (response.accepted) update_accepted(*response.accepted);
}

// Returns false for a version in a canary rollout that does not include this router.
bool LeaseClient::applies_here(const Version& version) const {
  return !version.is_canary() || version.canary.includes(context_.name());
}

// Reports of versions may arrive late and in any order, so a smaller number is ignored.
void LeaseClient::update_target(const Version& version) {
  if (!applies_here(version)) return;
  const bool was_promoted =
      version.number == target_.number && target_.is_canary() && !version.is_canary();
  if (was_promoted) {
    target_ = version;
    if (active_.version.number == version.number) {
      active_.version = version;
      persisted_.current = version;
    }
  }
  if (version.number > target_.number) target_ = version;
}

void LeaseClient::update_accepted(const Version& version) {
  if (!applies_here(version) || version.number <= target_.number) return;
  if (!persisted_.accepted || version.number > persisted_.accepted->number) {
    persisted_.accepted = version;
  }
}

void LeaseClient::follow_applied_state(const AppliedState& state) {
  update_target(state.current());
  const Version* pending = state.pending();
  const bool is_accepted = state.accepted().has_value();
  if (is_accepted && pending->canary.includes(context_.name())) {
    // The canary rollout includes this router, so the version is already current here.
    update_target(*pending);
    pending = nullptr;
  }
  if (!pending) {
    pending_.reset();
    return;
  }
  pending_ = *pending;
  is_pending_accepted_ = is_accepted && !state.canary();
  if (!is_pending_accepted_) return;
  pending_->canary = {};
  update_accepted(*pending_);
}

// ---- The lease

void LeaseClient::set_leader(const std::string& leader) {
  if (leader != leader_) leader_protocol_version_.reset();
  leader_ = leader;
}

void LeaseClient::renew_within(Time delay) {
  renew_at_ = std::min(renew_at_, context_.now() + delay);
}

void LeaseClient::renew_if_due(const std::vector<std::string>& voters, bool is_leader,
                               std::uint64_t learner_id) {
  const Time now = context_.now();
  if (now < renew_at_) return;
  const Time interval = context_.settings().renew_interval;
  renew_at_ = now + interval;
  if (voters.empty()) return;
  // The leader may have failed, so the requests go to the voters in turn, which redirect them.
  if (now > last_leader_message_at_ + 2 * interval + kShortDelay) set_leader("");
  if (is_leader) set_leader(context_.name());
  const std::string receiver = leader_.empty() ? voters[next_voter_++ % voters.size()] : leader_;
  unanswered_requests_.insert(now);
  while (unanswered_requests_.size() > kMaxUnansweredRequests) {
    unanswered_requests_.erase(unanswered_requests_.begin());
  }
  context_.send(receiver, make_request(learner_id));
  if (!has_lease() && !context_.peers().empty()) {
    context_.send(context_.random_peer(), VersionQuery{});
  }
}

LeaseRequest LeaseClient::make_request(std::uint64_t learner_id) const {
  const ConsensusSettings& settings = context_.settings();
  LeaseRequest request;
  request.epoch = settings.epoch;
  request.sent_at = context_.now();
  request.active_number = active_.version.number;
  request.stored_number = highest_usable_number();
  request.rejected_number = rejected_number_;
  request.rejection_reason = rejection_reason_;
  request.last_grant_id = last_grant_id_;
  if (has_lease()) {
    request.total_share = total_share_;
    request.location_share = location_share_;
  }
  request.request_rate = request_rate_;
  request.location = settings.location;
  request.learner_id = learner_id;
  request.failure_ratio = failure_ratio_;
  request.protocol_version = settings.protocol_version;
  return request;
}

std::uint64_t LeaseClient::highest_usable_number() const {
  std::uint64_t highest = 0;
  const auto consider = [&](const Version& version) {
    if (contents_.is_usable(version)) highest = std::max(highest, version.number);
  };
  consider(active_.version);
  consider(target_);
  if (pending_) consider(*pending_);
  return highest;
}

void LeaseClient::on_redirect(const std::string& from, const Redirect& redirect) {
  if (from != leader_ && !leader_.empty()) return;
  set_leader(redirect.leader == from ? "" : redirect.leader);
  if (leader_.empty()) return;
  last_leader_message_at_ = context_.now();
  renew_within(kShortDelay);
}

bool LeaseClient::on_grant(const std::string& from, const LeaseGrant& grant) {
  // A grant to an earlier process of this router, or one that a later grant has overtaken, is
  // ignored: its lease would be counted from a time at which this process sent no request.
  if (grant.id <= last_grant_id_) return false;
  if (unanswered_requests_.erase(grant.sent_at) == 0) return false;
  last_grant_id_ = grant.id;
  leader_ = from;
  leader_protocol_version_ = grant.protocol_version;
  last_leader_message_at_ = context_.now();
  if (!grant.voters.empty()) persisted_.voters = grant.voters;
  update_target(grant.current);
  pending_ = grant.pending;
  is_pending_accepted_ = grant.is_pending_accepted;
  if (grant.pending && grant.is_pending_accepted) update_accepted(*grant.pending);
  activate_target();
  const bool acts_on_current = active_.version.number == grant.current.number;
  const Time until = acts_on_current ? grant.sent_at + grant.duration : 0;
  lease_until_ = until > context_.now() ? until : 0;
  total_share_ = grant.total_share;
  location_share_ = grant.location_share;
  // The leader granted no lease because this router had not yet reported that it acts on the
  // current version. The next request reports it.
  if (acts_on_current && grant.duration == 0) renew_within(kShortDelay);
  return true;
}

void LeaseClient::on_content_changed(const std::string& digest) {
  const auto matches = [&](const Version& version) {
    return version.number != 0 && version.digest == digest;
  };
  const Version* version = nullptr;
  if (pending_ && matches(*pending_)) {
    version = &*pending_;
  } else if (matches(target_)) {
    version = &target_;
  } else {
    return;
  }
  const ContentStore::Entry* entry = contents_.find(digest);
  if (entry && entry->is_rejected() && rejected_number_ != version->number) {
    rejected_number_ = version->number;
    rejection_reason_ = entry->rejection_reason;
    context_.log("refused",
                 "version " + std::to_string(version->number) + ": " + entry->rejection_reason);
  }
  renew_within(0);
}

// ---- Contents

void LeaseClient::fetch_contents(const std::vector<std::string>& voters) {
  const auto request = [this](const Version& version) {
    contents_.request(version, version.number == target_.number);
  };
  request(target_);
  if (pending_) request(*pending_);
  if (persisted_.accepted) request(*persisted_.accepted);
  if (contents_.is_fetch_due()) contents_.fetch_from(fetch_sources(voters));
}

std::vector<std::string> LeaseClient::fetch_sources(const std::vector<std::string>& voters) {
  std::vector<std::string> sources;
  const auto add = [&](const std::string& name) {
    const bool is_listed = std::find(sources.begin(), sources.end(), name) != sources.end();
    if (!name.empty() && name != context_.name() && !is_listed) sources.push_back(name);
  };
  add(leader_);
  for (const auto& voter : voters) add(voter);
  if (!context_.peers().empty()) {
    for (int i = 0; i < kRandomSources; ++i) add(context_.random_peer());
  }
  if (pending_) add(pending_->author);
  return sources;
}

bool LeaseClient::uses_digest(const std::string& digest) const {
  return digest == active_.version.digest || digest == target_.digest ||
         (pending_ && digest == pending_->digest) ||
         (persisted_.accepted && digest == persisted_.accepted->digest);
}

// ---- The active version

void LeaseClient::activate_target() {
  if (target_.number <= active_.version.number || !contents_.is_usable(target_)) return;
  active_.version = target_;
  active_.content = contents_.content(target_.digest);
  persisted_.current = target_;
  if (persisted_.accepted && persisted_.accepted->number <= target_.number) {
    persisted_.accepted.reset();
  }
  if (pending_ && pending_->number <= target_.number) pending_.reset();
  lease_until_ = 0;  // the lease was granted on the older version
  renew_within(0);
}

void LeaseClient::update_active() {
  active_.is_conservative = !has_lease();
  active_.newer_contents.clear();
  active_.total_share = active_.is_conservative ? 0 : total_share_;
  active_.location_share = active_.is_conservative ? 0 : location_share_;
  if (!active_.is_conservative) return;
  const auto add = [this](const Version& version) {
    const ContentPtr content = contents_.content(version.digest);
    if (version.number > active_.version.number && content) {
      active_.newer_contents.push_back(content);
    }
  };
  add(target_);
  if (persisted_.accepted && persisted_.accepted->number != target_.number) {
    add(*persisted_.accepted);
  }
}

void LeaseClient::report_changes() {
  if (persisted_ != last_persisted_) {
    last_persisted_ = persisted_;
    context_.add_action(PersistState{persisted_});
  }
  update_active();
  if (active_ != last_reported_) {
    last_reported_ = active_;
    context_.add_action(Activate{active_});
  }
}

// ---- Queries

std::uint64_t LeaseClient::newest_number() const {
  const std::uint64_t accepted = persisted_.accepted ? persisted_.accepted->number : 0;
  return std::max(target_.number, accepted);
}

const std::vector<std::string>& LeaseClient::known_voters() const {
  return persisted_.voters.empty() ? context_.settings().voters : persisted_.voters;
}

Time LeaseClient::lease_left(Time now) const { return std::max<Time>(0, lease_until_ - now); }

Time LeaseClient::next_deadline() const {
  const Time renewal = std::max(renew_at_, context_.now());
  return has_lease() ? std::min(renewal, lease_until_) : renewal;
}

}  // namespace alderspur::consensus

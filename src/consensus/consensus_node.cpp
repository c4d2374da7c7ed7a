#include "consensus/consensus_node.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace alderspur::consensus {
namespace {

// Messages of this router to itself can cause further ones. After this many rounds, the remaining
// ones wait for the next event.
constexpr int kMaxRounds = 8;
constexpr std::size_t kMaxRoutersBehind = 16;  // names in the status

}  // namespace

const char* role_name(NodeRole role) {
  switch (role) {
    case NodeRole::follower:
      return "follower";
    case NodeRole::joining:
      return "asking";
    case NodeRole::learner:
      return "learner";
    case NodeRole::voter:
      return "voter";
  }
  return "";
}

ConsensusNode::ConsensusNode(ConsensusSettings settings, std::uint64_t seed)
    : context_(std::move(settings), seed),
      contents_(context_,
                [this](const std::string& digest) { lease_client_.on_content_changed(digest); }),
      lease_client_(context_, contents_),
      proposals_(context_, contents_, lease_client_),
      leader_(context_, voter_),
      voter_(context_) {}

// ---- Events

void ConsensusNode::handle(Time now, const Event& event, std::vector<Action>& actions) {
  context_.begin_event(now, actions);
  std::visit([this](const auto& alternative) { on_event(alternative); }, event);
  if (has_started_) run_due_work();
  context_.end_event();
}

void ConsensusNode::on_event(const Start& event) {
  has_started_ = true;
  contents_.load(event.contents);
  lease_client_.start(event.state);
  voter_.start(event, is_wanted_voter());
}

void ConsensusNode::on_event(const MessageReceived& event) {
  const auto message = decode_message(event.bytes);
  if (!message || !has_started_) return;
  std::visit([&](const auto& alternative) { on_message(event.from, alternative); }, *message);
}

void ConsensusNode::on_event(const LogWritten& event) {
  if (voter_.on_log_written(event)) lease_client_.renew_within(0);
}

// ---- Messages

void ConsensusNode::on_message(const std::string& from, const RaftFrame& message) {
  voter_.on_raft_frame(from, message);
}

void ConsensusNode::on_message(const std::string& from, const LeaseRequest& message) {
  leader_.on_lease_request(from, message, voters());
}

void ConsensusNode::on_message(const std::string& from, const LeaseGrant& message) {
  if (lease_client_.on_grant(from, message)) {
    voter_.on_grant(message.is_member, message.admitted_learner_id);
  }
}

void ConsensusNode::on_message(const std::string& from, const Redirect& message) {
  lease_client_.on_redirect(from, message);
}

void ConsensusNode::on_message(const std::string& from, const FetchRequest& message) {
  contents_.on_fetch_request(from, message);
}

void ConsensusNode::on_message(const std::string& from, const ContentChunk& message) {
  contents_.on_chunk(from, message);
}

void ConsensusNode::on_message(const std::string& from, const ProposeRequest& message) {
  leader_.on_propose_request(from, message);
}

void ConsensusNode::on_message(const std::string& /*from*/, const ProposeResponse& message) {
  proposals_.on_response(message);
}

void ConsensusNode::on_message(const std::string& from, const LogStatus& message) {
  voter_.on_log_status(from, message);
}

void ConsensusNode::on_message(const std::string& from, const VersionQuery& /*message*/) {
  lease_client_.on_version_query(from);
}

void ConsensusNode::on_message(const std::string& /*from*/, const VersionResponse& message) {
  lease_client_.on_version_response(message);
}

void ConsensusNode::on_message(const std::string& /*from*/, const RenewHint& /*message*/) {
  lease_client_.renew_within(0);
}

void ConsensusNode::on_message(const std::string& from, const CanaryDecision& message) {
  leader_.on_canary_decision(from, message);
}

// ---- Work that is due, and work that follows from the event

void ConsensusNode::run_due_work() {
  for (int round = 0; round < kMaxRounds; ++round) {
    run_parts_once();
    if (!context_.has_messages_to_self()) break;
    for (const auto& message : context_.take_messages_to_self()) on_event(message);
  }
  delete_unused_contents();
  lease_client_.report_changes();
}

void ConsensusNode::run_parts_once() {
  voter_.tick_raft();
  voter_.advance_start(voters());
  follow_applied_state();
  if (leader_.lead(voters())) lease_client_.renew_within(context_.settings().renew_interval);
  lease_client_.activate_target();
  lease_client_.renew_if_due(voters(), is_leader(context_.now()), voter_.learner_id_to_announce());
  lease_client_.fetch_contents(voters());
  contents_.retry_writes();
  proposals_.send_due(voters());
}

void ConsensusNode::follow_applied_state() {
  const bool is_wanted = is_wanted_voter();
  voter_.join_if_wanted(is_wanted);
  if (!voter_.raft()) return;
  lease_client_.follow_applied_state(voter_.applied_state());
  voter_.leave_if_unwanted(is_wanted);
}

// Contents are deleted only under a lease: a router that has just started does not know yet which
// versions have been accepted.
void ConsensusNode::delete_unused_contents() {
  if (contents_.size() <= kMaxStoredContents || !lease_client_.has_lease()) return;
  contents_.delete_unused([this](const std::string& digest) {
    return lease_client_.uses_digest(digest) || proposals_.uses_digest(digest);
  });
}

Time ConsensusNode::next_deadline() const {
  if (!has_started_) return std::numeric_limits<Time>::max();
  const Time next =
      std::min({lease_client_.next_deadline(), voter_.next_deadline(), leader_.next_deadline(),
                contents_.next_deadline(), proposals_.next_deadline()});
  return std::max(next, context_.now());
}

const std::vector<std::string>& ConsensusNode::voters() const {
  const auto& replicated = voter_.applied_state().voters();
  return voter_.raft() && !replicated.empty() ? replicated : lease_client_.known_voters();
}

bool ConsensusNode::is_wanted_voter() const {
  const auto& names = voters();
  return std::find(names.begin(), names.end(), context_.name()) != names.end();
}

// ---- Status

NodeStatus ConsensusNode::status(Time now) const {
  const AppliedState& state = voter_.applied_state();
  NodeStatus status;
  status.active = lease_client_.active();
  status.pending = lease_client_.pending();
  status.is_pending_accepted = lease_client_.is_pending_accepted();
  status.is_leader = is_leader(now);
  status.role = voter_.role();
  status.leader = lease_client_.leader();
  status.lease_left = lease_client_.lease_left(now);
  if (const Raft* raft = voter_.raft()) {
    status.term = raft->term();
    status.last_log_index = raft->last_index();
  }
  status.voters = voters();
  status.fault = voter_.fault();
  if (status.is_leader) {
    const Version& newest = state.pending() ? *state.pending() : state.current();
    status.routers_behind = lease_table().routers_behind(newest.number, kMaxRoutersBehind);
  }
  status.history = state.history();
  return status;
}

ContentPtr ConsensusNode::content(std::uint64_t number) const {
  const auto content_of = [&](const Version& version) -> ContentPtr {
    return version.number == number ? contents_.content(version.digest) : nullptr;
  };
  if (auto content = content_of(active().version)) return content;
  if (lease_client_.pending()) {
    if (auto content = content_of(*lease_client_.pending())) return content;
  }
  for (const auto& entry : voter_.applied_state().history()) {
    if (auto content = content_of(entry.version)) return content;
  }
  return content_of(lease_client_.target());
}

}  // namespace alderspur::consensus

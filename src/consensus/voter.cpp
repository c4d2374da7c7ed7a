#include "consensus/voter.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace alderspur::consensus {
namespace {

constexpr Time kLogStatusInterval = 300'000;
constexpr Time kMaxStartupWait = 3'000'000;        // for log statuses of the other voters
constexpr Time kResetRetryInterval = 5'000'000;    // after a failed reset of the log
constexpr Time kVoteRestrictionTime = 10'000'000;  // from the start of the Raft instance

}  // namespace

// ---- Writes

void Voter::write(std::uint64_t raft_instance, std::uint64_t raft_number, LogWrite write) {
  ++last_write_;
  pending_writes_.push_back({last_write_, raft_instance, raft_number});
  context_.add_action(WriteLog{last_write_, std::move(write)});
}

bool Voter::on_log_written(const LogWritten& event) {
  const auto found =
      std::find_if(pending_writes_.begin(), pending_writes_.end(),
                   [&](const PendingWrite& pending) { return pending.number == event.number; });
  if (found == pending_writes_.end()) return false;
  const bool is_in_order = found == pending_writes_.begin();
  const PendingWrite done = *found;
  pending_writes_.erase(found);
  if (done.raft_instance == 0) {
    if (role_ != NodeRole::learner) return false;
    is_log_reset_ = event.is_ok;
    fault_ = event.is_ok ? "" : "the empty log could not be written to the disk";
    if (!event.is_ok) retry_reset_at_ = context_.now() + kResetRetryInterval;
    return true;
  }
  if (done.raft_instance != raft_instance_ || !raft_) return false;
  if (!is_in_order) {
    // A write that the worker's queue rejects is reported before the writes queued ahead of it.
    abandon_log("the disk worker rejected a write of the log");
    return false;
  }
  raft_->on_write_done(context_.now(), done.raft_number, event.is_ok);
  if (raft_->has_failed()) abandon_log("a write of the log to the disk failed");
  return false;
}

// A voter must not continue from a log that has lost or corrupt records: without a record of its
// vote it could vote twice in one term. The leader removes its previous identity from the Raft
// configuration before the new learner is added.
void Voter::abandon_log(const std::string& reason) {
  raft_.reset();
  role_ = NodeRole::learner;
  learner_id_ = context_.random_number() | 1;
  is_log_reset_ = false;
  retry_reset_at_ = 0;
  fault_ = reason;
  context_.log("log_set_aside", reason);
  reset_log();
}

// ---- Start

void Voter::start(const Start& start, bool is_voter) {
  log_ = start.log;
  has_no_disk_ = start.has_no_disk;
  if (!is_voter) return;
  role_ = NodeRole::joining;
  started_at_ = context_.now();
  send_log_status_at_ = context_.now();
  if (start.is_log_corrupt) abandon_log("the log on the disk is corrupt or outdated");
}

LogStatus Voter::log_status_for(const std::string& peer, bool wants_reply) const {
  LogStatus status;
  status.wants_reply = wants_reply;
  if (raft_) {
    const auto acknowledged = raft_->acknowledged_by(peer);
    status.term = raft_->term();
    status.last_term = raft_->last_term();
    status.last_index = raft_->last_index();
    status.acknowledged_term = acknowledged.term;
    status.acknowledged_index = acknowledged.index;
  } else if (role_ == NodeRole::joining) {
    status.is_empty = log_.is_empty();
    status.term = log_.term;
    status.last_term = log_.last_term();
    status.last_index = log_.last_index();
  }
  return status;
}

void Voter::send_log_status(const std::vector<std::string>& voters) {
  if (context_.now() < send_log_status_at_) return;
  send_log_status_at_ = context_.now() + kLogStatusInterval;
  for (const auto& voter : voters) {
    if (voter != context_.name()) context_.send(voter, log_status_for(voter, true));
  }
}

void Voter::on_log_status(const std::string& from, const LogStatus& status) {
  if (status.wants_reply) context_.send(from, log_status_for(from, false));
  const bool is_starting = !raft_ && role_ == NodeRole::joining;
  startup_check_.add(from, status, is_starting);
  // This also covers statuses that arrive after startup, which does not wait for every voter.
  const std::uint64_t last_index = raft_ ? raft_->last_index() : log_.last_index();
  const std::uint64_t term = raft_ ? raft_->term() : log_.term;
  const bool uses_log =
      role_ == NodeRole::voter || (role_ == NodeRole::joining && !log_.is_empty());
  if (!uses_log || learner_id_ != 0 || status.wants_reply) return;
  if (status.acknowledged_index > last_index || status.acknowledged_term > term) {
    abandon_log("the log lacks an entry or a term that this voter has acknowledged to " + from);
  }
}

void Voter::advance_start(const std::vector<std::string>& voters) {
  if (role_ == NodeRole::learner) {
    if (is_log_reset_ || retry_reset_at_ == 0 || context_.now() < retry_reset_at_) return;
    retry_reset_at_ = 0;
    return reset_log();
  }
  if (role_ != NodeRole::joining) return;
  send_log_status(voters);
  const bool has_waited = context_.now() >= started_at_ + kMaxStartupWait;
  const auto result = startup_check_.decide(log_, context_.name(), voters, has_waited);
  switch (result.decision) {
    case StartupCheck::Decision::wait:
      return;
    case StartupCheck::Decision::found_cluster: {
      auto founding_voters = voters;
      std::sort(founding_voters.begin(), founding_voters.end());
      context_.log("founded",
                   "a new cluster of " + std::to_string(founding_voters.size()) + " voters");
      return begin_raft({}, founding_voters);
    }
    case StartupCheck::Decision::log_is_lost:
      return abandon_log("the log of this voter is lost, but the cluster has a log at " +
                         result.evidence);
    case StartupCheck::Decision::use_log:
      begin_raft(std::exchange(log_, {}), {});
      raft_->restrict_votes(result.vote_floor, context_.now() + kVoteRestrictionTime);
      return;
  }
}

Raft::Callbacks Voter::make_callbacks() {
  Raft::Callbacks callbacks;
  callbacks.send = [this](const std::string& to, std::string frame) {
    context_.send(to, RaftFrame{std::move(frame)});
  };
  callbacks.store = [this, instance = raft_instance_](std::uint64_t number, LogWrite log_write) {
    write(instance, number, std::move(log_write));
  };
  callbacks.apply = [this](std::string_view bytes) {
    if (const auto command = decode_command(bytes)) applied_state_.apply(*command);
  };
  callbacks.snapshot = [this] { return applied_state_.snapshot(); };
  callbacks.restore = [this](std::string_view bytes) { return applied_state_.restore(bytes); };
  return callbacks;
}

void Voter::begin_raft(PersistedLog log, const std::vector<std::string>& founding_voters) {
  role_ = NodeRole::voter;
  is_member_ = true;
  applied_state_ = AppliedState();
  fault_.clear();
  ++raft_instance_;
  const ConsensusSettings& settings = context_.settings();
  raft_ = std::make_unique<Raft>(settings.name, settings.raft, std::move(log), founding_voters,
                                 context_.random_number(), context_.now(), make_callbacks());
}

// ---- Running

void Voter::tick_raft() {
  if (raft_ && context_.now() >= raft_->next_tick()) raft_->tick(context_.now());
}

void Voter::on_raft_frame(const std::string& from, const RaftFrame& frame) {
  if (raft_) raft_->receive(context_.now(), from, frame.bytes);
}

// ---- Changes of the voters

std::uint64_t Voter::learner_id_to_announce() const {
  if (role_ == NodeRole::learner && is_log_reset_) return learner_id_;
  // The id is sent until this router is in the configuration, because the leader that admitted it
  // may have failed.
  const bool is_admitted = raft_ && raft_->has_server(context_.name());
  if (role_ == NodeRole::voter && raft_ && !is_admitted) return learner_id_;
  return 0;
}

void Voter::on_grant(bool is_member, std::uint64_t admitted_learner_id) {
  is_member_ = is_member;
  const bool is_admitted = learner_id_ != 0 && admitted_learner_id == learner_id_;
  if (role_ != NodeRole::learner || !is_log_reset_ || !is_admitted) return;
  context_.log("readmitted", "as a learner with an empty log");
  begin_raft({}, {});
}

void Voter::join_if_wanted(bool is_wanted) {
  if (role_ == NodeRole::follower && is_wanted && !has_no_disk_) {
    abandon_log("this router becomes a voter with an empty log");
  }
}

void Voter::leave_if_unwanted(bool is_wanted) {
  const bool is_in_configuration = raft_->has_server(context_.name());
  if (is_in_configuration) learner_id_ = 0;
  // A removed voter does not receive the log entry of its removal, so the leader's grants report
  // it.
  const bool was_removed = !is_in_configuration || !is_member_;
  if (is_wanted || !was_removed || role_ != NodeRole::voter) return;
  raft_.reset();
  role_ = NodeRole::follower;
  learner_id_ = 0;
  reset_log();
  context_.log("no_voter", "this router was removed from the voters");
}

Time Voter::next_deadline() const {
  Time next = std::numeric_limits<Time>::max();
  if (raft_) next = std::min(next, raft_->next_tick());
  if (role_ == NodeRole::joining) next = std::min(next, send_log_status_at_);
  if (role_ == NodeRole::learner && retry_reset_at_ > context_.now()) {
    next = std::min(next, retry_reset_at_);
  }
  return next;
}

}  // namespace alderspur::consensus

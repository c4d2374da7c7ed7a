// The part of a ConsensusNode that takes part in Raft: startup, the Raft instance, writes of log
// and vote to the disk, and the replicated state that results from the log. ConsensusNode owns one
// on every router; on a router that is not a voter it stays idle. Not thread-safe.
//
// A starting voter requests the log status of the other voters before it votes; see
// startup_check.h. A voter whose log is lost or corrupt never votes under its previous identity:
// the leader first removes it from the Raft configuration and then admits it as a learner with an
// empty log. A voter whose log is behind the log that another voter has reported does not vote for
// a candidate whose log is behind that one either, for kVoteRestrictionTime.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "consensus/applied_state.h"
#include "consensus/node_context.h"
#include "consensus/raft.h"
#include "consensus/startup_check.h"

namespace alderspur::consensus {

/// Runs the Raft instance of this router while the router is a voter. Actions are added to the
/// NodeContext, which must outlive this object.
class Voter {
 public:
  explicit Voter(NodeContext& context) : context_(context) {}

  /// Handles the start of the process. `is_voter`: whether this router is one of the voters.
  void start(const Start& start, bool is_voter);
  /// Passes a message of the Raft library to the Raft instance, if there is one.
  void on_raft_frame(const std::string& from, const RaftFrame& frame);
  /// Answers the sender if it requested a reply, and abandons this voter's log if the status proves
  /// that acknowledged entries or terms are missing from it.
  void on_log_status(const std::string& from, const LogStatus& status);
  /// Handles the result of a WriteLog action. Returns true if it was the reset of a learner's log,
  /// successful or failed; the lease should then be renewed at once to inform the leader.
  bool on_log_written(const LogWritten& event);
  /// Handles the membership fields of a lease grant; see LeaseGrant. A learner starts its Raft
  /// instance once the leader has admitted it.
  void on_grant(bool is_member, std::uint64_t admitted_learner_id);

  /// Calls Raft::tick() if it is due.
  void tick_raft();
  /// Takes the next step of the startup, or retries a learner's failed log reset when it is due.
  void advance_start(const std::vector<std::string>& voters);
  /// Makes a router without a vote a learner if it should be a voter. `is_wanted`: whether this
  /// router is in the list of voters.
  void join_if_wanted(bool is_wanted);
  /// Ends the Raft instance and resets the log of a voter that has been removed from both the list
  /// of voters and the Raft configuration. There must be a Raft instance.
  void leave_if_unwanted(bool is_wanted);

  /// Returns true if this router holds the leader lease and has applied all entries that were
  /// committed before its term.
  bool is_leader(Time now) const {
    return raft_ && raft_->has_leader_lease(now) && raft_->is_term_established();
  }
  /// Returns the Raft instance; null if this router does not take part in Raft now.
  const Raft* raft() const { return raft_.get(); }
  Raft* raft() { return raft_.get(); }
  const AppliedState& applied_state() const { return applied_state_; }
  NodeRole role() const { return role_; }
  /// Returns why this voter cannot use its log; empty if there is no fault.
  const std::string& fault() const { return fault_; }
  /// Returns the learner id to send in lease requests while this router requests to be admitted as
  /// a learner, and 0 otherwise; see LeaseRequest.
  std::uint64_t learner_id_to_announce() const;
  /// Returns the leader's name according to Raft; empty if no leader is known.
  std::string known_leader() const { return raft_ ? raft_->leader() : std::string(); }
  /// Returns the next time at which there is work to do; the maximum if there is none.
  Time next_deadline() const;

 private:
  // A WriteLog action without a result yet.
  struct PendingWrite {
    std::uint64_t number = 0;
    std::uint64_t raft_instance = 0;  // the instance that requested it; 0: a reset of the log
    std::uint64_t raft_number = 0;    // the number that this instance gave the write
  };

  void abandon_log(const std::string& reason);
  void begin_raft(PersistedLog log, const std::vector<std::string>& founding_voters);
  Raft::Callbacks make_callbacks();
  void write(std::uint64_t raft_instance, std::uint64_t raft_number, LogWrite write);
  void reset_log() { write(0, 0, ResetLog{}); }
  LogStatus log_status_for(const std::string& peer, bool wants_reply) const;
  void send_log_status(const std::vector<std::string>& voters);

  NodeContext& context_;
  NodeRole role_ = NodeRole::follower;
  std::unique_ptr<Raft> raft_;
  AppliedState applied_state_;
  std::string fault_;

  std::deque<PendingWrite> pending_writes_;
  std::uint64_t raft_instance_ = 0;
  std::uint64_t last_write_ = 0;

  PersistedLog log_;  // as loaded from the disk; moved into the Raft instance after startup
  bool has_no_disk_ = false;
  StartupCheck startup_check_;
  Time send_log_status_at_ = 0;
  Time started_at_ = 0;

  std::uint64_t learner_id_ = 0;  // 0: this router is not a learner that awaits admission
  bool is_log_reset_ = false;     // the reset of the learner's log is on the disk
  Time retry_reset_at_ = 0;       // 0: no reset has failed
  bool is_member_ = true;  // whether the Raft configuration has this router, by the last grant
};

}  // namespace alderspur::consensus

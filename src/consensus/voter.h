// A voter's log and vote: its start, its Raft instance, its writes to the disk, and the replicated
// state that the log results in. Not thread-safe.
//
// At its start a voter asks the other voters how far their logs are; see startup_check.h. With a
// lost or corrupt log it never votes as its former self: it has itself removed from the voters by
// the leader and comes back as a learner with an empty log. One whose log is behind what another
// voter has reported votes for nobody with less than that, for kVoteRestrictionTime.
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

class Voter {
 public:
  explicit Voter(NodeContext& context) : context_(context) {}

  /// `is_voter`: this router is one of the voters.
  void start(const Start& start, bool is_voter);
  void on_raft_frame(const std::string& from, const RaftFrame& frame);
  void on_log_status(const std::string& from, const LogStatus& status);
  /// True if the learner's disk was emptied, or cannot be: the leader should hear of it at once.
  bool on_log_written(const LogWritten& event);
  /// `is_member`, `admitted_learner_id`: see LeaseGrant.
  void on_grant(bool is_member, std::uint64_t admitted_learner_id);

  void tick_raft();
  /// The next step of a start, or of a learner that waits for its disk.
  void advance_start(const std::vector<std::string>& voters);
  /// A router that was made a voter begins as a learner.
  void join_if_wanted(bool is_wanted);
  /// A voter that was removed from the voters gives up its log.
  void leave_if_unwanted(bool is_wanted);

  /// True if this router leads and all that was committed before its term is applied.
  bool is_leader(Time now) const {
    return raft_ && raft_->has_leader_lease(now) && raft_->is_term_established();
  }
  const Raft* raft() const { return raft_.get(); }  // null unless it votes
  Raft* raft() { return raft_.get(); }
  const AppliedState& applied_state() const { return applied_state_; }
  NodeRole role() const { return role_; }
  const std::string& fault() const { return fault_; }  // empty: none
  /// Not 0 while this router asks to be admitted as a learner; see LeaseRequest.
  std::uint64_t learner_id_to_announce() const;
  /// The leader as this voter knows it; empty if it knows none.
  std::string known_leader() const { return raft_ ? raft_->leader() : std::string(); }
  Time next_deadline() const;  // the maximum if there is none

 private:
  struct PendingWrite {
    std::uint64_t number = 0;
    std::uint64_t raft_instance = 0;  // 0: a reset
    std::uint64_t raft_number = 0;    // as that instance counts its writes
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

  PersistedLog log_;  // until the start is over
  bool has_no_disk_ = false;
  StartupCheck startup_check_;
  Time send_log_status_at_ = 0;
  Time start_began_at_ = 0;

  std::uint64_t learner_id_ = 0;  // 0: no learner, or it has been admitted
  bool is_log_reset_ = false;     // the learner's disk is empty
  Time retry_reset_at_ = 0;       // 0: no reset has failed
  bool is_member_ = true;         // of the Raft configuration, as the leader said last
};

}  // namespace alderspur::consensus

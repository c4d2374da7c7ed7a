// A Raft server: Debian's libraft (C, with pluggable I/O) wrapped in a class that does no I/O
// itself and reads no clock. Not thread-safe.
//
// Every call gets the current time. Messages to send and writes to store are passed to the
// callbacks during the call. Writes are numbered and must be carried out in their order;
// on_write_done() reports the result of each. The library expects term and vote to be on the disk
// when its call returns. Here the call returns at once; instead, each message is held back until
// all writes before it are done ("external synchrony", Nightingale et al., OSDI 2006). Other
// servers cannot observe the difference, and the event loop does not wait for the disk. A failed
// write ends the instance, and its state must not be relied on any more.
//
// Leader lease: has_leader_lease(now) is true only while a majority of the voters has confirmed
// this leader so recently that none of them can have voted for another leader since. This relies on
// three rules. A voter does not vote until it has received no message from a leader for the
// election timeout (pre-vote and the library's own rule). Leadership is never transferred, because
// a transfer bypasses this rule. A voter that has just started does not vote until the election
// timeout has passed. The lease stays correct across a pause of the process, because times are
// compared and no timer is involved. The rates of two clocks may differ by kMaxClockDrift.
//
// Servers are identified by name; the library's ids are hashes of the names.
#pragma once

extern "C" {  // the library's header has no C++ guard
#include <raft.h>
}

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "consensus/persisted_log.h"
#include "consensus/raft_frame.h"
#include "consensus/version.h"

namespace alderspur::consensus {

/// The largest relative difference between the rates of two routers' clocks.
constexpr double kMaxClockDrift = 0.01;

/// Settings of a Raft server. Times are in microseconds.
struct RaftSettings {
  Time election_timeout = 700'000;
  Time heartbeat_interval = 100'000;
  unsigned snapshot_threshold = 256;  // entries between two snapshots
  unsigned trailing_entries = 64;     // entries kept from before a snapshot, for followers that lag
};

/// One Raft instance, from the load of its log to its end.
class Raft {
 public:
  /// The output of an instance. The functions are called during calls of this class.
  struct Callbacks {
    std::function<void(const std::string& to, std::string frame)> send;
    std::function<void(std::uint64_t number, LogWrite write)> store;
    std::function<void(std::string_view command)> apply;
    std::function<std::string()> snapshot;
    std::function<bool(std::string_view snapshot)> restore;
  };
  /// Starts the server from the stored log. `founding_voters`: the voters of a new cluster if the
  /// disks of all of them are empty; otherwise empty. Throws std::runtime_error if the library
  /// cannot be initialized.
  Raft(const std::string& name, const RaftSettings& settings, PersistedLog log,
       const std::vector<std::string>& founding_voters, std::uint64_t seed, Time now,
       Callbacks callbacks);
  ~Raft();
  Raft(const Raft&) = delete;
  Raft& operator=(const Raft&) = delete;

  /// Runs elections, heartbeats and timeouts. Must be called at next_tick().
  void tick(Time now);
  Time next_tick() const { return next_tick_; }
  /// Handles a frame of another server. An invalid frame is ignored.
  void receive(Time now, const std::string& from, std::string_view frame);
  /// Handles the result of a write. A result out of the order of the writes is ignored.
  void on_write_done(Time now, std::uint64_t number, bool is_ok);

  /// Appends a command to the log. Returns false if this server is not the leader or the library
  /// rejects the command.
  bool propose(Time now, const std::string& command);

  /// A spare is a server of the configuration that neither votes nor receives the log.
  enum class MembershipChange { add_spare, promote_to_voter, remove };
  /// Begins a change of the configuration; only one can be in progress at a time. `done` is called
  /// with true once the change is committed, or with false if it has failed. Returns false if the
  /// change could not be begun; `done` is not called then.
  bool change_membership(Time now, MembershipChange change, const std::string& server,
                         std::function<void(bool is_committed)> done);

  /// Until the given time, this server does not vote for a candidate whose log is behind `floor`,
  /// and does not become a candidate itself while its own log is behind `floor`.
  void restrict_votes(LogPosition floor, Time until) {
    vote_floor_ = floor;
    vote_floor_until_ = until;
  }

  /// The term and the committed log index that a peer has acknowledged to this server. The peer
  /// must not lose either of them.
  struct Acknowledgement {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
  };
  Acknowledgement acknowledged_by(const std::string& peer) const;

  /// Returns true while this server leads and no other server can; see the head of this file.
  bool has_leader_lease(Time now) const;
  /// Returns true if this server leads and has applied all entries committed before its term.
  bool is_term_established() const {
    return is_leader() && barrier_term_ == raft_.current_term && is_barrier_done_;
  }
  /// Returns true if this server considers itself the leader. Another server may have been elected
  /// since; see has_leader_lease().
  bool is_leader() const { return raft_.state == RAFT_LEADER; }
  /// Returns the leader's name; empty if it is not known.
  std::string leader() const;
  std::uint64_t term() const { return raft_.current_term; }
  std::uint64_t last_index() const { return raft_last_index(const_cast<raft*>(&raft_)); }
  /// Returns the term of the last log entry, or of the snapshot if the log is empty.
  std::uint64_t last_term() const;
  /// Returns true if the instance has ended after an error and must not be used any more.
  bool has_failed() const { return has_failed_; }
  /// Returns the library's role codes by server name, from the newest configuration.
  std::map<std::string, int> roles() const;
  /// Returns true if the newest configuration has this server.
  bool has_server(std::string_view name) const;

 private:
  // A write in progress, and the library's request that waits for it.
  struct PendingWrite {
    std::uint64_t number = 0;
    raft_io_append* append = nullptr;
    raft_io_snapshot_put* snapshot_put = nullptr;
  };
  // A message, or a request for the snapshot, that is held back until `after_write` is done.
  struct DeferredOutput {
    std::uint64_t after_write = 0;
    std::string to;
    std::string frame;  // empty: the message is not sent
    raft_io_send* send = nullptr;
    raft_io_snapshot_get* snapshot_get = nullptr;
  };
  struct MembershipRequest;
  struct BarrierRequest;

  static Raft& from(raft_io* io) { return *static_cast<Raft*>(io->impl); }
  static Raft& from(raft_fsm* fsm) { return *static_cast<Raft*>(fsm->data); }
  void set_lifecycle_functions();
  void set_storage_functions();
  void set_snapshot_functions();
  void set_state_machine_functions();

  void bootstrap(const std::vector<std::string>& voters);
  int record_bootstrap(const raft_configuration& configuration);
  int load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first_index,
           raft_entry** entries, std::size_t* count);
  int append(raft_io_append* request, const raft_entry* entries, unsigned count,
             raft_io_append_cb done);
  int put_snapshot(unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot& snapshot,
                   raft_io_snapshot_put_cb done);
  int send(raft_io_send* request, const raft_message& message, raft_io_send_cb done);
  std::uint64_t store(LogWrite write);
  void release_deferred_output();
  void begin_term_if_leader();

  bool is_below_vote_floor(const raft_request_vote& request) const;
  bool may_vote_on(const raft_request_vote& request) const;
  void record_acknowledgement(const std::string& peer, const raft_message& message);
  void record_leader_contact(const std::string& leader, const raft_message& message, Time sent_at);
  void record_confirmation(const std::string& peer, const LeaderContact& echo);
  Time majority_confirmed_at() const;

  const RaftSettings settings_;
  PersistedLog log_;  // cleared once the library has loaded it
  Callbacks callbacks_;
  std::mt19937_64 random_;
  Time now_ = 0;
  Time next_tick_ = 0;
  Time started_at_ = 0;

  raft raft_{};
  raft_io io_{};
  raft_fsm fsm_{};
  raft_io_tick_cb tick_callback_ = nullptr;
  raft_io_recv_cb receive_callback_ = nullptr;
  raft_io_close_cb close_callback_ = nullptr;

  std::uint64_t writes_begun_ = 0;
  std::uint64_t writes_done_ = 0;
  std::deque<PendingWrite> pending_writes_;
  std::deque<DeferredOutput> deferred_output_;
  std::optional<Snapshot> snapshot_;  // the newest one, for followers that are far behind

  std::map<std::string, LeaderContact> leader_contacts_;  // newest message accepted, by leader
  std::map<std::string, Time> confirmed_at_;              // by voter, in confirmed_term_
  std::map<std::string, Acknowledgement> acknowledged_;   // by peer
  std::uint64_t confirmed_term_ = 0;
  std::uint64_t barrier_term_ = 0;
  LogPosition vote_floor_;
  Time vote_floor_until_ = 0;
  bool has_failed_ = false;
  bool is_changing_membership_ = false;
  bool is_barrier_done_ = false;
};

}  // namespace alderspur::consensus

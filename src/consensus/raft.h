// Consensus: Debian's libraft (C, with pluggable I/O) behind values in and values out. No I/O, no
// clock. Not thread-safe.
//
// Every call is given the time; whatever is to be sent or stored comes out through the callbacks,
// during the call. Writes are numbered and must be carried out in their order; on_write_done
// reports how each went. The library wants term and vote on the disk before its call returns. Here
// the call returns at once, and instead no message leaves before all writes ahead of it are done
// ("external synchrony", Nightingale et al., OSDI 2006): nobody else can tell the difference, and
// the event loop waits for no disk. A failed write ends the instance: nothing of it may be relied
// on any more.
//
// Leadership: has_leader_lease(now) is true only while a majority of voters has confirmed this
// leader so recently that none of them can have helped to elect another. They do not vote before
// they have heard no leader for the election timeout (pre-vote and the library's rule); leadership
// is never transferred, which would break that; and a voter that has just started votes for nobody
// until the election timeout has passed. It holds across a pause of the process, because the time
// is compared and no timer is involved. Clocks may differ in rate by kMaxClockDrift.
//
// Voters are known by name; the library's ids are hashes of the names.
#pragma once

extern "C" {  // the library's header does not say so itself
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

constexpr double kMaxClockDrift = 0.01;  // difference in rate of two routers' clocks

struct RaftSettings {
  Time election_timeout = 700'000;
  Time heartbeat_interval = 100'000;
  unsigned snapshot_threshold = 256;  // entries between two snapshots
  unsigned trailing_entries = 64;     // kept behind a snapshot for followers that lag a little
};

class Raft {
 public:
  struct Callbacks {
    std::function<void(const std::string& to, std::string frame)> send;
    std::function<void(std::uint64_t number, LogWrite write)> store;
    std::function<void(std::string_view command)> apply;
    std::function<std::string()> snapshot;
    std::function<bool(std::string_view snapshot)> restore;
  };
  /// `founding_voters`: the voters of a new cluster, where all of them have empty disks; otherwise
  /// empty.
  Raft(const std::string& name, const RaftSettings& settings, PersistedLog log,
       const std::vector<std::string>& founding_voters, std::uint64_t seed, Time now,
       Callbacks callbacks);
  ~Raft();
  Raft(const Raft&) = delete;
  Raft& operator=(const Raft&) = delete;

  /// To be called at next_tick().
  void tick(Time now);
  Time next_tick() const { return next_tick_; }
  void receive(Time now, const std::string& from, std::string_view frame);
  void on_write_done(Time now, std::uint64_t number, bool is_ok);

  /// Appends a command to the log. False if this server does not lead.
  bool propose(Time now, const std::string& command);

  enum class MembershipChange { add_spare, promote_to_voter, remove };
  /// One change at a time. `done` is called once it is committed, or with false when it has failed.
  /// False if it could not be begun.
  bool change_membership(Time now, MembershipChange change, const std::string& server,
                         std::function<void(bool is_committed)> done);

  /// Until then this server neither votes for nor stands as a candidate whose log is behind
  /// `floor`.
  void restrict_votes(LogPosition floor, Time until) {
    vote_floor_ = floor;
    vote_floor_until_ = until;
  }

  /// What a peer has acknowledged to this server and must not lose: a term, and an index that is
  /// committed.
  struct Acknowledgement {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
  };
  Acknowledgement acknowledged_by(const std::string& peer) const;

  /// True while nobody else can lead; see above.
  bool has_leader_lease(Time now) const;
  /// This server leads, and all entries committed before its term are applied.
  bool is_term_established() const {
    return is_leader() && barrier_term_ == raft_.current_term && is_barrier_done_;
  }
  bool is_leader() const { return raft_.state == RAFT_LEADER; }
  /// The leader's name as known here; empty if none is known.
  std::string leader() const;
  std::uint64_t term() const { return raft_.current_term; }
  std::uint64_t last_index() const { return raft_last_index(const_cast<raft*>(&raft_)); }
  std::uint64_t last_term() const;  // of the last entry
  bool has_failed() const { return has_failed_; }
  /// The library's role by server name, from the newest configuration.
  std::map<std::string, int> roles() const;
  bool has_server(std::string_view name) const;  // in the newest configuration

 private:
  // A write that is under way, and the library's request that waits for it.
  struct PendingWrite {
    std::uint64_t number = 0;
    raft_io_append* append = nullptr;
    raft_io_snapshot_put* snapshot_put = nullptr;
  };
  // A message or a reading of the snapshot that must wait for the writes ahead of it.
  struct DeferredOutput {
    std::uint64_t after_write = 0;
    std::string to;
    std::string frame;  // empty: dropped
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
  PersistedLog log_;  // only until the library has loaded it
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
  std::optional<Snapshot> snapshot_;  // the newest, to be sent to followers

  std::map<std::string, LeaderContact> leader_contacts_;  // newest accepted, by leader
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

// Consensus: Debian's libraft (C, a pluggable I/O) behind values in and values out. No I/O, no
// clock.
//
// Each call is given the time; what is to be sent or stored comes out by the hooks, during the
// call. Stores are numbered and must be carried out in their order; `stored` says how each went.
// The library wants term and vote on the disk before its call returns; here the call returns at
// once, and instead nothing that it says to others leaves before all stores ahead of it are done
// ("external synchrony", Nightingale et al., OSDI 2006): nobody can tell the difference, and the
// loop waits for no disk. A store that failed ends the instance: nothing of it may be believed any
// more.
//
// Leading: leads(now) is true only while a majority of voters has confirmed it so lately that none
// of them can have helped to elect another (they hear no leader for `election` before they vote, by
// pre-vote and by the library's rule; leadership is never handed over by word, which would break
// that; a voter that has just started votes for nobody until that time has passed). It holds across
// a stop of the process: the time is looked at, not a timer. Clocks may differ in rate by kDrift.
//
// Voters are known by name; the library's ids are hashes of them.
#pragma once

extern "C" {  // the library's header does not say so itself
#include <raft.h>
}

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/version.h"

namespace alderspur::consensus {

constexpr double kMaxClockDrift = 0.01;

struct RaftSettings {
  Time election_timeout = 700'000, heartbeat_interval = 100'000;
  unsigned snapshot_threshold = 256, trailing_entries = 64;  // entries
};

struct LogEntry {
  std::uint64_t term = 0;
  std::uint64_t type = 0;
  std::string data;
};
struct Configuration {
  std::uint64_t index = 0;
  std::vector<std::pair<std::string, int>> servers;  // name and the library's role
};
struct Snapshot {
  std::uint64_t index = 0, term = 0;
  Configuration configuration;
  std::string data;
};
// What a disk holds.
struct PersistedLog {
  std::uint64_t term = 0, vote = 0, first_index = 1;  // start: index of the first entry
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;
  bool is_empty() const { return term == 0 && !snapshot && entries.empty(); }
  std::uint64_t last_index() const { return first_index + entries.size() - 1; }
};
struct LogWrite {
  enum class Kind { term, vote, append, truncate, snapshot, reset } kind = Kind::term;
  std::uint64_t value = 0;  // term, vote, first index appended or cut off, trailing
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;
};

class Raft {
 public:
  struct Callbacks {
    std::function<void(const std::string& to, std::string frame)> send;
    std::function<void(std::uint64_t number, LogWrite store)> store;
    std::function<void(std::string_view command)> apply;
    std::function<std::string()> snapshot;
    std::function<bool(std::string_view)> restore;
  };
  // `found`: the first voters of a new cluster, where the disk is pristine and all agree that there
  // is none.
  Raft(const std::string& name, const RaftSettings& settings, PersistedLog saved,
       const std::vector<std::string>& found, std::uint64_t seed, Time now, Callbacks hooks);
  ~Raft();
  Raft(const Raft&) = delete;
  Raft& operator=(const Raft&) = delete;

  void tick(Time now);  // when due
  Time next_tick() const { return next_; }
  void receive(Time now, const std::string& from, std::string_view frame);
  void on_write_done(Time now, std::uint64_t number, bool good);
  // False: we do not lead.
  bool propose(Time now, const std::string& command);
  // One change of the voters at a time; `done` once it is committed, or not.
  enum class MembershipChange { add_spare, promote_to_voter, remove };
  bool change_membership(Time now, MembershipChange change, const std::string& who,
                         std::function<void(bool)> done);

  // Neither votes for nor stands as one whose log is behind that, until then: term and index of an
  // entry.
  void restrict_votes(std::pair<std::uint64_t, std::uint64_t> floor, Time until) {
    floor_ = floor, until_ = until;
  }
  // What `who` has acknowledged to us and cannot lose: a term, and an index that is committed.
  std::pair<std::uint64_t, std::uint64_t> acknowledged(const std::string& who) const;
  std::uint64_t last_term() const;

  bool has_leader_lease(Time now) const;
  // We lead, and all that was ever committed before is applied.
  bool is_term_established() const {
    return is_leader() && barrier_term_ == raft_.current_term && barrier_done_;
  }
  bool is_leader() const { return raft_.state == RAFT_LEADER; }
  std::string leader() const;  // as known here; empty: none
  std::uint64_t term() const { return raft_.current_term; }
  std::uint64_t last_index() const { return raft_last_index(const_cast<raft*>(&raft_)); }
  bool failed() const { return failed_; }
  std::map<std::string, int> roles() const;      // role by name, as the newest configuration has it
  bool has_server(std::string_view name) const;  // it is among them

 private:
  struct Pending {  // a store under way, and whom it is to be told
    std::uint64_t number = 0;
    raft_io_append* append = nullptr;
    raft_io_snapshot_put* put = nullptr;
  };
  struct Held {
    std::uint64_t after = 0;  // the store that must be done
    std::string to;
    std::string frame;
    raft_io_send* request = nullptr;
    raft_io_snapshot_get* get = nullptr;
  };
  struct Heard {  // the last word of a leader that we took
    std::uint64_t term = 0;
    Time sent = 0;
  };
  static Raft& of(raft_io* io) { return *static_cast<Raft*>(io->impl); }
  void set_io();
  int load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
           raft_entry** entries, std::size_t* n);
  int send(raft_io_send* request, const raft_message& message, raft_io_send_cb done);
  std::uint64_t store(LogWrite s);
  void release();
  void begin_term();
  void confirm(const std::string& from, std::uint64_t term, Time sent);
  Time since_leading() const;
  std::string pack(const raft_message& m) const;
  bool unpack(std::string_view frame, const std::string& from, raft_message& m, Time& sent);

  const std::string name_;
  const RaftSettings set_;
  PersistedLog saved_;
  Callbacks hooks_;
  std::mt19937_64 random_;
  Time now_ = 0, next_ = 0, begun_ = 0;
  raft raft_{};
  raft_io io_{};
  raft_fsm fsm_{};
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb recv_ = nullptr;
  raft_io_close_cb closed_ = nullptr;
  std::uint64_t stores_ = 0, done_ = 0;
  std::deque<Pending> pending_;
  std::deque<Held> held_;
  std::optional<Snapshot> snapshot_;  // the newest, to be given to others
  std::map<std::string, Heard> heard_;
  std::map<std::string, Time> confirmed_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> acknowledged_;
  std::pair<std::uint64_t, std::uint64_t> floor_{0, 0};
  Time until_ = 0;
  std::uint64_t confirmed_term_ = 0, barrier_term_ = 0;
  bool failed_ = false, changing_ = false, barrier_done_ = false;
};

// The library's id of a name; never 0.
std::uint64_t raft_id_of(std::string_view name);

}  // namespace alderspur::consensus

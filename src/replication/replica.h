// What all routers of a cluster keep alike: bans by hand and purge floors. Values in, values out:
// no I/O, no clock, no thread. Use it as Membership is used; not thread-safe.
//
// News go at once to a few others, and on from each for whom they are news. Each `compare` one
// other is asked to compare: sums tell what differs, and only that is sent. So what a cut or a loss
// kept from somebody comes with the next comparisons, and whoever was away needs no tombstones:
// what a copy has seen is part of it.
//
// A copy is caught up once another said that both are the same. Where that word does not come,
// since nobody is there, those that are there know of no copies (an earlier program), or changes
// never rest, it is after `alone`, unless a large difference is still on its way.
//
// Bounds: kNewsMost floors and one difference of bans a message; kLeavesMost leaves a comparison
// and kEntriesMost floors an answer; a frame that does not fit its form reads as nothing and is
// counted.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "replication/bans.h"
#include "replication/purge_floors.h"

namespace alderspur::replication {

constexpr std::size_t kNewsMost = 512, kLeavesMost = 32, kEntriesMost = 4096;

struct ReplicaSettings {
  Author self;
  Time compare = 1'000'000, alone = 3'000'000;
  std::size_t fanout = 3;
  std::size_t floors_most = 1'000'000;
};

// ---- Events
struct Others {
  std::vector<std::string> names;  // who is there, without ourselves
};
struct Frame {
  std::string from, bytes;
};
struct Loaded {  // from the disk, before anything else: what an earlier process of this router kept
  Bans bans;
};
struct CallBan {  // by hand, here
  std::string server, cause;
  Time at = 0;
};
struct CallLift {
  std::string server;
};
struct Purged {  // heard here
  Floor floor;
};
struct Tick {};
using Event = std::variant<Others, Frame, Loaded, CallBan, CallLift, Purged, Tick>;

// ---- Actions
struct SendFrame {
  std::string to, bytes;
};
struct Bind {  // a ban that others made, or lifted
  std::string server;
  bool out = false;
};
struct Forbid {  // a purge that others heard
  Floor floor;
};
using Action = std::variant<SendFrame, Bind, Forbid>;

struct ReplicaCounts {
  std::uint64_t news = 0, compared = 0, same = 0, leaves = 0, entries = 0, refused = 0;
};

class Replica {
 public:
  Replica(ReplicaSettings settings, std::uint64_t seed);
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  Time next() const { return compare_at_; }  // when a Tick is due
  bool caught_up() const { return caught_up_; }
  const Bans& bans() const { return bans_; }
  const Floors& floors() const { return floors_; }
  const ReplicaCounts& counts() const { return counts_; }

 private:
  void on(const Others& e);
  void on(const Frame& e);
  void on(const Loaded& e) { bans_.join(e.bans); }
  void on(const CallBan& e);
  void on(const CallLift& e);
  void on(const Purged& e);
  void on(const Tick&);
  void tell(const Bans& change, const std::string& but);
  void news(const std::string& bytes, const std::string& but);
  void send(const std::string& to, std::string bytes);
  void compare(const std::string& with);
  void answer_sums(const std::string& from, std::uint64_t bans, Time all,
                   const std::array<std::uint64_t, kRanges>& theirs);
  void take_bans(const std::string& from, const Bans& theirs, bool whole);
  bool take(const Floor& f);
  std::string floors_frame(const std::vector<Floor>& floors,
                           const std::vector<std::size_t>& wanted) const;

  const ReplicaSettings set_;
  std::mt19937_64 random_;
  Time now_ = 0, compare_at_ = 0, began_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::vector<std::string> others_;
  Bans bans_;
  Floors floors_;
  bool caught_up_ = false, more_ = false;  // the last answer was as large as one may be
  ReplicaCounts counts_;
};

}  // namespace alderspur::replication

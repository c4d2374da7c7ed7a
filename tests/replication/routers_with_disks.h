// Simulates routers that replicate bans and store them on disks, on a network with its own clock.
// Processes end in order or crash, disks hang, are lost or come back with an outdated file, and
// frames are lost, doubled or late. A model that forgets nothing observes all of it.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "replication/simulated_replicas.h"
#include "replication/stored_bans.h"

namespace simulation {

using alderspur::replication::Ban;
using alderspur::replication::decode_stored_bans;
using alderspur::replication::Dot;
using alderspur::replication::encode_final_bans;

constexpr Time kMillisecond = 1'000;

/// The disk of one router.
struct Disk {
  std::optional<std::string> bans;
  std::vector<std::string> earlier_bans;  // former contents of the file
  std::optional<std::uint64_t> epoch;     // of the last start
  bool is_hanging = false;

  void write_bans(const std::string& payload) {
    if (bans) earlier_bans.push_back(*bans);
    bans = payload;
  }
  /// Returns the stored set as any process reads it.
  BanSet stored() const { return bans ? BanSet::decode(*bans).value_or(BanSet()) : BanSet(); }
};

/// A write of the file that is under way.
struct Save {
  std::string payload;
  std::uint64_t digest = 0;
  Time done_at = 0;
};

/// One router: its disk, and its process if it runs.
struct Router {
  std::unique_ptr<Replica> replica;  // null while no process runs
  Disk disk;
  std::uint64_t epoch = 0;
  bool has_earlier_form = false;  // the program does not know last own changes
  std::optional<Save> save;
  std::uint64_t saved_digest = 0;
  std::set<Dot> seen_lifted;  // by this process, and by earlier ones that ended in order
};

/// What the model knows about one ban.
struct KnownBan {
  Ban ban;
  bool is_lifted = false;
  // Every copy that held the ban has been lost, or every copy that knew of its lift.
  bool is_lost = false;
};

/// The routers, their network and the model.
class RoutersWithDisks {
 public:
  RoutersWithDisks(std::uint64_t seed, std::size_t size) : random_(seed), routers_(size) {
    for (std::size_t i = 0; i < size; ++i) start(i);
  }

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  std::size_t size() const { return routers_.size(); }
  bool is_running(std::size_t i) const { return routers_[i].replica != nullptr; }

  // ---- Processes and disks

  void start(std::size_t i, bool has_earlier_form = false) {
    Router& router = routers_[i];
    router.disk.is_hanging = false;
    const auto previous = std::exchange(router.disk.epoch, next_epoch(router.disk));
    router.epoch = *router.disk.epoch;
    router.has_earlier_form = has_earlier_form;
    router.saved_digest = 0;
    if (has_earlier_form) ++unknown_ends_;
    ReplicaSettings settings;
    settings.self = {replica_name(i), router.epoch};
    router.replica = std::make_unique<Replica>(settings, random_());
    deliver(i, BansLoaded{load(router, previous)});
    announce_peers();
  }
  /// The process ends without a last write. A write that is under way may reach the disk.
  void crash(std::size_t i) {
    Router& router = routers_[i];
    if (router.save && !router.disk.is_hanging && draw(2) == 0) {
      router.disk.write_bans(router.save->payload);
    }
    stop(router);
    router.seen_lifted.clear();
    ++unknown_ends_;
  }
  void end_in_order(std::size_t i) {
    Router& router = routers_[i];
    if (router.disk.is_hanging || router.has_earlier_form) return crash(i);
    router.disk.write_bans(encode_final_bans(router.replica->bans(), router.epoch));
    stop(router);
  }
  /// Only while no process runs.
  void lose_disk(std::size_t i) {
    routers_[i].disk = {};
    forget(routers_[i]);
  }
  /// Only while no process runs. The file with the epoch is not affected.
  void restore_earlier_file(std::size_t i) {
    Disk& disk = routers_[i].disk;
    if (disk.earlier_bans.empty()) return;
    disk.bans = disk.earlier_bans[draw(disk.earlier_bans.size())];
    forget(routers_[i]);
  }
  void hang_disk(std::size_t i, bool hangs) { routers_[i].disk.is_hanging = hangs; }

  // ---- Changes and links

  void ban(std::size_t i, const std::string& server) {
    deliver(i, BanRequested{server, "ban " + std::to_string(++ban_count_), now_});
  }
  void lift(std::size_t i, const std::string& server) {
    for (const auto& [dot, ban] : routers_[i].replica->bans().bans()) {
      if (ban.server == server) known_[dot].is_lifted = true;
    }
    deliver(i, LiftRequested{server});
  }
  void cut_at_random() {
    for (std::size_t i = 0; i < size(); ++i) side_[i] = draw(2);
  }
  void heal() { side_.clear(); }
  void end_faults() {
    heal();
    has_faulty_links_ = false;
    for (std::size_t i = 0; i < size(); ++i) {
      hang_disk(i, false);
      if (!is_running(i)) start(i);
    }
  }

  // ---- Time

  void run(Time duration) {
    const Time end = now_ + duration;
    for (Time next = next_event(); next <= end; next = next_event()) {
      now_ = std::max(now_, next);
      deliver_due_frame();
      for (std::size_t i = 0; i < size(); ++i) {
        finish_due_save(i);
        if (is_running(i) && routers_[i].replica->next_tick() <= now_) deliver(i, Tick{});
      }
    }
    now_ = end;
  }
  bool run_until_equal(Time timeout) {
    for (const Time end = now_ + timeout; now_ < end && !all_equal();) run(100 * kMillisecond);
    return all_equal();
  }

  // ---- Checks

  bool all_equal() const {
    return std::all_of(routers_.begin(), routers_.end(), [&](const Router& router) {
      return router.replica && router.replica->bans() == routers_[0].replica->bans();
    });
  }
  /// Checks that the copies, which must be equal, contain what the model says.
  void expect_equal_to_model() const {
    const BanSet& bans = routers_[0].replica->bans();
    for (const auto& [dot, known] : known_) {
      if (known.is_lost) continue;
      EXPECT_EQ(bans.bans().contains(dot), !known.is_lifted)
          << known.ban.cause << " of " << known.ban.server << " by " << dot.author.name << " "
          << dot.author.epoch << " " << dot.sequence;
    }
    EXPECT_LE(bans.context().contiguous().size(), size() + unknown_ends_)
        << "a router that always ends in order needs one author";
  }

 private:
  std::uint64_t next_epoch(const Disk& disk) const {
    return std::max(disk.epoch.value_or(0) + 1, static_cast<std::uint64_t>(now_));
  }
  static BanSet load(const Router& router, std::optional<std::uint64_t> previous_epoch) {
    if (!router.disk.bans) return {};
    if (router.has_earlier_form) return router.disk.stored();
    return decode_stored_bans(*router.disk.bans, previous_epoch).value_or(BanSet());
  }
  void stop(Router& router) {
    router.replica.reset();
    router.save.reset();
    announce_peers();
    note_losses();
  }
  void forget(Router& router) {
    router.seen_lifted.clear();
    ++unknown_ends_;
    note_losses();
  }

  void announce_peers() {
    for (std::size_t i = 0; i < size(); ++i) {
      PeersChanged peers;
      for (std::size_t other = 0; other < size(); ++other) {
        if (other != i && is_running(other)) peers.names.push_back(replica_name(other));
      }
      if (is_running(i)) deliver(i, peers);
    }
  }
  void deliver(std::size_t i, const Event& event) {
    Router& router = routers_[i];
    if (!router.replica) return;
    std::vector<Action> actions;
    router.replica->handle(now_, event, actions);
    observe(i);
    for (const auto& action : actions) {
      if (const auto* frame = std::get_if<SendFrame>(&action)) send(i, *frame);
    }
    begin_save(router);
  }
  // Frames are lost, doubled or up to two seconds late.
  void send(std::size_t from, const SendFrame& frame) {
    const std::size_t to = std::stoul(frame.to.substr(1));
    if (side_[from] != side_[to]) return;
    const auto fault = has_faulty_links_ ? draw(20) : 20;
    if (fault < 2) return;
    for (int copy = fault < 4 ? 2 : 1; copy > 0; --copy) {
      const Time delay = fault >= 4 && fault < 6 ? static_cast<Time>(draw(2'000)) * kMillisecond
                                                 : 500 + static_cast<Time>(draw(4'000));
      in_flight_.emplace(now_ + delay,
                         std::pair(to, FrameReceived{replica_name(from), frame.bytes}));
    }
  }
  void deliver_due_frame() {
    if (in_flight_.empty() || in_flight_.begin()->first > now_) return;
    const auto [to, frame] = in_flight_.begin()->second;
    in_flight_.erase(in_flight_.begin());
    deliver(to, frame);
  }

  void begin_save(Router& router) {
    const auto digest = router.replica->bans().digest();
    if (router.save || digest == router.saved_digest) return;
    const Time duration = static_cast<Time>(1 + draw(20)) * kMillisecond;
    router.save = Save{router.replica->bans().encode(), digest, now_ + duration};
  }
  bool is_save_due(const Router& router) const {
    return router.save && !router.disk.is_hanging && router.save->done_at <= now_;
  }
  void finish_due_save(std::size_t i) {
    Router& router = routers_[i];
    if (!is_save_due(router)) return;
    router.disk.write_bans(router.save->payload);
    router.saved_digest = router.save->digest;
    router.save.reset();
    begin_save(router);
  }
  Time next_event() const {
    Time next = in_flight_.empty() ? now_ + kSecond : in_flight_.begin()->first;
    for (const auto& router : routers_) {
      if (router.replica) next = std::min(next, router.replica->next_tick());
      if (router.save && !router.disk.is_hanging) next = std::min(next, router.save->done_at);
    }
    return next;
  }

  // Tells the model what one copy shows, and checks that no lifted ban is in effect again.
  void observe(std::size_t i) {
    Router& router = routers_[i];
    const BanSet& bans = router.replica->bans();
    for (const auto& [dot, ban] : bans.bans()) {
      const auto [known, is_new] = known_.try_emplace(dot, KnownBan{ban});
      EXPECT_EQ(known->second.ban, ban) << "two changes must not have the same dot";
      EXPECT_FALSE(router.seen_lifted.contains(dot)) << ban.cause << " is in effect again";
    }
    for (const auto& [dot, known] : known_) {
      if (knows_lift(bans, dot)) router.seen_lifted.insert(dot);
    }
  }
  static bool knows_lift(const BanSet& bans, const Dot& dot) {
    return bans.context().contains(dot) && !bans.bans().contains(dot);
  }
  // Marks the bans that no copy holds any more, and the lifts that no copy knows any more.
  void note_losses() {
    std::vector<BanSet> copies;
    for (const auto& router : routers_) {
      if (router.replica) copies.push_back(router.replica->bans());
      copies.push_back(router.disk.stored());
    }
    for (auto& entry : known_) {
      const bool is_known = std::any_of(copies.begin(), copies.end(), [&](const BanSet& copy) {
        return entry.second.is_lifted ? knows_lift(copy, entry.first)
                                      : copy.bans().contains(entry.first);
      });
      entry.second.is_lost = entry.second.is_lost || !is_known;
    }
  }

  std::mt19937_64 random_;
  std::vector<Router> routers_;
  std::map<std::size_t, std::uint64_t> side_;  // of a partition; empty: no partition
  bool has_faulty_links_ = true;
  std::multimap<Time, std::pair<std::size_t, FrameReceived>> in_flight_;
  std::map<Dot, KnownBan> known_;
  std::uint64_t ban_count_ = 0;
  std::uint64_t unknown_ends_ = 0;  // processes and disks whose last dots no file contains
  Time now_ = 1'000'000'000;
};

}  // namespace simulation

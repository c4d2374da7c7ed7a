// This process beside others of the same router: the one it replaces, or the one that replaces it.
//
// Its worker looks into the shared folder every kLook and hands over what it found; the loop never
// waits for the disk, but for one bounded moment at the start, before it listens (kBegin): the bans
// must bind the first send, and a process that is there must have made room in the cold budgets
// first.
//
// How the budgets hold: each process holds a share of what the router may do and says it in its
// place. It lowers it at once and says so afterwards; it raises it only into what the others' words
// leave free, and acts on that after it has said it. So the sum over all never passes 1, whoever
// stalls or is killed in between. What is wanted follows the requests that each takes. A new one
// starts with nothing and takes clients once all others have counted it, or after kKnown.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/deadlines.h"
#include "file_watch/worker.h"
#include "hot_restart/ban_store.h"
#include "hot_restart/shared_directory.h"
#include "net/wakeup.h"

namespace alderspur::hot_restart {

constexpr core::Time kLook = 150'000, kKnown = 700'000, kBegin = 1'500'000;

class HotRestartCoordinator {
 public:
  using Say = std::function<void(const std::string& event, const std::string& text)>;
  struct Load {
    std::uint64_t taken = 0;  // requests, since the start
    double door = 0;          // see module::Twins
  };
  struct Hooks {
    std::function<Load()> load;
    std::function<void(const BanChange&)> ban;  // what is in force has changed
    std::function<void(const PeerSummary&, double share)>
        others;  // as is who else is there, or our share
  };
  // `folder` empty: bans are this process's own and nobody else is known of.
  HotRestartCoordinator(net::Loop& loop, core::Deadlines& deadlines,
                        std::function<core::Time()> now, const std::string& folder,
                        std::string_view key, Say say, Hooks hooks);
  ~HotRestartCoordinator();

  void serving();  // clients are taken from now on
  // Clients are taken and this is on its way to the others; without a folder, at once.
  bool said() const { return said_; }
  void leaving();  // a planned end has begun: looks at once who comes after
  // At the end: false where the disk hangs, and the process must go without its worker.
  bool settle();
  const PeerSummary& others() const { return others_; }
  double share() const { return word_.share; }

  // A call by hand. `done`: empty, or why it is not on the disk; it binds here all the same.
  void change(const BanChange& change, std::function<void(const std::string& error)> done);
  const std::set<std::string>& bans() const {
    return book_.list().names;
  }  // as they were last read
  bool banned(const std::string& name) const { return book_.in_force(name); }
  bool on_disk(const std::string& name) const { return book_.settled(name); }
  bool full() const { return book_.full(); }  // no further change is taken now

 private:
  struct Looked {
    PeerSummary others;
    ProcessStatus word;  // as it was said
    SharedDirectory::Read read;
    std::string error;
  };
  void begin();
  void arm();
  void look();
  void take(const Looked& looked);
  double wanted() const;
  void measure();
  void complain(const std::string& error);
  void apply();
  void save(const BanChange& change, std::function<void(const std::string& error)> done);

  core::Deadlines& deadlines_;
  std::function<core::Time()> now_;
  Say say_;
  Hooks hooks_;
  std::shared_ptr<SharedDirectory> folder_;  // used on the worker's thread only
  BanStore book_;
  PeerSummary others_;
  ProcessStatus word_;
  double rate_ = 0;
  std::uint64_t taken_ = 0;
  core::Time measured_ = 0;
  bool said_ = true, looking_ = false;
  std::string last_error_;
  core::Deadlines::Key next_{};
  std::unique_ptr<net::Wakeup> wakeup_;
  std::unique_ptr<file_watch::Worker> worker_;  // last: its jobs use what stands above
};

}  // namespace alderspur::hot_restart

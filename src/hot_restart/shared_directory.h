// The folder that the processes of one router share, one of which may be replacing the other
// ($TMPDIR).
//
// In it, under the router's key (its clients' address): `.bans.a` and `.bans.b`, written in turn,
// each replaced whole, synced and checked when read, so that one spoilt file loses no ban; `.lock`,
// under which the list of bans is changed; and four places `.place0` to `.place3`, one held by each
// process through a lock that ends with it however it ends. A place's text is what its process says
// of itself.
//
// Everything here may block on the disk: for a worker's thread, never the loop's. Errors are texts.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "hot_restart/ban_store.h"
#include "net/connection.h"

namespace alderspur::hot_restart {

enum class Phase { starting, serving, leaving };

// What a process says of itself in its place.
struct ProcessStatus {
  Phase phase = Phase::starting;
  std::uint32_t counted = 0;  // others it knows of
  double share = 0;           // of the router, that it holds
  double rate = 0;            // requests a second that it takes
  double door = 0;            // see module::Twins
};
// What the others that are alive say.
struct PeerSummary {
  std::uint32_t count = 0;
  bool successor = false;  // one that came after us takes clients
  bool all_know_us =
      true;  // each has counted at least one other: ours is the only one there can be
  double share = 0, rate = 0, door = 0;  // together; the largest door
};

class SharedDirectory {
 public:
  // `path`/alderspur-`key`.* are ours.
  SharedDirectory(std::string path, std::string_view key);

  // Takes a free place. Empty: done.
  std::string enter();
  // Says how this process stands; takes a place first where none is held. Empty: done.
  std::string say(const ProcessStatus& word);
  PeerSummary others();
  // Raises the share in `word`, as far as the others' leave room for it, and says so.
  std::string raise(ProcessStatus& word, double wanted);

  struct Read {
    Bans bans;
    std::string error;  // what was found spoilt, if anything
  };
  Read read_bans() const;
  struct Changed {
    Bans bans;
    std::string error;  // not empty: the change is not on the disk
  };
  // Under the lock: what is newer of the disk's list and `mine`, with the change; written and
  // synced.
  Changed change(const Bans& mine, const BanChange& change);
  // Where the disk's list is older than `mine`, or spoilt: writes mine again.
  std::string restore(const Bans& mine);

 private:
  std::string file(std::string_view what) const { return base_ + std::string(what); }
  std::string write(const Bans& bans);
  const std::string base_;
  net::Fd place_;
  std::int64_t order_ = 0;  // of entering, in microseconds of the machine's uptime
  int number_ = -1;
};

}  // namespace alderspur::hot_restart

// What the decisions remember of servers, objects and requests.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "alderspur/router.h"
#include "routing_state/estimators.h"

namespace alderspur {

struct Node {
  Server at;
  Window load, work, errors, answers;  // bytes (or requests), sending seconds, for health
  int streak = 0, ejections = 0, out = 0;
  Time blocked_until = 0, last_answer = -1;
  bool on_trial = false, was_silent = false, probing = false, proved = false;
  Time probed_at = 0, idle_until = 0, reset_at = 0;
  Time answered_at = 0;  // an attempt, last
  Time due = 0;  // the first answer of those out: a large one in one piece is no silence before
  Time silent_from = 0;             // nothing was heard from then on
  int unheard = 0;                  // probes failed in a row
  double work_out = 0;              // sending seconds of the attempts out
  bool cold = false, told = false;  // told: by the list; else only suspected after silence
  bool banned = false;              // by hand
  Time cold_since = 0, tokens_at = 0;
  double tokens = 0;
  bool ready() const { return at.status == ServerStatus::ready && !banned; }
};

struct Member {
  ServerId id;
  Window served, sent, count;
  Time joined = 0;
};
struct Object {
  Time last = 0, widened = 0,
       warm_at = 0;         // last request, last widening, last time above shrinking
  Time fetched = 0;         // when a part last came from the source
  std::uint64_t parts = 0;  // which parts have been asked for, as bits
  bool repeated = false;
  std::size_t width = 1;
  std::vector<Member> members;
};
struct Attempt {
  ServerId server, source;
  LocationId location;
  CellId cell;
  Time sent = 0;
  double work = 0;  // its sending seconds
  bool filling = false, charged = false,
       fetching = false;  // has a source; a cold one; may wait for the origin
  bool out = true, never_ran = false;
};
struct Life {
  Request q;
  Time deadline = 0;
  bool open = true, unseen = true, begun = false, stale_ok = false;
  std::vector<Attempt> attempts;
  std::vector<ServerId> bad_sources;
  ServerId suspect,
      asked_again;  // a source that may have failed; the cache that is asked once more without
};
struct Learned {         // of a class
  Mean size, hit, pace;  // KB; seconds of hits; elapsed over usual time
};
enum class Wake { sweep, look, deadline, ask };
using Timer = std::pair<Wake, RequestId>;
using Purged = std::pair<bool, std::uint64_t>;  // an object, else a group
struct IdHash {
  template <class T>
  std::size_t operator()(const T& id) const {
    return mix(id.value);
  }
};

}  // namespace alderspur

// Route flap damping for servers: one that comes and goes earns a penalty that decays, and is held
// out of service while the penalty is high.
//
// Source: RFC 2439, with its figure of merit, half-life, cut-off (suppress) and reuse thresholds,
// and its bound on the time that one may be held out. A penalty is a number without unit; 1000 for
// each departure, as there. Times are microseconds of any one clock. Pure arithmetic; state is one
// Flaps a server.
#pragma once

#include <cstdint>

#include "core/deadlines.h"

namespace alderspur::endpoints {

using core::Time;

struct DampingSettings {
  bool on = true;
  double departure = 1000;  // added when one leaves service
  double suppress = 2500;   // held out from here on
  double reuse = 800;       // and taken back below this
  Time half_life = 15'000'000;
  Time longest = 60'000'000;  // nobody is held out for longer after its last departure
};

class FlapDamping {
 public:
  void left(Time now, const DampingSettings& s);
  // Whether it is held out now; ends the holding out where the penalty has decayed.
  bool held(Time now, const DampingSettings& s);
  double penalty(Time now, const DampingSettings& s) const;
  // When held() turns false by itself; `now` where it is not held.
  Time free_at(Time now, const DampingSettings& s) const;
  // Nothing is left worth remembering.
  bool calm(Time now, const DampingSettings& s) const {
    return !held_ && penalty(now, s) < s.reuse / 8;
  }

  void release() { held_ = false; }  // needed in service for another reason; the penalty stays
  void restore(double penalty, Time at, bool held) { penalty_ = penalty, at_ = at, held_ = held; }
  bool held_flag() const { return held_; }

 private:
  double penalty_ = 0;
  Time at_ = 0;  // when penalty_ was reckoned
  bool held_ = false;
};

}  // namespace alderspur::endpoints

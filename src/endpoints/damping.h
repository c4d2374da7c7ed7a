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
  bool is_enabled = true;
  double departure_penalty = 1000;   // added when one leaves service
  double suppress_threshold = 2500;  // held out from here on
  double reuse_threshold = 800;      // and taken back below this
  Time half_life = 15'000'000;
  Time max_suppress_time = 60'000'000;  // nobody is held out for longer after its last departure
};

class FlapDamping {
 public:
  void record_departure(Time now, const DampingSettings& s);
  // Whether it is held out now; ends the holding out where the penalty has decayed.
  bool update_suppressed(Time now, const DampingSettings& s);
  double penalty(Time now, const DampingSettings& s) const;
  // When held() turns false by itself; `now` where it is not held.
  Time reuse_time(Time now, const DampingSettings& s) const;
  // Nothing is left worth remembering.
  bool is_negligible(Time now, const DampingSettings& s) const {
    return !held_ && penalty(now, s) < s.reuse_threshold / 8;
  }

  void end_suppression() {
    held_ = false;
  }  // needed in service for another reason; the penalty stays
  void restore(double penalty, Time at, bool held) { penalty_ = penalty, at_ = at, held_ = held; }
  bool is_suppressed() const { return held_; }

 private:
  double penalty_ = 0;
  Time at_ = 0;  // when penalty_ was reckoned
  bool held_ = false;
};

}  // namespace alderspur::endpoints

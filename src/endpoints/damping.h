// Route flap damping for servers: a server that repeatedly leaves service accumulates a penalty
// that decays exponentially, and is kept out of service while the penalty is high.
//
// The algorithm follows RFC 2439: figure of merit (the penalty), half-life, cutoff (suppress) and
// reuse thresholds, and an upper bound on the suppression time. A penalty has no unit. Times are
// microseconds of any one clock. No I/O, and no clock is read. There is one
// FlapDamping per server; it is not thread-safe.
#pragma once

#include "core/deadlines.h"

namespace alderspur::endpoints {

using core::Time;

/// Parameters of flap damping. Times are in microseconds.
struct DampingSettings {
  bool is_enabled = true;
  double departure_penalty = 1000;   // added when a server leaves service
  double suppress_threshold = 2500;  // suppressed at or above this penalty
  double reuse_threshold = 800;      // reinstated at or below this penalty
  Time half_life = 15'000'000;
  Time max_suppress_time = 60'000'000;  // counted from the last departure
};

/// The damping state of one server.
class FlapDamping {
 public:
  /// Adds the penalty for a server that has left service. Does nothing if damping is disabled.
  void record_departure(Time now, const DampingSettings& settings);
  /// Ends the suppression if the penalty has decayed, then reports whether the server is
  /// suppressed.
  bool update_suppressed(Time now, const DampingSettings& settings);
  /// Returns the penalty, decayed to the time `now`.
  double penalty(Time now, const DampingSettings& settings) const;
  /// Returns the time at which the suppression ends by itself, or `now` if the server is not
  /// suppressed.
  Time reuse_time(Time now, const DampingSettings& settings) const;
  /// Reports whether the server is not suppressed and its penalty is so low that the state can be
  /// discarded.
  bool is_negligible(Time now, const DampingSettings& settings) const;

  /// Ends the suppression because the server is needed in service. The penalty is kept.
  void end_suppression() { is_suppressed_ = false; }
  /// Restores a state that an earlier process stored.
  void restore(double penalty, Time penalty_at, bool is_suppressed);
  /// Returns the result of the last update, without ending a suppression that is over.
  bool is_suppressed() const { return is_suppressed_; }

 private:
  double penalty_ = 0;  // the value at the time penalty_at_
  Time penalty_at_ = 0;
  bool is_suppressed_ = false;
};

}  // namespace alderspur::endpoints

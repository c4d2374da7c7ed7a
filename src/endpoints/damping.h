// Route flap damping for servers: a server that repeatedly leaves service gets a penalty that
// decays with time, and is kept out of service while the penalty is high.
//
// After RFC 2439: its figure of merit, half-life, cutoff (suppress) and reuse thresholds, and its
// bound on the time of suppression. A penalty is a number without unit. Times are microseconds of
// any one clock. Pure arithmetic; the state is one FlapDamping per server.
#pragma once

#include "core/deadlines.h"

namespace alderspur::endpoints {

using core::Time;

/// Times in microseconds.
struct DampingSettings {
  bool is_enabled = true;
  double departure_penalty = 1000;   // added when a server leaves service
  double suppress_threshold = 2500;  // suppressed from this penalty on
  double reuse_threshold = 800;      // reinstated below this penalty
  Time half_life = 15'000'000;
  Time max_suppress_time = 60'000'000;  // since the last departure
};

/// The damping of one server.
class FlapDamping {
 public:
  /// The server has left service.
  void record_departure(Time now, const DampingSettings& settings);
  /// Whether the server is suppressed now; ends the suppression once the penalty has decayed.
  bool update_suppressed(Time now, const DampingSettings& settings);
  double penalty(Time now, const DampingSettings& settings) const;
  /// When the suppression ends by itself; `now` if the server is not suppressed.
  Time reuse_time(Time now, const DampingSettings& settings) const;
  /// Whether the state is no longer worth keeping.
  bool is_negligible(Time now, const DampingSettings& settings) const;

  /// Ends the suppression because the server is needed in service; the penalty stays.
  void end_suppression() { is_suppressed_ = false; }
  /// Continues from a state that an earlier process has stored.
  void restore(double penalty, Time penalty_at, bool is_suppressed);
  /// As of the last update.
  bool is_suppressed() const { return is_suppressed_; }

 private:
  double penalty_ = 0;  // as of penalty_at_
  Time penalty_at_ = 0;
  bool is_suppressed_ = false;
};

}  // namespace alderspur::endpoints

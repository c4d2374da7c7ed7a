// Log lines about input that cannot be used: one line a kind in ten seconds, so that a flood of it
// costs neither the log nor the loop. No I/O of its own; the loop's thread only.
//
// A line says how many of its kind were suppressed since the one before. Foreign text in it is cut
// to 80 characters, and whatever does not print is shown as a dot. What clients send is never
// quoted.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/deadlines.h"

namespace alderspur::core {

enum class InvalidInput { watch_event, address, response, frame, request, connections };
constexpr std::size_t kInvalidInputKinds = static_cast<std::size_t>(InvalidInput::connections) + 1;

class RateLimitedLog {
 public:
  using Sink = std::function<void(const std::string& event, const std::string& text)>;
  void set_sink(Sink sink) { sink_ = std::move(sink); }
  /// `quote`: what arrived, or whom it is about; empty: nothing to show.
  void report(InvalidInput kind, Time now, std::string_view quote = {});

 private:
  struct KindState {
    Time next_line_at = 0;  // no line before
    std::uint64_t suppressed = 0;
  };
  Sink sink_;
  std::array<KindState, kInvalidInputKinds> kinds_{};
};

}  // namespace alderspur::core

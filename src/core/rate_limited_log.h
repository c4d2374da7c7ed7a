// Log lines about invalid input: at most one line of each kind in ten seconds, so that a flood of
// it fills neither the log nor the loop. No I/O of its own; the loop's thread only.
//
// A line states how many of its kind were suppressed since the one before. Text from outside is cut
// to 80 characters, and characters that are not printable are shown as dots. What clients send is
// never quoted.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/deadlines.h"

namespace alderspur::core {

/// What was invalid.
enum class InvalidInput { watch_event, address, response, frame, request, connections };
constexpr std::size_t kInvalidInputKinds = static_cast<std::size_t>(InvalidInput::connections) + 1;

/// Counts and logs invalid input.
class RateLimitedLog {
 public:
  /// Receives each line with the name of its log event.
  using Sink = std::function<void(const std::string& event, const std::string& text)>;
  /// Nothing is logged before; reports are counted as suppressed.
  void set_sink(Sink sink) { sink_ = std::move(sink); }
  /// `quote`: what arrived, or the name of the sender; empty: nothing is shown.
  void report(InvalidInput kind, Time now, std::string_view quote = {});

 private:
  struct KindState {
    Time next_line_at = 0;  // no line is logged before
    std::uint64_t suppressed = 0;
  };
  Sink sink_;
  std::array<KindState, kInvalidInputKinds> kinds_{};
};

}  // namespace alderspur::core

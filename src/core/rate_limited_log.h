// Rate-limited log lines about invalid input: at most one line of each kind in ten seconds, so that
// a flood of invalid input neither fills the log nor occupies the event loop. The log does no I/O
// itself but passes each line to a sink. Use it from the event loop's thread only.
//
// Each line states how many reports of its kind were suppressed since the previous line. Quoted
// input is truncated to 80 characters, and unprintable characters are replaced with dots. Input
// from clients is never quoted.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/deadlines.h"

namespace alderspur::core {

/// The kinds of reports. `connections` means that the limit on client connections is reached.
enum class InvalidInput { watch_event, address, response, frame, request, connections };
constexpr std::size_t kInvalidInputKinds = static_cast<std::size_t>(InvalidInput::connections) + 1;

/// Logs reports of invalid input, and counts those that are suppressed.
class RateLimitedLog {
 public:
  /// Receives the name of the log event and the text of each line.
  using Sink = std::function<void(const std::string& event, const std::string& text)>;
  /// Sets the receiver of the lines. Reports before this call are counted as suppressed.
  void set_sink(Sink sink) { sink_ = std::move(sink); }
  /// Reports one invalid input. `quote` is the input or the name of its sender, which is appended
  /// to the line; if it is empty, nothing is appended.
  void report(InvalidInput kind, Time now, std::string_view quote = {});

 private:
  struct KindState {
    Time next_line_at = 0;  // no line is logged before this time
    std::uint64_t suppressed = 0;
  };
  Sink sink_;
  std::array<KindState, kInvalidInputKinds> kinds_{};
};

}  // namespace alderspur::core

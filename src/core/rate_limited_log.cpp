#include "core/rate_limited_log.h"

#include <algorithm>

namespace alderspur::core {
namespace {

/// Minimum time between two lines of the same kind, in microseconds.
constexpr Time kLineInterval = 10'000'000;
constexpr std::size_t kMaxQuoteLength = 80;

struct EventText {
  const char* event;
  const char* text;
};
/// Indexed by InvalidInput.
constexpr std::array<EventText, kInvalidInputKinds> kEvents = {{
    {"invalid_watch_event",
     "a watch event cannot be parsed and is ignored; the current endpoint list stays in use"},
    {"invalid_address",
     "a server's new address is invalid; its last valid address, if any, stays in use"},
    {"invalid_response",
     "a server's response is malformed or unexpected; its connection is closed"},
    {"invalid_frame", "a client's message is malformed; its connection is closed"},
    {"invalid_request",
     "a client's request has missing or invalid fields and is answered as failed"},
    {"out_of_connections",
     "the connection limit is reached; new clients wait until other connections close"},
}};

// Returns the first kMaxQuoteLength characters, with unprintable ones replaced by dots.
std::string to_printable(std::string_view text) {
  std::string quote(text.substr(0, kMaxQuoteLength));
  std::ranges::replace_if(
      quote, [](char c) { return c < ' ' || c > '~'; }, '.');
  return quote;
}

}  // namespace

void RateLimitedLog::report(InvalidInput kind, Time now, std::string_view quote) {
  const auto index = static_cast<std::size_t>(kind);
  KindState& state = kinds_[index];
  if (!sink_ || now < state.next_line_at) {
    ++state.suppressed;
    return;
  }
  state.next_line_at = now + kLineInterval;
  std::string text = kEvents[index].text;
  if (!quote.empty()) text += ": " + to_printable(quote);
  if (state.suppressed > 0) {
    text += " (" + std::to_string(state.suppressed) + " more since the last line)";
  }
  state.suppressed = 0;
  sink_(kEvents[index].event, text);
}

}  // namespace alderspur::core

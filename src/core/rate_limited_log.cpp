#include "core/rate_limited_log.h"

#include <algorithm>

namespace alderspur::core {
namespace {

constexpr Time kLineInterval = 10'000'000;
constexpr std::size_t kMaxQuoteLength = 80;

struct EventText {
  const char* event;
  const char* text;
};
/// By InvalidInput.
constexpr std::array<EventText, kInvalidInputKinds> kEvents = {{
    {"invalid_watch_event", "a watch event that cannot be read is ignored, the last list stays"},
    {"invalid_address", "a server's address cannot be used, nothing new is sent there"},
    {"invalid_response", "an unreadable or unexpected response ends its connection"},
    {"invalid_frame", "a client's message that cannot be read ends its connection"},
    {"invalid_request", "a client's request with missing or unusable fields is answered as failed"},
    {"out_of_connections", "new clients wait until others leave"},
}};

std::string printable(std::string_view text) {
  std::string shown(text.substr(0, kMaxQuoteLength));
  std::ranges::replace_if(
      shown, [](char c) { return c < ' ' || c > '~'; }, '.');
  return shown;
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
  if (!quote.empty()) text += ": " + printable(quote);
  if (state.suppressed > 0) {
    text += " (" + std::to_string(state.suppressed) + " more since the last line)";
  }
  state.suppressed = 0;
  sink_(kEvents[index].event, text);
}

}  // namespace alderspur::core

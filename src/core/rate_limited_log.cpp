#include "core/rate_limited_log.h"

#include <algorithm>

namespace alderspur::core {
namespace {

constexpr Time kEvery = 10'000'000;
constexpr std::size_t kQuoted = 80;

struct Words {
  const char *event, *text;
};
constexpr Words kWords[kInvalidInputKinds] = {
    {"bad_notice", "a notice that cannot be read is passed over, the last good list stays"},
    {"bad_address", "a server's address cannot be used, nothing new is sent there"},
    {"bad_answer", "an answer that cannot be read or was not asked for ends its connection"},
    {"bad_frame", "a client's message that cannot be read ends its connection"},
    {"bad_request", "a client's request with missing or unusable fields is answered as failed"},
    {"no_room", "out of connections, new clients wait until others leave"}};

}  // namespace

void RateLimitedLog::report(InvalidInput kind, Time now, std::string_view quote) {
  const auto at = static_cast<std::size_t>(kind);
  KindState& k = kinds_[at];
  if (!sink_ || now < k.next_line_at) {
    ++k.suppressed;
    return;
  }
  k.next_line_at = now + kEvery;
  std::string text = kWords[at].text;
  if (!quote.empty()) {
    std::string shown(quote.substr(0, kQuoted));
    std::replace_if(
        shown.begin(), shown.end(), [](char c) { return c < ' ' || c > '~'; }, '.');
    text += ": " + shown;
  }
  if (k.suppressed) text += " (" + std::to_string(k.suppressed) + " more since the last line)";
  k.suppressed = 0;
  sink_(kWords[at].event, text);
}

}  // namespace alderspur::core

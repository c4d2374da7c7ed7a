// The line protocol to caches, parents and the origin: commands out, answers in. No sockets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/engine.h"

namespace alderspur::platform {

// The line before the body; the body and CR LF follow.
std::string fetch_line(const core::UpstreamRequest& order, std::string_view lane,
                       std::string_view source, core::Time now);

struct CacheResponse {
  std::string_view id, word, body, sum, report;
  core::Time born = 0;
};
enum class Parsed { whole, partial, unreadable };
// Takes one answer from the front of `bytes`.
Parsed next_answer(std::string_view& bytes, CacheResponse& answer);

std::optional<alderspur::AttemptResult> result_of(std::string_view word);
alderspur::LoadReport report_of(std::string_view text);

}  // namespace alderspur::platform

#include "config_language/reporter.h"

#include <utility>

namespace alderspur::config_language {

Reporter::Reporter(const Sources& sources, diagnostics::Findings& findings)
    : sources_(sources), findings_(findings) {}

void Reporter::error(const char* code, const Span& span, std::string text, std::string suggestion) {
  findings_.error(code, sources_.location(span), std::move(text), std::move(suggestion));
}

void Reporter::warn(const char* code, const Span& span, std::string text, std::string suggestion) {
  findings_.warn(code, sources_.location(span), std::move(text), std::move(suggestion));
}

std::string Reporter::describe_location(const Span& span) const {
  const auto location = sources_.location(span);
  return location.file + ":" + std::to_string(location.line);
}

std::string suggest(std::string_view word, const std::vector<std::string_view>& candidates) {
  const std::string match = diagnostics::closest_match(word, candidates);
  return match.empty() ? "" : "did you mean " + match + "?";
}

}  // namespace alderspur::config_language

// Reports findings at spans of a program.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config_language/source.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// Keeps references to both constructor arguments, which must outlive it.
class Reporter {
 public:
  Reporter(const Sources& sources, diagnostics::Findings& findings);

  /// Adds an error or a warning at the start of the span to the findings.
  void error(const char* code, const Span& span, std::string text, std::string suggestion = {});
  void warn(const char* code, const Span& span, std::string text, std::string suggestion = {});

  /// Returns the start of the span as "FILE:LINE".
  std::string describe_location(const Span& span) const;

 private:
  const Sources& sources_;
  diagnostics::Findings& findings_;
};

/// Returns "did you mean MATCH?" with the most similar candidate, or an empty text if no candidate
/// is similar.
std::string suggest(std::string_view word, const std::vector<std::string_view>& candidates);

}  // namespace alderspur::config_language

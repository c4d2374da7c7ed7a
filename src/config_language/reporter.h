// Reports findings by spans of a program.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config_language/source.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// Holds references to both of its parameters.
class Reporter {
 public:
  Reporter(const Sources& sources, diagnostics::Findings& findings);

  void error(const char* code, const Span& span, std::string text, std::string suggestion = {});
  void warn(const char* code, const Span& span, std::string text, std::string suggestion = {});

  /// "FILE:LINE"
  std::string describe_location(const Span& span) const;

 private:
  const Sources& sources_;
  diagnostics::Findings& findings_;
};

/// "did you mean MATCH?" with the candidate that is most similar; empty if none is.
std::string suggest(std::string_view word, const std::vector<std::string_view>& candidates);

}  // namespace alderspur::config_language

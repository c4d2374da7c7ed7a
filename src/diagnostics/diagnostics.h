// Findings: the errors and warnings that a checker reports about a file. Every module that reads
// operators' files reports findings, so that each message has a location, a cause and, if one is
// known, a suggested correction.
//
// The codes are stable because scripts may match them; docs/ explains them. This module performs no
// I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::diagnostics {

/// The severity of a finding. A file with an error cannot be used; a file with only warnings can.
enum class Severity { error, warning };

/// A position in a file. Lines and columns are numbered from 1. Line 0 refers to the whole file,
/// and column 0 to the whole line.
struct Location {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

/// One error or warning.
struct Finding {
  Severity severity = Severity::error;
  std::string code;  // "S003", "M011"
  Location location;
  std::string text;        // what is wrong
  std::string suggestion;  // how to correct it; may be empty
};

/// A list of findings. Its length is bounded, so that the report on a large file with an error on
/// every line stays small. Not thread-safe.
class Findings {
 public:
  /// Adds a finding. Control characters in its text are replaced, and a long text is truncated.
  void add(Finding finding);
  /// Adds a finding of severity `error`.
  void error(std::string code, Location location, std::string text, std::string suggestion = {});
  /// Adds a finding of severity `warning`.
  void warn(std::string code, Location location, std::string text, std::string suggestion = {});
  /// Adds all findings of another list, and the counts of those omitted from it.
  void append(const Findings& other);

  /// Returns true if there are no errors. Warnings are ignored.
  bool is_ok() const { return error_count_ == 0; }
  /// Returns the number of errors, including those that were omitted from the list.
  std::size_t errors() const { return error_count_; }
  /// Returns the number of findings that were omitted because the list was full.
  std::size_t omitted() const { return omitted_count_; }
  const std::vector<Finding>& list() const { return list_; }

 private:
  std::vector<Finding> list_;
  std::size_t error_count_ = 0;
  std::size_t omitted_count_ = 0;
};

/// Formats a finding as "servers.toml:12:3: error M011: TEXT (SUGGESTION)".
std::string to_string(const Finding& finding);

/// Returns the candidate with the smallest edit distance to a misspelt word; empty if none is
/// similar.
std::string closest_match(std::string_view word, const std::vector<std::string_view>& candidates);

}  // namespace alderspur::diagnostics

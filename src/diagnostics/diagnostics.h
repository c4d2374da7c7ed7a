// Findings: what a checker reports about a file that somebody wrote. Every module that reads
// operators' files reports in this form, so that each message has a location, a cause and, where
// one is known, a correction.
//
// Codes are stable: scripts may match them, and docs/ explains them. No I/O; plain values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::diagnostics {

/// An error makes a text unusable; a warning does not.
enum class Severity { error, warning };

/// A position in a file. Lines and columns count from 1; line 0 stands for the whole file, and
/// column 0 for the whole line.
struct Location {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

/// One report.
struct Finding {
  Severity severity = Severity::error;
  std::string code;  // "S003", "M011"
  Location location;
  std::string text;        // what is wrong
  std::string suggestion;  // how to correct it; may be empty
};

/// A list of bounded length, so that the report on a large file with an error on every line stays
/// small. Not thread-safe.
class Findings {
 public:
  /// Control characters in the text are replaced and a long text is cut.
  void add(Finding finding);
  void error(std::string code, Location location, std::string text, std::string suggestion = {});
  void warn(std::string code, Location location, std::string text, std::string suggestion = {});
  void append(const Findings& other);

  /// Whether there is no error. Warnings do not count.
  bool is_ok() const { return error_count_ == 0; }
  /// The number of errors, those that were omitted from the list included.
  std::size_t errors() const { return error_count_; }
  /// The number of findings that the list had no room for.
  std::size_t omitted() const { return omitted_count_; }
  const std::vector<Finding>& list() const { return list_; }

 private:
  std::vector<Finding> list_;
  std::size_t error_count_ = 0;
  std::size_t omitted_count_ = 0;
};

/// "servers.toml:12:3: error M011: TEXT (SUGGESTION)"
std::string to_string(const Finding& finding);

/// The candidate with the smallest edit distance to a misspelt word; empty if none is similar.
std::string closest_match(std::string_view word, const std::vector<std::string_view>& candidates);

}  // namespace alderspur::diagnostics

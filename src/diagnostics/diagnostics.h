// Findings: what a checker says of a text that somebody wrote. Every part that reads operators'
// files reports in this one shape, so that a message always has a place, a cause and a way to mend
// it.
//
// A Finding is a plain value. Lines and columns count from 1; 0 means that the finding concerns the
// whole file. Codes are stable: they may be matched by scripts and are explained in docs/. No I/O,
// no shared state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::diagnostics {

enum class Severity { error, warning };

struct Place {
  std::string file;
  std::uint32_t line = 0, column = 0;
};
struct Finding {
  Severity severity = Severity::error;
  std::string code;  // "S003", "M011"
  Place place;
  std::string text;  // what is wrong
  std::string mend;  // what to do about it; may be empty
};

// A list of bounded length: the report on a file of 16 MB with an error on every line stays small.
class Findings {
 public:
  void add(Finding finding);
  void error(std::string code, Place place, std::string text, std::string mend = {});
  void warn(std::string code, Place place, std::string text, std::string mend = {});
  bool good() const { return errors_ == 0; }  // warnings alone do no harm
  std::size_t errors() const { return errors_; }
  std::size_t left_out() const { return left_out_; }
  const std::vector<Finding>& list() const { return list_; }
  void append(const Findings& other);

 private:
  std::vector<Finding> list_;
  std::size_t errors_ = 0, left_out_ = 0;
};

// "servers.toml:12:3: error M011: ... (mend)"
std::string to_string(const Finding& finding);
// The candidate closest to a misspelt word (edit distance), empty if none is near.
std::string nearest(std::string_view word, const std::vector<std::string_view>& candidates);

}  // namespace alderspur::diagnostics

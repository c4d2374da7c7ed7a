// Loads a program of several files: follows includes, reads each file once, and reports cycles.
//
// Files come through a Loader, so that this module does no I/O. Paths are relative to the folder of
// the including file and compared in their normal form.
//
// Codes: A007 includes nested too deeply, A008 too many files or bytes, A010 a file that cannot be
// read, A011 an include cycle, reported as its chain of files and lines.
#pragma once

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "config_language/syntax.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

constexpr std::size_t kMaxFiles = 1000;
constexpr std::size_t kMaxProgramBytes = 16 << 20;
constexpr std::size_t kMaxIncludeDepth = 32;

/// Why a file cannot be read.
enum class ReadError { not_found, not_a_regular_file, not_readable };

const char* to_string(ReadError error);

/// A file's text, or why there is none.
using ReadResult = std::variant<std::string, ReadError>;

/// Where the texts of a program come from.
class Loader {
 public:
  virtual ~Loader() = default;

  virtual ReadResult read(const std::string& path) = 0;

  /// The files that match a pattern with * and ?, sorted.
  virtual std::vector<std::string> match(const std::string& pattern) = 0;
};

/// The files of a program, parsed.
struct Program {
  Sources sources;
  std::vector<Tree> trees;  // in the order of reading; the first is the root
  /// All top-level statements but includes, which are replaced by the statements of their files.
  /// Point into `trees`.
  std::vector<const Statement*> statements;
};

/// Errors are added to the findings; what could be read is in the program.
Program load(const std::string& root, Loader& loader, diagnostics::Findings& findings);

}  // namespace alderspur::config_language

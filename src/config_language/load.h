// Loads a program of several files: follows includes, reads each file once, and reports cycles.
//
// All files are read through a Loader, so this module does no I/O. Included paths are relative to
// the folder of the including file and are compared in normalized form.
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

/// The text of a file, or the reason why it cannot be read.
using ReadResult = std::variant<std::string, ReadError>;

/// Reads the files of a program.
class Loader {
 public:
  virtual ~Loader() = default;

  /// Returns the text of a file or an error.
  virtual ReadResult read(const std::string& path) = 0;

  /// Returns the sorted paths of the files that match a pattern with * and ?.
  virtual std::vector<std::string> match(const std::string& pattern) = 0;
};

/// The parsed files of a program.
struct Program {
  Sources sources;
  std::vector<Tree> trees;  // in the order of reading; the first is the root
  /// All top-level statements, with each include replaced by the statements of its files. The
  /// pointers point into `trees`.
  std::vector<const Statement*> statements;
};

/// Loads the program whose first file is `root`. Appends errors to `findings` and returns the files
/// that could be read.
Program load(const std::string& root, Loader& loader, diagnostics::Findings& findings);

}  // namespace alderspur::config_language

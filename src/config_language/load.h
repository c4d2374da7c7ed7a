// A program of several files: includes followed, each file read once, cycles reported and never
// followed.
//
// Files come through a Loader, so that nothing here does I/O. Paths are taken from the including
// file's own folder and compared in their normal form. Bounds: kMaxFiles files, kMaxProgramBytes
// bytes, includes kMaxIncludeDepth deep. Codes: A010 no such file, A011 an include cycle (told as
// the chain of files and lines), A008 too large.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config_language/syntax.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

constexpr std::size_t kMaxFiles = 1000;
constexpr std::size_t kMaxProgramBytes = 16 << 20;
constexpr std::size_t kMaxIncludeDepth = 32;

class Loader {
 public:
  virtual ~Loader() = default;
  virtual std::optional<std::string> read(const std::string& path, std::string& error) = 0;
  // The files that a pattern with * and ? names, sorted.
  virtual std::vector<std::string> match(const std::string& pattern) = 0;
};

struct Program {
  Sources sources;
  std::vector<Tree> trees;  // in the order in which they are read; the first is the root
  // All statements but includes, those of an included file in the include's place.
  std::vector<const Statement*> statements;
};

Program load(const std::string& root, Loader& loader, diagnostics::Findings& findings);

}  // namespace alderspur::config_language

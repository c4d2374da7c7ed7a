// The Loader for files on disk.
#pragma once

#include <string>
#include <vector>

#include "config_language/load.h"

namespace alderspur::config_language {

/// Reads regular files only, up to one byte over kMaxTextBytes, which the parser then rejects.
/// Patterns are those of glob(3). Blocks on the disk.
class FileLoader : public Loader {
 public:
  ReadResult read(const std::string& path) override;
  std::vector<std::string> match(const std::string& pattern) override;
};

}  // namespace alderspur::config_language

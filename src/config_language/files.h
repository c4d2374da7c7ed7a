// Implements Loader for files on disk.
#pragma once

#include <string>
#include <vector>

#include "config_language/load.h"

namespace alderspur::config_language {

/// Reads regular files only. Reads at most kMaxTextBytes + 1 bytes of a file; the parser rejects a
/// text of that length. Matches patterns as glob(3) does. Blocks on the disk.
class FileLoader : public Loader {
 public:
  ReadResult read(const std::string& path) override;
  std::vector<std::string> match(const std::string& pattern) override;
};

}  // namespace alderspur::config_language

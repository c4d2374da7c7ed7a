// The Loader for files on disk: regular files only, at most a text's bound, patterns by glob(3).
#pragma once

#include "config_language/load.h"

namespace alderspur::config_language {

class FileLoader : public Loader {
 public:
  std::optional<std::string> read(const std::string& path, std::string& error) override;
  std::vector<std::string> match(const std::string& pattern) override;
};

}  // namespace alderspur::config_language

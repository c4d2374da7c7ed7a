#include "config_language/files.h"

#include <glob.h>

#include <filesystem>
#include <fstream>
#include <system_error>

#include "config_language/parser.h"

namespace alderspur::config_language {

ReadResult FileLoader::read(const std::string& path) {
  std::error_code ignored;
  const auto status = std::filesystem::status(path, ignored);
  if (!std::filesystem::exists(status)) return ReadError::not_found;
  // Reading a FIFO could block forever, and a device may supply endless data.
  if (!std::filesystem::is_regular_file(status)) return ReadError::not_a_regular_file;
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxTextBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || !file.is_open()) return ReadError::not_readable;
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

std::vector<std::string> FileLoader::match(const std::string& pattern) {
  glob_t result{};
  std::vector<std::string> paths;
  if (::glob(pattern.c_str(), 0, nullptr, &result) == 0) {
    paths.assign(result.gl_pathv, result.gl_pathv + result.gl_pathc);
  }
  ::globfree(&result);
  return paths;
}

}  // namespace alderspur::config_language

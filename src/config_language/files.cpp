#include "config_language/files.h"

#include <glob.h>

#include <filesystem>
#include <fstream>

#include "config_language/parser.h"

namespace alderspur::config_language {

std::optional<std::string> FileLoader::read(const std::string& path, std::string& error) {
  std::error_code code;
  const auto status = std::filesystem::status(path, code);
  if (!std::filesystem::exists(status)) return error = "there is no such file", std::nullopt;
  // Reading a FIFO could block for ever, and a device may have no end.
  if (!std::filesystem::is_regular_file(status)) {
    return error = "it is no regular file", std::nullopt;
  }
  std::ifstream in(path, std::ios::binary);
  std::string text(kMaxTextBytes + 1, '\0');  // one byte over the bound shows that it is too large
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad() || !in.is_open()) return error = "it may not be read", std::nullopt;
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

std::vector<std::string> FileLoader::match(const std::string& pattern) {
  glob_t found{};
  std::vector<std::string> out;
  if (::glob(pattern.c_str(), 0, nullptr, &found) == 0) {
    for (std::size_t i = 0; i < found.gl_pathc; ++i) out.emplace_back(found.gl_pathv[i]);
  }
  ::globfree(&found);
  return out;
}

}  // namespace alderspur::config_language

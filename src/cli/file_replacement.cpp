#include "cli/file_replacement.h"

#include <filesystem>
#include <fstream>

namespace alderspur::cli {
namespace {

bool write_file(const std::string& path, const std::string& content) {
  std::ofstream stream(path, std::ios::binary);
  stream << content;
  return static_cast<bool>(stream.flush());
}

}  // namespace

std::optional<ReplaceError> replace_file(const std::string& path, const std::string& content,
                                         ReplacedPermissions permissions) {
  const std::string temporary = path + ".new";
  if (!write_file(temporary, content)) {
    return ReplaceError{ReplaceError::Step::write, temporary, {}};
  }
  std::error_code error;
  if (permissions == ReplacedPermissions::as_before) {
    const auto before = std::filesystem::status(path).permissions();
    std::filesystem::permissions(temporary, before, error);
  }
  std::filesystem::rename(temporary, path, error);
  if (error) return ReplaceError{ReplaceError::Step::rename, temporary, error};
  return std::nullopt;
}

}  // namespace alderspur::cli

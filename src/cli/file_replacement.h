// Replaces the content of a file atomically. The new content is written to a temporary file in the
// same directory, which is then renamed. A reader sees either the old content or the new content.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

namespace alderspur::cli {

/// The permissions of the file after it has been replaced.
enum class ReplacedPermissions : std::uint8_t {
  of_new_file,  // those of a file that this process creates
  as_before,    // those of the replaced file, if they can be set
};

/// The reason why a file could not be replaced. The file keeps its old content.
struct ReplaceError {
  enum class Step : std::uint8_t { write, rename };

  Step step = Step::write;
  std::string temporary_path;
  std::error_code rename_error;  // set for Step::rename only
};

/// Replaces the content of the file. Returns nullopt on success.
std::optional<ReplaceError> replace_file(const std::string& path, const std::string& content,
                                         ReplacedPermissions permissions);

}  // namespace alderspur::cli

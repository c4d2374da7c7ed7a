// Replaces a file that a command has rewritten. The new content is written beside it and renamed
// over it, so that a reader sees the old content or the new one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

namespace alderspur::cli {

/// Which permissions the file has afterwards.
enum class ReplacedPermissions : std::uint8_t {
  of_new_file,  // those of a file that this process creates
  as_before,    // those of the file that is replaced, where they can be set
};

/// Why a file could not be replaced. Its old content is still there.
struct ReplaceError {
  enum class Step : std::uint8_t { write, rename };

  Step step = Step::write;
  std::string temporary_path;
  std::error_code rename_error;  // of Step::rename
};

/// Nothing where the file has been replaced.
std::optional<ReplaceError> replace_file(const std::string& path, const std::string& content,
                                         ReplacedPermissions permissions);

}  // namespace alderspur::cli

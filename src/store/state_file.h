// Replaces files atomically. After a crash or SIGKILL at any moment, a reader sees either the
// complete old content or the complete new content.
//
// The content is written to PATH.new: a header with the payload's length and XXH3 digest, then the
// payload. The file is synced and renamed to PATH, and then the directory is synced. Only one
// writer at a time may replace a given path. All functions block on the disk, so call them on any
// thread except the event loop's. No function throws; errors are returned as FileError.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace alderspur::store {

/// The operation on a file that failed, or the fault in its content.
enum class FileFault : std::uint8_t {
  create_failed,
  open_failed,
  write_failed,
  sync_failed,
  rename_failed,
  lock_failed,
  not_a_state_file,   // not a regular file, shorter than a header, or over the size limit
  checksum_mismatch,  // the header does not match the payload
};

/// A failed operation on one file.
struct FileError {
  FileFault fault{};
  std::string path;
  int error_number = 0;  // errno; not used for the faults of a file's content
};
/// Returns a description for logs and operators, for example "cannot open /x/y: Permission denied".
std::string to_string(const FileError& error);
/// Returns the error of a system call on `path` that has just set errno.
FileError errno_error(FileFault fault, std::string path);

/// The points at which tests interrupt a write.
enum class WriteStep : std::uint8_t {
  opened,
  half_written,
  written,
  synced,
  renamed,
  directory_synced,
};
/// Called after each step of a write, for tests.
using WriteStepHook = std::function<void(WriteStep)>;

/// Replaces the state file at `path` with one that has this payload. Returns nothing on success.
std::optional<FileError> replace_file(const std::string& path, std::string_view payload,
                                      const WriteStepHook& hook = {});

/// Replaces a plain text file in the same way, but without a header, because other programs read
/// it. Returns nothing on success.
std::optional<FileError> replace_text_file(const std::string& path, std::string_view text);

/// The result of reading a state file. Either `payload` or `error` is set.
struct LoadedFile {
  std::optional<std::string> payload;
  bool is_absent = false;  // the file does not exist; `error` is set as well
  std::optional<FileError> error;
};
/// Reads and checks a state file of at most `max_bytes`, including the header.
LoadedFile load_file(const std::string& path, std::size_t max_bytes);

}  // namespace alderspur::store

// Files that are replaced atomically: after a crash or SIGKILL at any moment, a reader sees either
// the whole old content or the whole new one.
//
// The content is written to PATH.new (a header with the payload's length and XXH3 digest, then the
// payload), synced, renamed over PATH, and the directory is synced. Only one writer at a time may
// replace a given path. All functions block on the disk, so they must not run on the event loop's
// thread; any other thread will do. Nothing throws; errors are returned as FileError.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace alderspur::store {

/// What could not be done with a file, or what is wrong with its content.
enum class FileFault : std::uint8_t {
  create_failed,
  open_failed,
  write_failed,
  sync_failed,
  rename_failed,
  lock_failed,
  not_a_state_file,   // no regular file, shorter than a header, or over the size limit
  checksum_mismatch,  // the header does not match the payload
};

/// A failed operation on one file.
struct FileError {
  FileFault fault{};
  std::string path;
  int error_number = 0;  // errno; meaningless for the faults of a file's content
};
/// A text for logs and operators, for example "cannot open /x/y: Permission denied".
std::string to_string(const FileError& error);
/// The error of a system call on `path` that has just set errno.
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
using WriteStepHook = std::function<void(WriteStep)>;

/// Replaces the state file at `path` by one with this payload. Returns nothing on success.
std::optional<FileError> replace_file(const std::string& path, std::string_view payload,
                                      const WriteStepHook& hook = {});

/// Replaces a plain text file the same way, but without a header: other programs read it as it is.
std::optional<FileError> replace_text_file(const std::string& path, std::string_view text);

/// The result of reading a state file: either `payload` or `error` is set.
struct LoadedFile {
  std::optional<std::string> payload;
  bool is_absent = false;  // there is no such file; `error` is set as well
  std::optional<FileError> error;
};
/// Reads and checks a state file of at most `max_bytes`, header included.
LoadedFile load_file(const std::string& path, std::size_t max_bytes);

}  // namespace alderspur::store

// Reads the files at a watched path: either one file, or a directory with a manifest and the pieces
// that the manifest lists. The files are read only once they have settled, so that no partially
// written content is returned.
//
// The files count as settled when two consecutive polls find the same device, inode, size, mtime
// and ctime for each file, and the same target for each symlink on the path. The ctime also reveals
// a writer that sets the mtime back. If a file's ctime is more recent than the resolution of the
// file system's clock, the next poll reads the file again, because a later write within the same
// clock tick would not change the ctime (git calls such an entry "racily clean").
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace alderspur::file_watch {

/// The content of the files at a watched path.
struct Contents {
  bool is_directory = false;
  std::string file;                 // path of the file, or of the directory's manifest
  std::string text;                 // content of that file
  std::vector<std::string> pieces;  // contents of the pieces, in the manifest's order
};

/// The file that could not be read, and the reason.
struct ReadError {
  std::string path;
  std::string reason;
};

/// Returns the text "cannot read PATH: REASON".
std::string to_string(const ReadError& error);

/// The finding of one poll.
enum class Observation {
  unchanged,   // the content is the same as in the last poll that returned it
  unsettled,   // the files have changed and may still be changing
  changed,     // the files have settled with new content, which the result contains
  unreadable,  // the files have settled, but at least one of them cannot be read
};

/// A directory entry that the path depends on.
struct WatchedEntry {
  std::string directory;
  std::string name;  // empty for every entry of the directory
};

/// The result of one poll.
struct PollResult {
  Observation observation = Observation::unchanged;
  Contents contents;                  // set if the observation is `changed`
  ReadError error;                    // set if the observation is `unreadable`
  std::vector<WatchedEntry> entries;  // all directory entries that the path depends on
};

/// Reads one watched path. Not thread-safe.
class Source {
 public:
  /// Returns the names of the pieces that a manifest's text lists. The caller provides this
  /// function, because this module does not parse TOML.
  using PieceNames = std::function<std::vector<std::string>(const std::string& text)>;

  /// `max_bytes` limits the size of all files together. Up to one byte more is returned, so that
  /// the caller can detect content that is too large and reject it.
  Source(std::string path, std::size_t max_bytes, PieceNames piece_names);

  /// Inspects the files, and reads them if they have settled with a change. Blocks on the file
  /// system, but never on a FIFO or a device at the path of a file.
  PollResult poll();

 private:
  /// Attributes of all files and symlinks. They differ if any of the files may have changed.
  using Identity = std::vector<std::uint64_t>;
  struct Inspection;

  Inspection inspect() const;
  /// Reads all files. Returns std::monostate if the manifest lists other pieces than before.
  std::variant<std::monostate, Contents, ReadError> read_contents(const Inspection& inspection);

  const std::string path_;
  const std::size_t max_bytes_;
  const PieceNames list_pieces_;
  std::vector<std::string> piece_names_;  // listed by the manifest that was read last
  Identity last_seen_;  // at the last poll that found a difference from last_read_
  Identity last_read_;  // when the files were last read
  std::uint64_t last_digest_ = 0;
  // Whether the files were so recent when they were last read that a later write might not change
  // their ctime.
  bool must_read_again_ = false;
};

}  // namespace alderspur::file_watch

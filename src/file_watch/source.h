// The files at a watched path: one file, or a directory with a manifest and its pieces. They are
// read only once they have settled, so that no half-written content is returned.
//
// Content counts as settled when two polls in a row see the same files: device, inode, size, mtime
// and ctime of each file, and the target of each symlink on the way. The ctime also shows a writer
// that sets the mtime back. A file whose ctime is younger than the file system's clock resolution
// is read again by the next poll, since a later write within the same tick would show no difference
// (git calls this problem a "racily clean" entry).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace alderspur::file_watch {

/// What was read.
struct Contents {
  bool is_directory = false;
  std::string file;  // path of the file, or of the directory's manifest
  std::string text;
  std::vector<std::string> pieces;  // texts of the manifest's pieces, in its order
};

/// A file that could not be read, and the operating system's reason.
struct ReadError {
  std::string path;
  std::string reason;
};

/// "cannot read PATH: REASON"
std::string to_string(const ReadError& error);

/// What a poll has found.
enum class Observation {
  unchanged,   // the content that the last poll returned
  unsettled,   // it has changed and may still be changing
  changed,     // new content, returned with the result
  unreadable,  // settled, but at least one file cannot be read
};

/// A directory entry that the path depends on.
struct WatchedEntry {
  std::string directory;
  std::string name;  // empty: every entry of the directory
};

/// The result of one poll.
struct PollResult {
  Observation observation = Observation::unchanged;
  Contents contents;  // if changed
  ReadError error;    // if unreadable
  std::vector<WatchedEntry> entries;
};

/// Reads one watched path. Not thread-safe.
class Source {
 public:
  /// Returns the names of the pieces that a manifest's text lists; this module knows no TOML.
  using PieceNames = std::function<std::vector<std::string>(const std::string& text)>;

  /// `max_bytes` bounds all files together. One byte more may be returned, so that the reader of
  /// the content can reject it as too large.
  Source(std::string path, std::size_t max_bytes, PieceNames piece_names);

  /// Blocks on the file system, but never on a FIFO or a device that stands in a file's place.
  PollResult poll();

 private:
  /// Numbers that differ if any of the files may have changed.
  using Identity = std::vector<std::uint64_t>;
  struct Inspection;

  Inspection inspect() const;
  /// Reads all files. Nothing if the manifest lists other pieces than before.
  std::variant<std::monostate, Contents, ReadError> read_contents(const Inspection& inspection);

  const std::string path_;
  const std::size_t max_bytes_;
  const PieceNames list_pieces_;
  std::vector<std::string> piece_names_;  // by the manifest that was read last
  Identity last_seen_;
  Identity last_read_;
  std::uint64_t last_digest_ = 0;
  bool must_read_again_ = false;  // what was read last was too young to show a later write
};

}  // namespace alderspur::file_watch

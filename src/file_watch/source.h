// What stands at a watched path: one file, or a directory with a manifest and its pieces. Reads it
// only once it has settled, and never hands out half of it.
//
// look() blocks on the file system: call it off the loop's thread, always from the same one. A
// content counts as settled when two looks in a row see the same files: device, inode, size, mtime
// and ctime of each file, and where each symlink on the way leads. The ctime tells of a writer who
// sets the mtime back. A file whose ctime is younger than the clock's grain is looked at again,
// since a later write in the same grain would show no difference (the problem is git's "racily
// clean" entry).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::file_watch {

struct Texts {
  bool directory = false;
  std::string file;  // the file, or the manifest
  std::string text;
  std::vector<std::string> pieces;  // of a manifest, in its order
};
enum class Observation { unchanged, unsettled, content, unreadable };
struct LookResult {
  Observation sight = Observation::unchanged;
  Texts texts;
  std::string error;                     // unreadable: why
  std::vector<std::string> directories;  // whose entries the path depends on
  std::vector<std::string> names;        // of those entries; empty strings match all
};

class Source {
 public:
  // Names the pieces of a manifest's text, so that this part need not read TOML.
  using Pieces = std::function<std::vector<std::string>(const std::string& text)>;
  Source(std::string path, std::size_t most_bytes, Pieces pieces);

  LookResult look();
  // The next look reads again whatever it sees.
  void forget() { taken_.clear(), seen_.clear(); }

 private:
  using Identity = std::vector<std::uint64_t>;
  void identify(Identity& identity, LookResult& look, bool& young);
  bool read(const std::string& path, std::size_t& budget, std::string& out,
            std::string& error) const;

  const std::string path_;
  const std::size_t most_;
  const Pieces pieces_;
  std::vector<std::string> piece_names_;
  Identity seen_, taken_;
  bool again_ = false;  // taken while it was young
  std::uint64_t taken_digest_ = 0;
};

}  // namespace alderspur::file_watch

// The texts of a program in the configuration language, and locations in them. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// A range of bytes in one file of a Sources; `end` is not part of it.
struct Span {
  std::uint32_t file = 0;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
};

/// The files of a program. It only grows, so that a Span stays valid as long as its Sources.
class Sources {
 public:
  /// Returns the file's number.
  std::uint32_t add(std::string name, std::string text);

  const std::string& name(std::uint32_t file) const { return files_[file].name; }
  const std::string& text(std::uint32_t file) const { return files_[file].text; }
  /// The number of files.
  std::size_t size() const { return files_.size(); }

  /// Where the span begins. Columns count bytes.
  diagnostics::Location location(const Span& span) const;

  /// The text of a line, without its line feed; lines count from 1. Empty if there is none.
  std::string_view line(std::uint32_t file, std::uint32_t line) const;

  /// The finding as text, with the line itself and a caret below the column.
  std::string render(const diagnostics::Finding& finding) const;

 private:
  struct File {
    std::string name;
    std::string text;
    std::vector<std::uint32_t> line_offsets;
  };

  std::vector<File> files_;
};

}  // namespace alderspur::config_language

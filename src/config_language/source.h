// Holds the texts of a program and computes locations in them. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// A half-open range of bytes, [begin, end), in one file of a Sources object.
struct Span {
  std::uint32_t file = 0;
  std::uint32_t begin = 0;
  std::uint32_t end = 0;
};

/// The files of a program. Files are only added, so a Span stays valid as long as its Sources
/// object.
class Sources {
 public:
  /// Adds a file and returns its number.
  std::uint32_t add(std::string name, std::string text);

  const std::string& name(std::uint32_t file) const { return files_[file].name; }
  const std::string& text(std::uint32_t file) const { return files_[file].text; }
  /// Returns the number of files.
  std::size_t size() const { return files_.size(); }

  /// Returns the location where the span begins. Columns count bytes.
  diagnostics::Location location(const Span& span) const;

  /// Returns a line without its line feed, or an empty text if there is none. Lines count from 1.
  std::string_view line(std::uint32_t file, std::uint32_t line) const;

  /// Returns the finding as text, followed by its source line and a caret below the column.
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

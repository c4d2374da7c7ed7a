// The texts of a program in the configuration language, and places in them.
//
// Spans are byte offsets into one file of a Sources; lines and columns count from 1, columns in
// bytes. Sources only grows, so a Span stays good for as long as it. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

struct Span {
  std::uint32_t file = 0, begin = 0, end = 0;
};

class Sources {
 public:
  std::uint32_t add(std::string name, std::string text);
  const std::string& name(std::uint32_t file) const { return files_[file].name; }
  const std::string& text(std::uint32_t file) const { return files_[file].text; }
  std::size_t size() const { return files_.size(); }
  diagnostics::Location location(const Span& span) const;
  std::string_view line(std::uint32_t file, std::uint32_t line) const;
  // "a.alder:3:9: error A012: ..." with the line itself and a caret under the place.
  std::string render(const diagnostics::Finding& finding) const;

 private:
  struct File {
    std::string name, text;
    std::vector<std::uint32_t> lines;  // where each begins
  };
  std::vector<File> files_;
};

}  // namespace alderspur::config_language

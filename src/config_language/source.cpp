#include "config_language/source.h"

#include <algorithm>
#include <utility>

namespace alderspur::config_language {
namespace {

constexpr std::size_t kMaxRenderedBytes = 200;

/// Returns the line with control characters replaced by '?', and a caret below the column.
std::string render_line(std::string_view line, std::size_t column) {
  std::string text;
  std::string caret;
  const std::size_t size = std::min(line.size(), kMaxRenderedBytes);
  for (std::size_t i = 0; i < size; ++i) {
    const bool is_tab = line[i] == '\t';
    const bool is_printable = static_cast<unsigned char>(line[i]) >= ' ' || is_tab;
    text += is_printable ? line[i] : '?';
    if (i + 1 < column) caret += is_tab ? '\t' : ' ';
  }
  return "\n    " + text + "\n    " + caret + "^";
}

}  // namespace

std::uint32_t Sources::add(std::string name, std::string text) {
  File file{std::move(name), std::move(text), {0}};
  for (std::uint32_t i = 0; i < file.text.size(); ++i) {
    if (file.text[i] == '\n') file.line_offsets.push_back(i + 1);
  }
  files_.push_back(std::move(file));
  return static_cast<std::uint32_t>(files_.size() - 1);
}

diagnostics::Location Sources::location(const Span& span) const {
  const File& file = files_[span.file];
  const auto& offsets = file.line_offsets;
  const auto next = std::upper_bound(offsets.begin(), offsets.end(), span.begin);
  const auto line = static_cast<std::uint32_t>(next - offsets.begin());
  return {file.name, line, span.begin - offsets[line - 1] + 1};
}

std::string_view Sources::line(std::uint32_t file, std::uint32_t line) const {
  const File& source = files_[file];
  if (line == 0 || line > source.line_offsets.size()) return {};
  const std::size_t begin = source.line_offsets[line - 1];
  const std::size_t end = std::min(source.text.find('\n', begin), source.text.size());
  return std::string_view{source.text}.substr(begin, end - begin);
}

std::string Sources::render(const diagnostics::Finding& finding) const {
  std::string text = diagnostics::to_string(finding);
  const auto& location = finding.location;
  const auto it = std::find_if(files_.begin(), files_.end(),
                               [&](const File& file) { return file.name == location.file; });
  if (it == files_.end() || location.line == 0) return text;
  const auto file = static_cast<std::uint32_t>(it - files_.begin());
  return text + render_line(line(file, location.line), location.column);
}

}  // namespace alderspur::config_language

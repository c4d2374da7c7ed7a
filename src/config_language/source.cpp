#include "config_language/source.h"

#include <algorithm>

namespace alderspur::config_language {

std::uint32_t Sources::add(std::string name, std::string text) {
  File f{std::move(name), std::move(text), {0}};
  for (std::uint32_t i = 0; i < f.text.size(); ++i) {
    if (f.text[i] == '\n') f.lines.push_back(i + 1);
  }
  files_.push_back(std::move(f));
  return static_cast<std::uint32_t>(files_.size() - 1);
}

diagnostics::Location Sources::location(const Span& span) const {
  const File& f = files_[span.file];
  const auto next = std::upper_bound(f.lines.begin(), f.lines.end(), span.begin);
  const auto line = static_cast<std::uint32_t>(next - f.lines.begin());
  return {f.name, line, span.begin - f.lines[line - 1] + 1};
}

std::string_view Sources::line(std::uint32_t file, std::uint32_t line) const {
  const File& f = files_[file];
  if (line == 0 || line > f.lines.size()) return {};
  const auto begin = f.lines[line - 1];
  const auto end = std::min(f.text.find('\n', begin), f.text.size());
  return std::string_view{f.text}.substr(begin, end - begin);
}

std::string Sources::render(const diagnostics::Finding& finding) const {
  std::string out = diagnostics::to_string(finding);
  const auto it = std::find_if(files_.begin(), files_.end(),
                               [&](const File& f) { return f.name == finding.location.file; });
  if (it == files_.end() || !finding.location.line) return out;
  const auto text = line(static_cast<std::uint32_t>(it - files_.begin()), finding.location.line);
  std::string shown;
  std::string caret;
  for (std::size_t i = 0; i < text.size() && i < 200; ++i) {
    const bool plain = static_cast<unsigned char>(text[i]) >= 32 || text[i] == '\t';
    shown += plain ? text[i] : '?';
    if (i + 1 < finding.location.column) caret += text[i] == '\t' ? '\t' : ' ';
  }
  return out + "\n    " + shown + "\n    " + caret + "^";
}

}  // namespace alderspur::config_language

#include "diagnostics/diagnostics.h"

#include <strings.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace alderspur::diagnostics {
namespace {

constexpr std::size_t kMaxFindings = 100;
constexpr std::size_t kMaxTextLength = 400;

std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t change = corner + (a[i] == b[j] ? 0 : 1);
      corner = std::exchange(row[j + 1], std::min({row[j] + 1, row[j + 1] + 1, change}));
    }
  }
  return row.back();
}

}  // namespace

void Findings::add(Finding finding) {
  if (finding.severity == Severity::error) ++errors_;
  if (list_.size() >= kMaxFindings) {
    ++left_out_;
    return;
  }
  // Messages quote files: control characters must not reach a terminal or a log.
  for (char& c : finding.text) {
    if (static_cast<unsigned char>(c) < 32 || c == 127) c = '?';
  }
  if (finding.text.size() > kMaxTextLength) {
    finding.text.resize(kMaxTextLength), finding.text += "...";
  }
  list_.push_back(std::move(finding));
}
void Findings::error(std::string code, Place place, std::string text, std::string mend) {
  add({Severity::error, std::move(code), std::move(place), std::move(text), std::move(mend)});
}
void Findings::warn(std::string code, Place place, std::string text, std::string mend) {
  add({Severity::warning, std::move(code), std::move(place), std::move(text), std::move(mend)});
}
void Findings::append(const Findings& other) {
  const std::size_t errors = errors_ + other.errors_;
  for (const auto& f : other.list_) add(f);
  left_out_ += other.left_out_;
  errors_ = errors;
}

std::string to_string(const Finding& f) {
  std::string out = f.place.file;
  if (f.place.line) out += ':' + std::to_string(f.place.line);
  if (f.place.line && f.place.column) out += ':' + std::to_string(f.place.column);
  out += f.severity == Severity::error ? ": error " : ": warning ";
  out += f.code + ": " + f.text;
  if (!f.mend.empty()) out += " (" + f.mend + ")";
  return out;
}

std::string nearest(std::string_view word, const std::vector<std::string_view>& candidates) {
  std::string_view best;
  std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
  if (word.size() > 64) return {};
  for (const auto c : candidates) {
    if (c.size() == word.size() && strncasecmp(c.data(), word.data(), c.size()) == 0) {
      return std::string(c);
    }
  }
  for (const auto c : candidates) {
    if (const auto d = distance(word, c); d < least) least = d, best = c;
  }
  return std::string(best);
}

}  // namespace alderspur::diagnostics

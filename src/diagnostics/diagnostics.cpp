#include "diagnostics/diagnostics.h"

#include <strings.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace alderspur::diagnostics {
namespace {

constexpr std::size_t kMaxFindings = 100;
constexpr std::size_t kMaxTextBytes = 400;
constexpr std::size_t kMaxMatchedBytes = 64;  // longer words get no suggestion
constexpr std::size_t kMinAcceptedDistance = 2;
constexpr std::size_t kBytesPerEdit = 3;  // longer words may differ by one edit per 3 bytes

bool is_control(unsigned char byte) { return byte < ' ' || byte == 127; }

/// Returns the Levenshtein distance. Keeps only one row of the table of the dynamic program.
std::size_t edit_distance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> row(to.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < from.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < to.size(); ++j) {
      const std::size_t substitution = diagonal + (from[i] == to[j] ? 0 : 1);
      const std::size_t insertion = row[j] + 1;
      const std::size_t deletion = row[j + 1] + 1;
      diagonal = std::exchange(row[j + 1], std::min({insertion, deletion, substitution}));
    }
  }
  return row.back();
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

void Findings::add(Finding finding) {
  if (finding.severity == Severity::error) ++error_count_;
  if (list_.size() >= kMaxFindings) {
    ++omitted_count_;
    return;
  }
  // Findings quote the checked files, whose control characters must not reach a terminal or a log.
  std::replace_if(finding.text.begin(), finding.text.end(), is_control, '?');
  if (finding.text.size() > kMaxTextBytes) {
    finding.text.resize(kMaxTextBytes);
    finding.text += "...";
  }
  list_.push_back(std::move(finding));
}

void Findings::error(std::string code, Location location, std::string text,
                     std::string suggestion) {
  add({Severity::error, std::move(code), std::move(location), std::move(text),
       std::move(suggestion)});
}

void Findings::warn(std::string code, Location location, std::string text, std::string suggestion) {
  add({Severity::warning, std::move(code), std::move(location), std::move(text),
       std::move(suggestion)});
}

void Findings::append(const Findings& other) {
  // add() does not count the errors that the other list omitted.
  const std::size_t errors = error_count_ + other.error_count_;
  for (const auto& finding : other.list_) add(finding);
  omitted_count_ += other.omitted_count_;
  error_count_ = errors;
}

std::string to_string(const Finding& finding) {
  const Location& location = finding.location;
  std::string text = location.file;
  if (location.line) text += ':' + std::to_string(location.line);
  if (location.line && location.column) text += ':' + std::to_string(location.column);
  text += finding.severity == Severity::error ? ": error " : ": warning ";
  text += finding.code + ": " + finding.text;
  if (!finding.suggestion.empty()) text += " (" + finding.suggestion + ")";
  return text;
}

std::string closest_match(std::string_view word, const std::vector<std::string_view>& candidates) {
  if (word.size() > kMaxMatchedBytes) return {};
  for (const auto candidate : candidates) {
    if (equals_ignoring_case(candidate, word)) return std::string(candidate);
  }
  std::string_view best;
  std::size_t best_distance = std::max(kMinAcceptedDistance, word.size() / kBytesPerEdit) + 1;
  for (const auto candidate : candidates) {
    const std::size_t distance = edit_distance(word, candidate);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = candidate;
  }
  return std::string(best);
}

}  // namespace alderspur::diagnostics

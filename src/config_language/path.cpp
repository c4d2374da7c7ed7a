#include "config_language/path.h"

#include <algorithm>
#include <utility>

namespace alderspur::config_language {
namespace {

constexpr std::string_view kReservedCharacters = "{}*?# ";
constexpr std::size_t kMinCaptureBytes = 3;  // two braces and a name

bool is_capture(std::string_view text) {
  return text.starts_with('{') && text.ends_with('}') && text.size() >= kMinCaptureBytes;
}

Segment make_segment(std::string_view text) {
  if (text == "*") return {Segment::Kind::rest, "*"};
  if (!is_capture(text)) return {Segment::Kind::literal, std::string(text)};
  return {Segment::Kind::capture, std::string(text.substr(1, text.size() - 2))};
}

std::optional<PathError> check_literal(const std::string& text, bool is_last) {
  using Kind = PathError::Kind;
  if (text.find_first_of(kReservedCharacters) != std::string::npos) {
    return PathError{Kind::invalid_segment, text};
  }
  if (text.empty() && !is_last) return PathError{Kind::empty_segment, ""};
  if (text == "." || text == "..") return PathError{Kind::dot_segment, ""};
  return std::nullopt;
}

/// Checks a segment that will be appended to the path.
std::optional<PathError> check_segment(const Path& path, const Segment& segment, bool is_last) {
  using Kind = PathError::Kind;
  switch (segment.kind) {
    case Segment::Kind::rest:
      if (!is_last) return PathError{Kind::rest_not_last, ""};
      return std::nullopt;
    case Segment::Kind::capture:
      if (std::find(path.begin(), path.end(), segment) != path.end()) {
        return PathError{Kind::duplicate_capture, segment.text};
      }
      return std::nullopt;
    case Segment::Kind::literal:
      break;
  }
  return check_literal(segment.text, is_last);
}

}  // namespace

std::string to_string(const PathError& error) {
  switch (error.kind) {
    case PathError::Kind::no_leading_slash:
      return "a path begins with a slash";
    case PathError::Kind::rest_not_last:
      return "* stands at a path's end only";
    case PathError::Kind::duplicate_capture:
      return "capture {" + error.text + "} stands twice";
    case PathError::Kind::invalid_segment:
      return "'" + error.text + "' is no segment of a path";
    case PathError::Kind::empty_segment:
      return "a path has no empty segment";
    case PathError::Kind::dot_segment:
      return "a path has no dot segments";
  }
  return "";
}

ParsedPath parse_path(std::string_view text) {
  if (!text.starts_with('/')) return {{}, PathError{PathError::Kind::no_leading_slash, ""}};
  Path path;
  bool is_last = false;
  while (!is_last) {
    text.remove_prefix(1);
    const std::size_t end = std::min(text.find('/'), text.size());
    is_last = end == text.size();
    Segment segment = make_segment(text.substr(0, end));
    text.remove_prefix(end);
    if (auto error = check_segment(path, segment, is_last)) return {{}, std::move(error)};
    path.push_back(std::move(segment));
  }
  return {std::move(path), std::nullopt};
}

}  // namespace alderspur::config_language

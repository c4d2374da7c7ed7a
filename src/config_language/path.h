// Parses the path pattern of a route into segments.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::config_language {

/// One segment of a path pattern.
struct Segment {
  enum class Kind {
    literal,
    capture,  // {name}: any text that is not empty
    rest,     // *: the remaining path; only as the last segment
  };

  Kind kind = Kind::literal;
  std::string text;  // a literal's text, a capture's name, or "*"

  bool operator==(const Segment&) const = default;
};

/// A path pattern as its segments in order.
using Path = std::vector<Segment>;

/// The reason why a text is not a valid path pattern.
struct PathError {
  enum class Kind {
    no_leading_slash,
    rest_not_last,
    duplicate_capture,
    invalid_segment,
    empty_segment,
    dot_segment,
  };

  Kind kind = Kind::no_leading_slash;
  std::string text;  // the invalid segment, or the duplicate capture's name
};

std::string to_string(const PathError& error);

/// A path, or the error that was found.
struct ParsedPath {
  Path path;
  std::optional<PathError> error;

  bool is_valid() const { return !error; }
};

/// Parses a pattern such as "/asset/{object}/{part}" or "/static/*".
ParsedPath parse_path(std::string_view text);

}  // namespace alderspur::config_language

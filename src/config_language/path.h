// The path of a route, segment by segment.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::config_language {

struct Segment {
  enum class Kind {
    literal,
    capture,  // {name}: any text but none
    rest,     // *: whatever follows; the last segment
  };

  Kind kind = Kind::literal;
  std::string text;  // a literal's text, a capture's name, or "*"

  bool operator==(const Segment&) const = default;
};

using Path = std::vector<Segment>;

/// Why a text is no path.
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

/// A path, or why there is none.
struct ParsedPath {
  Path path;
  std::optional<PathError> error;

  bool is_valid() const { return !error; }
};

/// From "/asset/{object}/{part}" or "/static/*".
ParsedPath parse_path(std::string_view text);

}  // namespace alderspur::config_language

// The text of a list before it is parsed: completeness, digests, and division into parts that can
// be parsed by themselves. Internal to the reading of lists (list.h has the form and the codes). No
// I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "endpoints/list.h"

namespace alderspur::endpoints {

/// The beginning of a first line with a digest.
constexpr std::string_view kDigestKey = "digest = \"";

/// Parses "xxh3:" and 16 hex digits.
std::optional<std::uint64_t> parse_digest(std::string_view text);

/// Checks a text's size and its last line. If it is false, the text is not worth parsing.
bool check_completeness(std::string_view text, const std::string& file, std::size_t max_bytes,
                        diagnostics::Findings& findings);

/// Checks the digest in the first line, if there is one, against the bytes after it.
bool check_digest(std::string_view text, const std::string& file, diagnostics::Findings& findings);

/// A part of the servers' text, to be parsed by itself.
struct ListPart {
  std::string_view text;
  std::string file;
  std::uint32_t piece_index = 0;
  std::uint32_t lines_before = 0;  // lines of the file before the part
};

/// A list whose servers are to be parsed in parts.
struct SplitList {
  std::string_view head;  // everything before the first server
  std::vector<ListPart> parts;
};
/// Splits a large list before [[server]] lines. Returns nothing if it is small, or if a part might
/// not mean by itself what it means in the whole: other tables after the first server, or strings
/// over several lines.
std::optional<SplitList> split_list(std::string_view text, const std::string& file,
                                    const ListLimits& limits);

}  // namespace alderspur::endpoints

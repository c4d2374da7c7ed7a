// Processes the text of a list before it is parsed: checks that it is complete, checks its digest,
// and splits it into parts that can be parsed independently. Internal to the reading of lists:
// list.h describes the text form and the codes of findings. No I/O.
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

/// The beginning of the first line of a text that contains its digest.
constexpr std::string_view kDigestKey = "digest = \"";

/// Parses "xxh3:" followed by 16 hexadecimal digits. Returns nothing if the text has another form.
std::optional<std::uint64_t> parse_digest(std::string_view text);

/// Checks the size of a text and that its last line is complete. If it returns false, with a
/// finding, the text must not be parsed.
bool check_completeness(std::string_view text, const std::string& file, std::size_t max_bytes,
                        diagnostics::Findings& findings);

/// Checks the digest in the first line, if there is one, against the bytes after that line. Returns
/// false, with a finding, if it is malformed or does not match.
bool check_digest(std::string_view text, const std::string& file, diagnostics::Findings& findings);

/// A part of a list's text that contains complete [[server]] tables and is parsed independently.
struct ListPart {
  std::string_view text;
  std::string file;
  std::uint32_t piece_index = 0;
  std::uint32_t lines_before = 0;  // the number of lines before the part in its file
};

/// The text of a list, split so that its servers can be parsed in parts.
struct SplitList {
  std::string_view head;  // everything before the first server
  std::vector<ListPart> parts;
};
/// Splits the text of a large list before [[server]] lines. Returns nothing if the text is small,
/// or if a part could have a different meaning when it is parsed separately, which is possible with
/// other tables after the first server and with multi-line strings.
std::optional<SplitList> split_list(std::string_view text, const std::string& file,
                                    const ListLimits& limits);

}  // namespace alderspur::endpoints

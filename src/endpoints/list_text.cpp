#include "endpoints/list_text.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include "core/parsing.h"

namespace alderspur::endpoints {
namespace {

constexpr std::string_view kDigestPrefix = "xxh3:";
constexpr std::size_t kDigestDigits = 16;

bool has_multi_line_strings(std::string_view text) {
  return text.find(R"(""")") != std::string_view::npos ||
         text.find("'''") != std::string_view::npos;
}

std::string_view without_indent(std::string_view line) {
  line.remove_prefix(std::min(line.size(), line.find_first_not_of(" \t")));
  return line;
}

}  // namespace

std::optional<std::uint64_t> parse_digest(std::string_view text) {
  if (!text.starts_with(kDigestPrefix)) return {};
  text.remove_prefix(kDigestPrefix.size());
  if (!core::is_hex_word(text, kDigestDigits)) return {};
  return core::parse_number<std::uint64_t>(text, 16);
}

bool check_completeness(std::string_view text, const std::string& file, std::size_t max_bytes,
                        diagnostics::Findings& findings) {
  if (text.size() > max_bytes) {
    findings.error("L002", {file, 0, 0},
                   "the file has " + std::to_string(text.size()) +
                       " bytes, more than the limit of " + std::to_string(max_bytes),
                   "split the list into pieces");
    return false;
  }
  // A last line without a newline may be truncated: "weight = 10" may be the beginning of
  // "weight = 100".
  if (text.empty() || text.back() != '\n') {
    const auto line = 1 + std::count(text.begin(), text.end(), '\n');
    findings.error("L003", {file, static_cast<std::uint32_t>(line), 0},
                   text.empty() ? "the file is empty" : "the last line does not end with a newline",
                   "the file is incomplete: write it again and rename it into place");
    return false;
  }
  return true;
}

bool check_digest(std::string_view text, const std::string& file, diagnostics::Findings& findings) {
  if (!text.starts_with(kDigestKey)) return true;
  const auto line_end = text.find('\n');
  const auto quote = text.find('"', kDigestKey.size());
  std::optional<std::uint64_t> written;
  if (quote < line_end) {
    written = parse_digest(text.substr(kDigestKey.size(), quote - kDigestKey.size()));
  }
  if (!written) {
    findings.error("L006", {file, 1, 1},
                   "the digest is not 'xxh3:' followed by 16 hexadecimal digits",
                   "run `alderspur seal` on the file");
    return false;
  }
  const auto computed = compute_digest(text.substr(line_end + 1));
  if (computed == *written) return true;
  findings.error("L006", {file, 1, 1},
                 "the digest is " + format_digest(*written) +
                     ", but the content after it has the digest " + format_digest(computed),
                 "the file is incomplete, or was edited: run `alderspur seal` on it");
  return false;
}

std::optional<SplitList> split_list(std::string_view text, const std::string& file,
                                    const ListLimits& limits) {
  if (!limits.is_read_in_parts(text.size()) || has_multi_line_strings(text)) return {};
  SplitList result;
  bool has_server = false;
  std::size_t part_begin = 0;
  std::uint32_t part_line = 0;
  std::uint32_t line = 0;
  const auto end_part_at = [&](std::size_t end) {
    result.parts.push_back({text.substr(part_begin, end - part_begin), file, 0, part_line});
  };
  for (std::size_t begin = 0; begin < text.size(); ++line) {
    const auto end = std::min(text.find('\n', begin), text.size());
    const auto content = without_indent(text.substr(begin, end - begin));
    const bool is_server = content == "[[server]]";
    if (has_server && !is_server && content.starts_with('[')) return {};
    const bool is_first_server = is_server && !has_server;
    const bool is_part_full = has_server && begin - part_begin >= limits.part_bytes;
    if (is_first_server) {
      result.head = text.substr(0, begin);
      has_server = true;
    } else if (is_server && is_part_full) {
      end_part_at(begin);
    }
    if (is_first_server || (is_server && is_part_full)) {
      part_begin = begin;
      part_line = line;
    }
    begin = end + 1;
  }
  if (!has_server) return {};
  end_part_at(text.size());
  return result;
}

std::uint64_t compute_digest(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::string format_digest(std::uint64_t digest) {
  std::array<char, kDigestDigits + 1> digits{};
  std::snprintf(digits.data(), digits.size(), "%016" PRIx64, digest);
  return std::string(kDigestPrefix) + digits.data();
}

std::string with_digest(std::string_view text) {
  if (text.starts_with(kDigestKey)) text.remove_prefix(std::min(text.size(), text.find('\n') + 1));
  std::string rest(text);
  if (rest.empty() || rest.back() != '\n') rest += '\n';
  return std::string(kDigestKey) + format_digest(compute_digest(rest)) + "\"\n" + rest;
}

}  // namespace alderspur::endpoints

// TOML documents read with findings instead of exceptions: each key is asked for once, with its
// type, its unit and its bounds, and what nobody asked for is reported with the nearest key that is
// known.
//
// Source of the form: TOML 1.0.0, read by toml++. Durations and sizes are strings with a unit ("250
// ms", "64 MB"): a bare number is refused, since a value in milliseconds where seconds were meant
// reads just as well. A Document owns the tree and must outlive its Tables. Not thread-safe; use
// one per thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"

namespace alderspur::toml {

using diagnostics::Findings;
using diagnostics::Place;

class Table {
 public:
  Table() = default;  // empty: every key is absent
  Place place() const;
  Place place(std::string_view key) const;  // of its value, else of the table
  bool has(std::string_view key) const;

  // Absent keys give nothing, and a finding where `required`; so does a value of another type.
  std::optional<std::string> text(std::string_view key, bool required = false);
  std::optional<std::int64_t> integer(std::string_view key, std::int64_t least, std::int64_t most,
                                      bool required = false);
  std::optional<double> real(std::string_view key, double least, double most,
                             bool required = false);
  std::optional<bool> flag(std::string_view key);
  // Microseconds, from "250 ms", "2.5 s", "10 min", "6 h".
  std::optional<std::int64_t> duration(std::string_view key, std::int64_t least, std::int64_t most);
  // Bytes, from "64 MB", "16 MiB", "512 B".
  std::optional<std::int64_t> size(std::string_view key, std::int64_t least, std::int64_t most);
  std::optional<std::string> word(std::string_view key,
                                  const std::vector<std::string_view>& allowed,
                                  bool required = false);
  std::vector<std::string> words(std::string_view key);  // an array of texts
  Table table(std::string_view key);
  std::vector<Table> tables(std::string_view key);  // [[key]]
  std::vector<std::pair<std::string, std::string>>
  texts();  // all keys of a free table with text values
  // Reports every key that was not asked for. Call it last.
  void finish();

 private:
  friend class Document;
  const void* find(std::string_view key);
  void wrong(std::string_view key, const std::string& text, std::string mend = {});
  struct Measure {  // of a number with its unit, in a text
    std::optional<double> (*parse)(std::string_view);
    std::string (*shown)(std::int64_t);
    const char *wanted, *example;
  };
  std::optional<std::int64_t> measured(std::string_view key, std::int64_t least, std::int64_t most,
                                       const Measure& measure);
  const void* node_ = nullptr;     // a ::toml::table
  const Place* origin_ = nullptr;  // the file, and how many lines of it stand before this text
  Findings* findings_ = nullptr;
  std::vector<std::string_view> asked_;  // string literals of the callers
};

class Document {
 public:
  // Never throws on bad text: the finding says where it stops to be TOML, and root() is then empty.
  // `before` is the number of the file's lines that stand before this text.
  Document(std::string_view text, std::string file, Findings& findings, std::string_view code,
           std::uint32_t before = 0);
  ~Document();
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;
  bool read() const { return read_; }
  Table root();

 private:
  struct Tree;
  std::unique_ptr<Tree> tree_;
  Place origin_;
  Findings& findings_;
  bool read_ = false;
};

// "2.5 s" in microseconds, "64 MB" in bytes; nothing if the text has no number, no unit or another
// unit.
std::optional<double> parse_duration(std::string_view text);
std::optional<double> parse_size(std::string_view text);
std::string duration_text(std::int64_t microseconds);
[[noreturn]] void malformed();  // what the reader does where toml++ would end the program

}  // namespace alderspur::toml

// TOML 1.0.0 documents, parsed by toml++, read with findings in place of exceptions.
//
// A reader asks for each key that it knows, with its type, unit and bounds; whatever is wrong with
// a value becomes a finding. Keys that were never asked for are reported with the most similar key
// that is known. Durations and sizes are strings with a unit ("250 ms", "64 MB"): a bare number is
// rejected, since a reader cannot tell milliseconds from seconds.
//
// Codes: F002 a missing key, F003 a value of a wrong type or out of bounds, F004 an unknown key.
// Not thread-safe; use one document per thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "toml/quantity.h"

namespace alderspur::toml {

using diagnostics::Findings;
using diagnostics::Location;

/// A key with its text.
struct TextEntry {
  std::string key;
  std::string text;
};

/// A table of a Document, which must outlive it.
///
/// The readers below return nothing if the key is absent, which is a finding if it `is_required`,
/// and if the value is not valid, which always is one. Bounds are inclusive. Keys must be string
/// literals, or outlive the table.
class Table {
 public:
  /// An empty table, in which every key is absent.
  Table() = default;

  /// Where the table stands.
  Location location() const;
  /// Where the key's value stands, or the table if the key is absent.
  Location location(std::string_view key) const;
  bool has(std::string_view key) const;

  std::optional<std::string> text(std::string_view key, bool is_required = false);
  std::optional<std::int64_t> integer(std::string_view key, std::int64_t min, std::int64_t max,
                                      bool is_required = false);
  /// A finite number.
  std::optional<double> real(std::string_view key, double min, double max,
                             bool is_required = false);
  std::optional<bool> flag(std::string_view key);
  /// In microseconds, from "250 ms", "2.5 s", "10 min", "6 h".
  std::optional<std::int64_t> duration(std::string_view key, std::int64_t min, std::int64_t max);
  /// In bytes, from "64 MB", "16 MiB", "512 B".
  std::optional<std::int64_t> size(std::string_view key, std::int64_t min, std::int64_t max);
  /// One of the allowed words.
  std::optional<std::string> keyword(std::string_view key,
                                     const std::vector<std::string_view>& allowed,
                                     bool is_required = false);
  /// From an array of texts; empty if the key is absent or the value is not valid.
  std::vector<std::string> text_list(std::string_view key);
  /// From [key]; empty if the key is absent or the value is not valid.
  Table table(std::string_view key);
  /// From [[key]]. Elements of the array that are no tables are reported and passed over.
  std::vector<Table> tables(std::string_view key);
  /// All keys of a table whose keys the caller cannot know, and whose values must be texts.
  std::vector<TextEntry> text_entries();

  /// Reports every key that was not asked for. To be called last.
  void finish();

 private:
  friend class Document;
  /// How numbers with a unit are read and reported.
  struct QuantityFormat {
    std::optional<double> (*parse)(std::string_view);
    std::string (*format)(std::int64_t);
    const char* expected;
    const char* example;
  };

  Table(const void* node, const Location* origin, Findings* findings);

  const void* find(std::string_view key);
  /// Reports the key if it is absent.
  const void* find_required(std::string_view key, bool is_required);
  void report(std::string_view key, const std::string& text, std::string suggestion = {});
  std::optional<std::int64_t> quantity(std::string_view key, std::int64_t min, std::int64_t max,
                                       const QuantityFormat& format);

  const void* node_ = nullptr;        // a ::toml::table, which this header does not include
  const Location* origin_ = nullptr;  // the file, and the number of its lines before the text
  Findings* findings_ = nullptr;      // null in an empty table
  std::vector<std::string_view> known_keys_;
};

/// A parsed text. Owns the nodes of its tables.
class Document {
 public:
  /// Never throws on a text that is no TOML: it is reported with `code`, and root() is then empty.
  /// `preceding_lines` is the number of the file's lines that stand before this text.
  Document(std::string_view text, std::string file, Findings& findings, std::string_view code,
           std::uint32_t preceding_lines = 0);
  ~Document();
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  /// Whether the text is TOML.
  bool is_valid() const { return is_valid_; }
  Table root();

 private:
  struct Tree;

  void parse(std::string_view text, const std::string& code);

  std::unique_ptr<Tree> tree_;
  Location origin_;
  Findings& findings_;
  bool is_valid_ = false;
};

/// Called in place of toml++'s assertions, which would end the program. Throws std::logic_error.
[[noreturn]] void throw_malformed();

}  // namespace alderspur::toml

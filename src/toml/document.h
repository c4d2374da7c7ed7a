// Reads TOML 1.0.0 documents, which toml++ parses, and reports errors as findings instead of
// exceptions.
//
// The caller reads each supported key with its type, unit and bounds; an invalid value is reported
// as a finding. Keys that were not read are reported as unknown, with the most similar supported
// key. Durations and sizes are strings with a unit ("250 ms", "64 MB"). A number without a unit is
// rejected because it would be ambiguous (milliseconds or seconds).
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

/// A key and its string value.
struct TextEntry {
  std::string key;
  std::string text;
};

/// A table of a Document. The document must outlive the table.
///
/// The methods that read a value return nullopt if the key is absent or its value is invalid. An
/// invalid value is always reported as a finding; an absent key only if it `is_required`. Bounds
/// are inclusive. Keys must be string literals, or outlive the table.
class Table {
 public:
  /// Creates an empty table, in which every key is absent.
  Table() = default;

  /// Returns the location of the table.
  Location location() const;
  /// Returns the location of the key's value, or that of the table if the key is absent.
  Location location(std::string_view key) const;
  /// Reports whether the key is present.
  bool has(std::string_view key) const;

  /// Reads a string.
  std::optional<std::string> text(std::string_view key, bool is_required = false);
  /// Reads an integer.
  std::optional<std::int64_t> integer(std::string_view key, std::int64_t min, std::int64_t max,
                                      bool is_required = false);
  /// Reads a finite number.
  std::optional<double> real(std::string_view key, double min, double max,
                             bool is_required = false);
  /// Reads a Boolean.
  std::optional<bool> flag(std::string_view key);
  /// Reads a duration in microseconds from a string such as "250 ms", "2.5 s", "10 min" or "6 h".
  std::optional<std::int64_t> duration(std::string_view key, std::int64_t min, std::int64_t max);
  /// Reads a size in bytes from a string such as "64 MB", "16 MiB" or "512 B".
  std::optional<std::int64_t> size(std::string_view key, std::int64_t min, std::int64_t max);
  /// Reads a string that must be one of the allowed words.
  std::optional<std::string> keyword(std::string_view key,
                                     const std::vector<std::string_view>& allowed,
                                     bool is_required = false);
  /// Reads an array of strings; empty if the key is absent or its value is invalid.
  std::vector<std::string> text_list(std::string_view key);
  /// Returns the table [key]; empty if the key is absent or its value is not a table.
  Table table(std::string_view key);
  /// Returns the array of tables [[key]]. Elements that are not tables are reported and skipped.
  std::vector<Table> tables(std::string_view key);
  /// Reads all entries of a table whose keys are not fixed and whose values must be strings.
  std::vector<TextEntry> text_entries();

  /// Reports every key that was not read. Must be called after all keys have been read.
  void finish();

 private:
  friend class Document;
  /// The functions and texts with which numbers with a unit are parsed and reported.
  struct QuantityFormat {
    std::optional<double> (*parse)(std::string_view);
    std::string (*format)(std::int64_t);
    const char* expected;
    const char* example;
  };

  Table(const void* node, const Location* origin, Findings* findings);

  /// Records the key as known and returns its value; null if the key is absent.
  const void* find(std::string_view key);
  /// Like find(), but also reports the key if it is absent and `is_required`.
  const void* find_required(std::string_view key, bool is_required);
  /// Reports an invalid value of the key.
  void report(std::string_view key, const std::string& text, std::string suggestion = {});
  std::optional<std::int64_t> quantity(std::string_view key, std::int64_t min, std::int64_t max,
                                       const QuantityFormat& format);

  const void* node_ = nullptr;        // points to a ::toml::table; toml++ is not included here
  const Location* origin_ = nullptr;  // the file and its number of lines before the text
  Findings* findings_ = nullptr;      // null in an empty table
  std::vector<std::string_view> known_keys_;
};

/// A parsed TOML text. Owns the nodes of its tables.
class Document {
 public:
  /// Parses `text`. Text that is not valid TOML is reported with `code` instead of thrown, and
  /// root() is then empty.
  /// `preceding_lines` is the number of lines of the file before `text`.
  Document(std::string_view text, std::string file, Findings& findings, std::string_view code,
           std::uint32_t preceding_lines = 0);
  ~Document();
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  /// Reports whether the text is valid TOML.
  bool is_valid() const { return is_valid_; }
  /// Returns the top-level table.
  Table root();

 private:
  struct Tree;

  void parse(std::string_view text, const std::string& code);

  std::unique_ptr<Tree> tree_;
  Location origin_;
  Findings& findings_;
  bool is_valid_ = false;
};

/// Throws std::logic_error. Replaces the assertions of toml++, which would abort the process.
[[noreturn]] void throw_malformed();

}  // namespace alderspur::toml

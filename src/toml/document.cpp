#include "toml/document.h"

#include <stdexcept>

// On some malformed keys, toml++ 3.3 fails an assertion, which would abort the process, or has
// undefined behaviour if NDEBUG is defined. Here, the assertion throws an exception instead.
// tests/endpoints/list_test.cpp covers such keys.
#undef NDEBUG
namespace alderspur::toml {
[[noreturn]] void throw_malformed() { throw std::logic_error("malformed key or value"); }
}  // namespace alderspur::toml
#define TOML_ASSERT(expr) (static_cast<bool>(expr) ? void() : ::alderspur::toml::throw_malformed())
#define TOML_IMPLEMENTATION
#define TOML_HEADER_ONLY 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace alderspur::toml {
namespace {

constexpr const char* kRewriteFile =
    "the file is incomplete or malformed; write a new file and rename it into place";

const ::toml::table& as_table(const void* node) { return *static_cast<const ::toml::table*>(node); }

const ::toml::node* as_node(const void* node) { return static_cast<const ::toml::node*>(node); }

Location locate(const ::toml::source_region& region, const Location& origin) {
  return {origin.file, region.begin.line + origin.line, region.begin.column};
}

std::string bounds_text(const std::string& min, const std::string& max) {
  return "the allowed range is " + min + " to " + max;
}

std::string format_bytes(std::int64_t bytes) { return std::to_string(bytes) + " B"; }

}  // namespace

Table::Table(const void* node, const Location* origin, Findings* findings)
    : node_(node), origin_(origin), findings_(findings) {}

Location Table::location() const {
  return node_ ? locate(as_table(node_).source(), *origin_) : Location{};
}

Location Table::location(std::string_view key) const {
  const auto* value = node_ ? as_table(node_).get(key) : nullptr;
  return value ? locate(value->source(), *origin_) : location();
}

bool Table::has(std::string_view key) const { return node_ && as_table(node_).contains(key); }

const void* Table::find(std::string_view key) {
  known_keys_.push_back(key);
  return node_ ? as_table(node_).get(key) : nullptr;
}

const void* Table::find_required(std::string_view key, bool is_required) {
  const void* value = find(key);
  if (!value && is_required && findings_) {
    findings_->error("F002", location(), "the key " + std::string(key) + " is missing", "add it");
  }
  return value;
}

void Table::report(std::string_view key, const std::string& text, std::string suggestion) {
  if (!findings_) return;
  findings_->error("F003", location(key), std::string(key) + ": " + text, std::move(suggestion));
}

std::optional<std::string> Table::text(std::string_view key, bool is_required) {
  const auto* value = as_node(find_required(key, is_required));
  if (!value) return std::nullopt;
  if (const auto* text = value->as_string()) return text->get();
  report(key, "expected a string in quotes");
  return std::nullopt;
}

std::vector<std::string> Table::text_list(std::string_view key) {
  const auto* value = as_node(find(key));
  if (!value) return {};
  const auto* array = value->as_array();
  const bool is_valid = array && std::all_of(array->begin(), array->end(),
                                             [](const auto& item) { return item.is_string(); });
  if (!is_valid) {
    report(key, "expected an array of strings in quotes");
    return {};
  }
  std::vector<std::string> texts;
  for (const auto& item : *array) texts.push_back(item.as_string()->get());
  return texts;
}

std::optional<std::int64_t> Table::integer(std::string_view key, std::int64_t min, std::int64_t max,
                                           bool is_required) {
  const auto* value = as_node(find_required(key, is_required));
  if (!value) return std::nullopt;
  const auto* integer = value->as_integer();
  if (!integer) {
    report(key, "expected an integer");
    return std::nullopt;
  }
  if (integer->get() < min || integer->get() > max) {
    report(key, std::to_string(integer->get()) + " is out of bounds",
           bounds_text(std::to_string(min), std::to_string(max)));
    return std::nullopt;
  }
  return integer->get();
}

std::optional<double> Table::real(std::string_view key, double min, double max, bool is_required) {
  const auto* value = as_node(find_required(key, is_required));
  if (!value) return std::nullopt;
  const auto number = value->is_number() ? value->value<double>() : std::nullopt;
  if (!number) {
    report(key, "expected a number");
    return std::nullopt;
  }
  if (!std::isfinite(*number)) {
    report(key, "the number is not finite");
    return std::nullopt;
  }
  if (*number < min || *number > max) {
    report(key, format_number(*number) + " is out of bounds",
           bounds_text(format_number(min), format_number(max)));
    return std::nullopt;
  }
  return number;
}

std::optional<bool> Table::flag(std::string_view key) {
  const auto* value = as_node(find(key));
  if (!value) return std::nullopt;
  if (const auto* flag = value->as_boolean()) return flag->get();
  report(key, "expected true or false");
  return std::nullopt;
}

std::optional<std::int64_t> Table::quantity(std::string_view key, std::int64_t min,
                                            std::int64_t max, const QuantityFormat& format) {
  const auto* value = as_node(find(key));
  if (!value) return std::nullopt;
  const auto* text = value->as_string();
  const auto number = text ? format.parse(text->get()) : std::nullopt;
  if (!number) {
    report(key, format.expected, format.example);
    return std::nullopt;
  }
  if (*number < static_cast<double>(min) || *number > static_cast<double>(max)) {
    report(key, text->get() + " is out of bounds",
           bounds_text(format.format(min), format.format(max)));
    return std::nullopt;
  }
  return static_cast<std::int64_t>(*number);
}

std::optional<std::int64_t> Table::duration(std::string_view key, std::int64_t min,
                                            std::int64_t max) {
  return quantity(key, min, max,
                  {parse_duration, format_duration, "expected a duration with its unit",
                   R"(such as "250 ms" or "2 s")"});
}

std::optional<std::int64_t> Table::size(std::string_view key, std::int64_t min, std::int64_t max) {
  return quantity(key, min, max,
                  {parse_size, format_bytes, "expected a size with its unit",
                   R"(such as "64 MB" or "512 KiB")"});
}

std::optional<std::string> Table::keyword(std::string_view key,
                                          const std::vector<std::string_view>& allowed,
                                          bool is_required) {
  auto word = text(key, is_required);
  if (!word) return std::nullopt;
  if (std::find(allowed.begin(), allowed.end(), *word) != allowed.end()) return word;
  std::string all_allowed;
  for (const auto candidate : allowed) {
    if (!all_allowed.empty()) all_allowed += ", ";
    all_allowed += candidate;
  }
  const std::string match = diagnostics::closest_match(*word, allowed);
  report(key, "'" + *word + "' is not one of " + all_allowed,
         match.empty() ? "" : "did you mean '" + match + "'?");
  return std::nullopt;
}

Table Table::table(std::string_view key) {
  const auto* value = as_node(find(key));
  if (!value) return {};
  if (!value->is_table()) {
    report(key, "expected a table", "[" + std::string(key) + "]");
    return {};
  }
  return {value->as_table(), origin_, findings_};
}

std::vector<Table> Table::tables(std::string_view key) {
  const auto* value = as_node(find(key));
  if (!value) return {};
  const auto* array = value->as_array();
  if (!array) {
    report(key, "expected an array of tables", "[[" + std::string(key) + "]]");
    return {};
  }
  std::vector<Table> tables;
  tables.reserve(array->size());
  for (const auto& element : *array) {
    if (element.is_table()) {
      tables.push_back(Table(element.as_table(), origin_, findings_));
    } else if (findings_) {
      findings_->error("F003", locate(element.source(), *origin_),
                       std::string(key) + ": the element is not a table");
    }
  }
  return tables;
}

std::vector<TextEntry> Table::text_entries() {
  if (!node_) return {};
  std::vector<TextEntry> entries;
  for (const auto& [key, value] : as_table(node_)) {
    if (const auto* text = value.as_string()) {
      entries.push_back({std::string(key.str()), text->get()});
    } else if (findings_) {
      findings_->error("F003", locate(value.source(), *origin_), "expected a string in quotes");
    }
  }
  return entries;
}

void Table::finish() {
  if (!node_ || !findings_) return;
  for (const auto& [key, value] : as_table(node_)) {
    const bool is_known =
        std::find(known_keys_.begin(), known_keys_.end(), key.str()) != known_keys_.end();
    if (is_known) continue;
    const std::string match = diagnostics::closest_match(key.str(), known_keys_);
    findings_->error("F004", locate(key.source(), *origin_),
                     "the key " + std::string(key.str()) + " is not known",
                     match.empty() ? "remove it" : "did you mean " + match + "?");
  }
}

struct Document::Tree {
  ::toml::table root;
};

Document::Document(std::string_view text, std::string file, Findings& findings,
                   std::string_view code, std::uint32_t preceding_lines)
    : tree_(std::make_unique<Tree>()),
      origin_{std::move(file), preceding_lines, 0},
      findings_(findings) {
  parse(text, std::string(code));
  if (!is_valid_) tree_->root.clear();
}

Document::~Document() = default;

void Document::parse(std::string_view text, const std::string& code) {
  if (const std::size_t nul = text.find('\0'); nul != std::string_view::npos) {
    const std::string_view preceding = text.substr(0, nul);
    const auto line = 1 + std::count(preceding.begin(), preceding.end(), '\n');
    findings_.error(code, {origin_.file, static_cast<std::uint32_t>(line) + origin_.line, 0},
                    "the file contains a NUL byte", "it is binary or was written only in part");
    return;
  }
  try {
    tree_->root = ::toml::parse(text, std::string_view{origin_.file});
    is_valid_ = true;
  } catch (const ::toml::parse_error& error) {
    findings_.error(code, locate(error.source(), origin_), std::string(error.description()),
                    kRewriteFile);
  } catch (const std::exception& error) {
    findings_.error(code, {origin_.file, 0, 0}, std::string("not valid TOML: ") + error.what(),
                    kRewriteFile);
  }
}

Table Document::root() { return {&tree_->root, &origin_, &findings_}; }

}  // namespace alderspur::toml

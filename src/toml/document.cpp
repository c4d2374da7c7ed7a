#include "toml/document.h"

#include <stdexcept>

// toml++ 3.3 answers some malformed keys with an assertion, which would end the program, and with
// NDEBUG with undefined behaviour. Here the assertion throws instead. tests/endpoints/list_test.cpp
// covers such keys.
#undef NDEBUG
namespace alderspur::toml {
[[noreturn]] void malformed() { throw std::logic_error("malformed key or value"); }
}  // namespace alderspur::toml
#define TOML_ASSERT(expr) (static_cast<bool>(expr) ? void() : ::alderspur::toml::malformed())
#define TOML_IMPLEMENTATION
#define TOML_HEADER_ONLY 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "core/parsing.h"

namespace alderspur::toml {
namespace {

const ::toml::table& tree(const void* node) { return *static_cast<const ::toml::table*>(node); }
Place place_of(const ::toml::source_region& at, const Place& origin) {
  return {origin.file, at.begin.line + origin.line, at.begin.column};
}
std::string number_text(double v) {
  char out[32];
  std::snprintf(out, sizeof out, "%g", v);
  return out;
}

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kDurations[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}};
constexpr Unit kSizes[] = {{"B", 1},         {"KB", 1e3},      {"MB", 1e6},     {"GB", 1e9},
                           {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}};

template <std::size_t N>
std::optional<double> quantity(std::string_view text, const Unit (&units)[N]) {
  const auto end = text.find_first_not_of("0123456789.");
  if (end == std::string_view::npos || end == 0) return {};
  const auto value = core::parse_number<double>(text.substr(0, end));
  if (!value) return {};
  auto unit = text.substr(end);
  while (unit.starts_with(' ')) unit.remove_prefix(1);
  for (const auto& u : units) {
    if (u.name == unit) return *value * u.factor;
  }
  return {};
}

}  // namespace

std::optional<double> parse_duration(std::string_view text) { return quantity(text, kDurations); }
std::optional<double> parse_size(std::string_view text) { return quantity(text, kSizes); }

std::string duration_text(std::int64_t us) {
  const auto v = static_cast<double>(us);
  if (us >= 3'600'000'000 && us % 3'600'000'000 == 0) return number_text(v / 3600e6) + " h";
  if (us >= 1'000'000) return number_text(v / 1e6) + " s";
  if (us >= 1000) return number_text(v / 1e3) + " ms";
  return number_text(v) + " us";
}

Place Table::place() const { return node_ ? place_of(tree(node_).source(), *origin_) : Place{}; }
Place Table::place(std::string_view key) const {
  const auto* n = node_ ? tree(node_).get(key) : nullptr;
  return n ? place_of(n->source(), *origin_) : place();
}
bool Table::has(std::string_view key) const { return node_ && tree(node_).contains(key); }

const void* Table::find(std::string_view key) {
  asked_.push_back(key);
  return node_ ? tree(node_).get(key) : nullptr;
}
void Table::wrong(std::string_view key, const std::string& text, std::string mend) {
  if (findings_) {
    findings_->error("F003", place(key), std::string(key) + ": " + text, std::move(mend));
  }
}

std::optional<std::string> Table::text(std::string_view key, bool required) {
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) {
    if (required && findings_) {
      findings_->error("F002", place(), "the key " + std::string(key) + " is missing", "add it");
    }
    return {};
  }
  if (const auto* s = n->as_string()) return s->get();
  wrong(key, "a text in quotes is wanted here");
  return {};
}
std::vector<std::string> Table::words(std::string_view key) {
  std::vector<std::string> out;
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) return out;
  const auto* list = n->as_array();
  if (!list) return wrong(key, "a list of texts in quotes is wanted here"), out;
  for (const auto& item : *list) {
    if (const auto* s = item.as_string()) {
      out.push_back(s->get());
    } else {
      return wrong(key, "a list of texts in quotes is wanted here"), std::vector<std::string>();
    }
  }
  return out;
}
std::optional<std::int64_t> Table::integer(std::string_view key, std::int64_t least,
                                           std::int64_t most, bool required) {
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) {
    if (required && findings_) {
      findings_->error("F002", place(), "the key " + std::string(key) + " is missing", "add it");
    }
    return {};
  }
  const auto* i = n->as_integer();
  if (!i) return wrong(key, "a whole number is wanted here"), std::nullopt;
  if (i->get() < least || i->get() > most) {
    wrong(key, std::to_string(i->get()) + " is out of bounds",
          "it may be " + std::to_string(least) + " to " + std::to_string(most));
    return {};
  }
  return i->get();
}
std::optional<double> Table::real(std::string_view key, double least, double most, bool required) {
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) {
    if (required && findings_) {
      findings_->error("F002", place(), "the key " + std::string(key) + " is missing", "add it");
    }
    return {};
  }
  const auto v = n->is_number() ? n->value<double>() : std::nullopt;
  if (!v) return wrong(key, "a number is wanted here"), std::nullopt;
  if (!std::isfinite(*v)) return wrong(key, "the number is not finite"), std::nullopt;
  if (*v < least || *v > most) {
    wrong(key, number_text(*v) + " is out of bounds",
          "it may be " + number_text(least) + " to " + number_text(most));
    return {};
  }
  return v;
}
std::optional<bool> Table::flag(std::string_view key) {
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) return {};
  if (const auto* b = n->as_boolean()) return b->get();
  wrong(key, "true or false is wanted here");
  return {};
}
std::optional<std::int64_t> Table::measured(std::string_view key, std::int64_t least,
                                            std::int64_t most, const Measure& measure) {
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) return {};
  const auto* s = n->as_string();
  const auto v = s ? measure.parse(s->get()) : std::nullopt;
  if (!v) return wrong(key, measure.wanted, measure.example), std::nullopt;
  if (*v < static_cast<double>(least) || *v > static_cast<double>(most)) {
    wrong(key, s->get() + " is out of bounds",
          "it may be " + measure.shown(least) + " to " + measure.shown(most));
    return {};
  }
  return static_cast<std::int64_t>(*v);
}
std::optional<std::int64_t> Table::duration(std::string_view key, std::int64_t least,
                                            std::int64_t most) {
  return measured(key, least, most,
                  {parse_duration, duration_text, "a duration with its unit is wanted here",
                   R"(such as "250 ms" or "2 s")"});
}
std::optional<std::int64_t> Table::size(std::string_view key, std::int64_t least,
                                        std::int64_t most) {
  const auto bytes = [](std::int64_t n) { return std::to_string(n) + " B"; };
  return measured(key, least, most,
                  {parse_size, bytes, "a size with its unit is wanted here",
                   R"(such as "64 MB" or "512 KiB")"});
}
std::optional<std::string> Table::word(std::string_view key,
                                       const std::vector<std::string_view>& allowed,
                                       bool required) {
  auto given = text(key, required);
  if (!given || std::find(allowed.begin(), allowed.end(), *given) != allowed.end()) return given;
  std::string all;
  for (const auto a : allowed) ((all += all.empty() ? "" : ", ") += a);
  const auto near = diagnostics::nearest(*given, allowed);
  wrong(key, "'" + *given + "' is none of " + all,
        near.empty() ? "" : "did you mean '" + near + "'?");
  return {};
}

Table Table::table(std::string_view key) {
  Table out;
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) return out;
  if (!n->is_table()) {
    return wrong(key, "a table is wanted here", "[" + std::string(key) + "]"), out;
  }
  out.node_ = n->as_table();
  out.origin_ = origin_;
  out.findings_ = findings_;
  return out;
}
std::vector<Table> Table::tables(std::string_view key) {
  std::vector<Table> out;
  const auto* n = static_cast<const ::toml::node*>(find(key));
  if (!n) return out;
  const auto* a = n->as_array();
  if (!a) return wrong(key, "a list of tables is wanted here", "[[" + std::string(key) + "]]"), out;
  out.reserve(a->size());
  for (const auto& e : *a) {
    if (!e.is_table()) {
      if (findings_) {
        findings_->error("F003", place_of(e.source(), *origin_),
                         std::string(key) + ": not a table");
      }
      continue;
    }
    Table t;
    t.node_ = e.as_table();
    t.origin_ = origin_;
    t.findings_ = findings_;
    out.push_back(std::move(t));
  }
  return out;
}
std::vector<std::pair<std::string, std::string>> Table::texts() {
  std::vector<std::pair<std::string, std::string>> out;
  if (!node_) return out;
  for (const auto& [k, v] : tree(node_)) {
    if (const auto* s = v.as_string()) {
      out.emplace_back(k.str(), s->get());
    } else if (findings_) {
      findings_->error("F003", place_of(v.source(), *origin_), "a text in quotes is wanted here");
    }
  }
  return out;
}

void Table::finish() {
  if (!node_ || !findings_) return;
  for (const auto& [k, v] : tree(node_)) {
    if (std::find(asked_.begin(), asked_.end(), k.str()) != asked_.end()) continue;
    const auto near = diagnostics::nearest(k.str(), asked_);
    findings_->error("F004", place_of(k.source(), *origin_),
                     "the key " + std::string(k.str()) + " is not known",
                     near.empty() ? "remove it" : "did you mean " + near + "?");
  }
}

struct Document::Tree {
  ::toml::table root;
};

Document::Document(std::string_view text, std::string file, Findings& findings,
                   std::string_view code, std::uint32_t before)
    : tree_(std::make_unique<Tree>()), origin_{std::move(file), before, 0}, findings_(findings) {
  if (const auto nul = text.find('\0'); nul != std::string_view::npos) {
    const auto line =
        1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(nul), '\n');
    findings_.error(std::string(code),
                    {origin_.file, static_cast<std::uint32_t>(line) + origin_.line, 0},
                    "a NUL byte stands in the file", "it is binary, or was half written");
    return;
  }
  try {
    tree_->root = ::toml::parse(text, std::string_view{origin_.file});
    read_ = true;
  } catch (const ::toml::parse_error& e) {
    findings_.error(std::string(code), place_of(e.source(), origin_), std::string(e.description()),
                    "the file is not whole TOML: write it anew and rename it into place");
  } catch (const std::exception& e) {
    findings_.error(std::string(code), {origin_.file, 0, 0}, std::string("no TOML: ") + e.what(),
                    "the file is not whole TOML: write it anew and rename it into place");
  }
  if (!read_) tree_->root.clear();
}
Document::~Document() = default;

Table Document::root() {
  Table out;
  out.node_ = &tree_->root;
  out.origin_ = &origin_;
  out.findings_ = &findings_;
  return out;
}

}  // namespace alderspur::toml

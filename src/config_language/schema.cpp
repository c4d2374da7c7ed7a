#include "config_language/schema.h"

#include <utility>

namespace alderspur::config_language {
namespace {

using Type = Field::Type;
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
constexpr double kHour = 3600e6;
constexpr double kMaxCell = 4e9;
constexpr double kMaxCount = 1e6;
constexpr double kMinRate = 0.01;
constexpr double kMaxRate = 1e7;

Field number(std::string_view key, Type type, Measure measure, double min, double max) {
  Field field;
  field.key = key;
  field.type = type;
  field.measure = measure;
  field.min = min;
  field.max = max;
  return field;
}

Field duration(std::string_view key, double min, double max) {
  return number(key, Type::quantity, Measure::duration, min, max);
}

Field percent(std::string_view key) { return number(key, Type::quantity, Measure::percent, 0, 1); }

Field rate(std::string_view key) {
  return number(key, Type::quantity, Measure::rate, kMinRate, kMaxRate);
}

Field count(std::string_view key, double min, double max) {
  return number(key, Type::count, Measure::none, min, max);
}

/// Returns a field for a number without a unit that may have a fraction.
Field real(std::string_view key, double min, double max) {
  Field field = count(key, min, max);
  field.accepts_fractions = true;
  return field;
}

Field keyword(std::string_view key, std::vector<std::string_view> keywords) {
  Field field;
  field.key = key;
  field.type = Type::keyword;
  field.keywords = std::move(keywords);
  return field;
}

Field flag(std::string_view key) {
  Field field = keyword(key, {"yes", "no"});
  field.type = Type::flag;
  return field;
}

Field string(std::string_view key) {
  Field field;
  field.key = key;
  field.type = Type::string;
  return field;
}

Field reference(std::string_view key, std::string_view kind) {
  Field field;
  field.key = key;
  field.type = Type::reference;
  field.referenced_kind = kind;
  return field;
}

Field required(Field field) {
  field.is_required = true;
  return field;
}

Field list(Field field) {
  field.accepts_list = true;
  return field;
}

Field with_argument(Field field) {
  field.has_argument = true;
  return field;
}

/// Appends the limit fields that pools, policies and routes have in common.
std::vector<Field> with_limits(std::vector<Field> fields) {
  fields.push_back(count("max-in-flight", 1, kMaxCount));
  fields.push_back(rate("max-rate"));
  fields.push_back(count("burst", 1, kMaxCount));
  fields.push_back(duration("queue", 0, 10 * kSecond));
  return fields;
}

std::vector<Field> class_fields() {
  return {
      required(keyword("repeat", {"safe", "keyed", "unsafe"})),
      real("worth", 0, 1000),
      duration("target", kMillisecond, 60 * kSecond),
      required(duration("deadline", kMillisecond, 600 * kSecond)),
      duration("fresh", 0, 720 * kHour),
      duration("grace", 0, 720 * kHour),
      duration("dedup-window", kMillisecond, 24 * kHour),
      flag("uncached"),
  };
}

std::vector<Field> pool_fields() {
  return with_limits({
      required(keyword("role", {"cache", "parent", "origin"})),
      list(string("point")),
      list(string("hub")),
      list(count("cell", 0, kMaxCell)),
      real("weight-least", 0, kMaxCount),
      list(reference("fallback", "pool")),
  });
}

std::vector<Field> policy_fields() {
  return with_limits({
      count("attempts", 1, 8),
      count("parallel", 1, 8),
      duration("deadline", kMillisecond, 60 * kSecond),
      duration("attempt-deadline", kMillisecond, 60 * kSecond),
      percent("retry-budget"),
      duration("hedge-after", kMillisecond, 30 * kSecond),
      percent("hedge-budget"),
      duration("fresh", 0, 720 * kHour),
      duration("grace", 0, 720 * kHour),
      count("rank", 0, 3),
      flag("renew"),
      flag("join"),
      keyword("purge", {"strict", "settled"}),
      list(keyword("fill", {"parent", "origin", "point", "none", "other-point"})),
      duration("retry-after", kMillisecond, 600 * kSecond),
  });
}

std::vector<Field> route_fields() {
  return with_limits({
      list(string("host")),
      required(string("path")),
      list(keyword("method", {"GET", "HEAD", "POST", "PUT", "DELETE"})),
      with_argument(string("header")),
      with_argument(string("query")),
      list(string("point")),
      required(reference("class", "class")),
      reference("pool", "pool"),
      reference("policy", "policy"),
  });
}

}  // namespace

const std::vector<DeclarationKind>& declaration_kinds() {
  static const std::vector<DeclarationKind> kinds = {
      {"class", class_fields()},
      {"pool", pool_fields()},
      {"policy", policy_fields()},
      {"route", route_fields()},
  };
  return kinds;
}

const DeclarationKind* find_declaration_kind(std::string_view name) {
  for (const auto& kind : declaration_kinds()) {
    if (kind.name == name) return &kind;
  }
  return nullptr;
}

const Field* find_field(const DeclarationKind& kind, std::string_view key) {
  for (const auto& field : kind.fields) {
    if (field.key == key) return &field;
  }
  return nullptr;
}

}  // namespace alderspur::config_language

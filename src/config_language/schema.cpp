#include "config_language/schema.h"

namespace alderspur::config_language {
namespace {

using Type = Field::Type;
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
constexpr double kHour = 3600e6;

Field duration(std::string_view key, double least, double most, bool required = false) {
  return {key, Type::quantity, Measure::duration, least, most, {}, required, false, false, false};
}
Field count(std::string_view key, double least, double most) {
  return {key, Type::count, Measure::none, least, most, {}, false, false, false, false};
}
Field percent(std::string_view key) {
  return {key, Type::quantity, Measure::percent, 0, 1, {}, false, false, false, false};
}
Field rate(std::string_view key) {
  return {key, Type::quantity, Measure::rate, 0.01, 1e7, {}, false, false, false, false};
}
Field word_of(std::string_view key, std::vector<std::string_view> words, bool required = false,
              bool list = false) {
  return {key, Type::word, Measure::none, 0, 0, std::move(words), required, list, false, false};
}
Field strings(std::string_view key, bool required = false) {
  return {key, Type::string, Measure::none, 0, 0, {}, required, true, false, false};
}
Field flag(std::string_view key) {
  return {key, Type::flag, Measure::none, 0, 0, {"yes", "no"}, false, false, false, false};
}
Field reference(std::string_view key, std::string_view kind, bool required = false,
                bool list = false) {
  return {key, Type::reference, Measure::none, 0, 0, {kind}, required, list, false, false};
}
Field named(std::string_view key) {
  return {key, Type::string, Measure::none, 0, 0, {}, false, false, true, true};
}

// Limits that pools, policies and routes share.
std::vector<Field> with_limits(std::vector<Field> fields) {
  fields.push_back(count("max-in-flight", 1, 1e6));
  fields.push_back(rate("max-rate"));
  fields.push_back(count("burst", 1, 1e6));
  fields.push_back(duration("queue", 0, 10 * kSecond));
  return fields;
}

}  // namespace

const std::vector<DeclarationKind>& declaration_kinds() {
  static const std::vector<DeclarationKind> kinds = {
      {"class",
       {word_of("repeat", {"safe", "keyed", "unsafe"}, true), count("worth", 0, 1000),
        duration("target", kMillisecond, 60 * kSecond),
        duration("deadline", kMillisecond, 600 * kSecond, true), duration("fresh", 0, 720 * kHour),
        duration("grace", 0, 720 * kHour), duration("dedup-window", kMillisecond, 24 * kHour),
        flag("uncached")}},
      {"pool",
       with_limits(
           {word_of("role", {"cache", "parent", "origin"}, true), strings("point"), strings("hub"),
            Field{"cell", Type::count, Measure::none, 0, 4e9, {}, false, true, false, false},
            Field{
                "weight-least", Type::count, Measure::none, 0, 1e6, {}, false, false, false, false},
            reference("fallback", "pool", false, true)})},
      {"policy",
       with_limits(
           {count("attempts", 1, 8), count("parallel", 1, 8),
            duration("deadline", kMillisecond, 60 * kSecond),
            duration("attempt-deadline", kMillisecond, 60 * kSecond), percent("retry-budget"),
            duration("hedge-after", kMillisecond, 30 * kSecond), percent("hedge-budget"),
            duration("fresh", 0, 720 * kHour), duration("grace", 0, 720 * kHour),
            count("rank", 0, 3), flag("renew"), flag("join"),
            word_of("purge", {"strict", "settled"}),
            word_of("fill", {"parent", "origin", "point", "none", "other-point"}, false, true),
            duration("retry-after", kMillisecond, 600 * kSecond)})},
      {"route",
       with_limits({strings("host"),
                    Field{"path", Type::string, Measure::none, 0, 0, {}, true, false, false, false},
                    word_of("method", {"GET", "HEAD", "POST", "PUT", "DELETE"}, false, true),
                    named("header"), named("query"), strings("point"),
                    reference("class", "class", true), reference("pool", "pool"),
                    reference("policy", "policy")})},
  };
  return kinds;
}

const DeclarationKind* declaration_kind(std::string_view name) {
  for (const auto& k : declaration_kinds()) {
    if (k.name == name) return &k;
  }
  return nullptr;
}
const Field* field(const DeclarationKind& kind, std::string_view key) {
  for (const auto& f : kind.fields) {
    if (f.key == key) return &f;
  }
  return nullptr;
}

}  // namespace alderspur::config_language

#include "config_language/field_reader.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

#include "config_language/format.h"

namespace alderspur::config_language {
namespace {

/// The factors by which a value is wrong when s and ms are confused.
constexpr double kUnitMistakes[] = {1e-3, 1e3};

bool is_in_bounds(const Field& field, double number) {
  return number >= field.min && number <= field.max;
}

bool is_valid_number(const Field& field, double number) {
  const bool must_be_whole = field.type == Field::Type::count && !field.accepts_fractions;
  return is_in_bounds(field, number) && (!must_be_whole || std::floor(number) == number);
}

std::string describe_keywords(const Field& field) {
  std::string text;
  for (const auto keyword : field.keywords) {
    text += text.empty() ? "one of " : ", ";
    text += keyword;
  }
  return text;
}

/// Returns the number with a unit that was probably intended.
std::string suggest_unit(const Field& field, const std::string& number) {
  switch (field.measure) {
    case Measure::duration:
      return number + " ms or " + number + " s";
    case Measure::percent:
      return number + "%";
    default:
      return number + "/s";
  }
}

std::string suggest_bounds(const Field& field, const Value& value, double number) {
  std::string text = "it may be " + format_quantity(field.min, field.measure) + " to " +
                     format_quantity(field.max, field.measure);
  const bool may_be_mistaken =
      field.measure == Measure::duration && (value.unit == "s" || value.unit == "ms");
  if (!may_be_mistaken) return text;
  const std::string meant = value.text + (value.unit == "s" ? " ms" : " s");
  for (const double mistake : kUnitMistakes) {
    if (is_in_bounds(field, number * mistake)) text += "; was " + meant + " meant?";
  }
  return text;
}

}  // namespace

void FieldReader::read(const Statement& statement, const DeclarationKind& kind,
                       Settings& settings) {
  const Field* field = find_field(kind, statement.key);
  if (!field) {
    std::vector<std::string_view> keys;
    for (const auto& known : kind.fields) keys.push_back(known.key);
    reporter_.error("A015", statement.key_span,
                    "a " + std::string(kind.name) + " has no field " + statement.key,
                    suggest(statement.key, keys));
    return;
  }
  if (!check_form(statement, *field)) return;
  auto setting = read_setting(statement, *field);
  if (!setting) return;
  std::string key = statement.key;
  if (field->has_argument) key += ' ' + statement.arguments[0].text;
  const auto [it, is_first] = settings.emplace(key, std::move(*setting));
  if (is_first) return;
  reporter_.error("A017", statement.key_span,
                  key + " is given twice, first at " + reporter_.describe_location(it->second.span),
                  "keep one");
}

bool FieldReader::check_form(const Statement& statement, const Field& field) {
  const auto& arguments = statement.arguments;
  const std::string& key = statement.key;
  const bool has_argument = arguments.size() == 1 && arguments[0].kind == Value::Kind::string;
  if (field.has_argument && !has_argument) {
    reporter_.error("A006", statement.key_span,
                    key + " is written: " + key + R"( "NAME" = "VALUE")");
    return false;
  }
  const bool has_unexpected_arguments = !field.has_argument && !arguments.empty();
  if (has_unexpected_arguments || !statement.value || statement.has_block) {
    reporter_.error("A006", statement.key_span, key + " is written: " + key + " = VALUE");
    return false;
  }
  return true;
}

std::optional<Setting> FieldReader::read_setting(const Statement& statement, const Field& field) {
  const auto value = constants_.resolve(*statement.value);
  if (!value) return std::nullopt;
  Setting setting;
  setting.span = statement.value->span;
  setting.measure = field.measure;
  setting.written = to_string(*value);
  if (value->kind != Value::Kind::list) {
    if (!read_item(field, *value, setting)) return std::nullopt;
    return setting;
  }
  if (!field.accepts_list) {
    reporter_.error("A013", setting.span, statement.key + " takes one value, not a list");
    return std::nullopt;
  }
  if (value->items.empty()) {
    reporter_.error("A013", setting.span, statement.key + " is an empty list", "remove it");
    return std::nullopt;
  }
  for (const auto& item : value->items) {
    if (!read_item(field, item, setting)) return std::nullopt;
  }
  return setting;
}

bool FieldReader::read_item(const Field& field, const Value& value, Setting& setting) {
  const std::string key(field.key);
  switch (field.type) {
    case Field::Type::quantity:
    case Field::Type::count: {
      const auto number = read_number(field, value);
      if (!number) return false;
      if (!field.accepts_list) {
        setting.number = number;
        return true;
      }
      break;
    }
    case Field::Type::string:
      if (value.kind != Value::Kind::string) {
        reporter_.error("A013", value.span, key + " takes a text in quotes");
        return false;
      }
      break;
    case Field::Type::keyword:
    case Field::Type::flag:
      if (!check_keyword(field, value)) return false;
      break;
    case Field::Type::reference:
      if (value.kind != Value::Kind::word) {
        reporter_.error("A013", value.span,
                        key + " takes the name of a " + std::string(field.referenced_kind));
        return false;
      }
      break;
  }
  setting.texts.push_back(value.text);
  return true;
}

bool FieldReader::check_keyword(const Field& field, const Value& value) {
  const std::string key(field.key);
  if (value.kind != Value::Kind::word) {
    reporter_.error("A013", value.span, key + " takes a word", describe_keywords(field));
    return false;
  }
  const auto& keywords = field.keywords;
  if (std::find(keywords.begin(), keywords.end(), value.text) != keywords.end()) return true;
  const std::string suggestion = suggest(value.text, keywords);
  reporter_.error("A019", value.span, "'" + value.text + "' is no value of " + key,
                  suggestion.empty() ? describe_keywords(field) : suggestion);
  return false;
}

std::optional<double> FieldReader::read_number(const Field& field, const Value& value) {
  const auto factor = unit_factor(field, value);
  if (!factor) return std::nullopt;
  const double number = value.number * *factor;
  if (is_valid_number(field, number)) return number;
  reporter_.error("A014", value.span,
                  std::string(field.key) + " = " + to_string(value) + " is out of bounds",
                  suggest_bounds(field, value, number));
  return std::nullopt;
}

std::optional<double> FieldReader::unit_factor(const Field& field, const Value& value) {
  const std::string takes = std::string(field.key) + " takes ";
  const std::string expected = to_string(field.measure);
  if (value.kind != Value::Kind::number) {
    reporter_.error("A013", value.span, takes + expected);
    return std::nullopt;
  }
  const Unit* unit = value.unit.empty() ? nullptr : find_unit(value.unit);
  if (field.measure == Measure::none) {
    if (!unit) return 1;
    reporter_.error("A013", value.span, takes + "a plain number, without " + value.unit);
    return std::nullopt;
  }
  if (!unit) {
    reporter_.error("A012", value.span, takes + expected + ": this number has no unit",
                    suggest_unit(field, value.text));
    return std::nullopt;
  }
  if (unit->measure != field.measure) {
    reporter_.error(
        "A013", value.span,
        takes + expected + ", and " + value.unit + " measures " + to_string(unit->measure));
    return std::nullopt;
  }
  return unit->factor;
}

}  // namespace alderspur::config_language

#include "toml/quantity.h"

#include <cstdio>

#include "core/parsing.h"

namespace alderspur::toml {
namespace {

constexpr std::int64_t kMillisecond = 1'000;
constexpr std::int64_t kSecond = 1'000'000;
constexpr std::int64_t kHour = 3'600'000'000;

/// A unit and its factor to microseconds or bytes.
struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kDurationUnits[] = {
    {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}};
constexpr Unit kSizeUnits[] = {{"B", 1},         {"KB", 1e3},      {"MB", 1e6},     {"GB", 1e9},
                               {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}};

template <std::size_t N>
std::optional<double> parse_quantity(std::string_view text, const Unit (&units)[N]) {
  const std::size_t number_end = text.find_first_not_of("0123456789.");
  if (number_end == std::string_view::npos || number_end == 0) return std::nullopt;
  const auto number = core::parse_number<double>(text.substr(0, number_end));
  if (!number) return std::nullopt;
  std::string_view name = text.substr(number_end);
  while (name.starts_with(' ')) name.remove_prefix(1);
  for (const auto& unit : units) {
    if (unit.name == name) return *number * unit.factor;
  }
  return std::nullopt;
}

}  // namespace

std::optional<double> parse_duration(std::string_view text) {
  return parse_quantity(text, kDurationUnits);
}

std::optional<double> parse_size(std::string_view text) { return parse_quantity(text, kSizeUnits); }

std::string format_duration(std::int64_t microseconds) {
  const auto in_unit = [microseconds](std::int64_t unit) {
    return format_number(static_cast<double>(microseconds) / static_cast<double>(unit));
  };
  if (microseconds >= kHour && microseconds % kHour == 0) return in_unit(kHour) + " h";
  if (microseconds >= kSecond) return in_unit(kSecond) + " s";
  if (microseconds >= kMillisecond) return in_unit(kMillisecond) + " ms";
  return in_unit(1) + " us";
}

std::string format_number(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", number);
  return text;
}

}  // namespace alderspur::toml

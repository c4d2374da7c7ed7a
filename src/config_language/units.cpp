#include "config_language/units.h"

#include <cmath>
#include <cstdio>

namespace alderspur::config_language {
namespace {

constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
constexpr double kMinute = 60e6;

constexpr Unit kUnits[] = {
    {"us", Measure::duration, 1},      {"ms", Measure::duration, 1e3},
    {"s", Measure::duration, 1e6},     {"min", Measure::duration, 60e6},
    {"h", Measure::duration, 3600e6},  {"B", Measure::size, 1},
    {"KB", Measure::size, 1e3},        {"MB", Measure::size, 1e6},
    {"GB", Measure::size, 1e9},        {"KiB", Measure::size, 1024},
    {"MiB", Measure::size, 1048576},   {"GiB", Measure::size, 1073741824},
    {"/s", Measure::rate, 1},          {"/min", Measure::rate, 1.0 / 60},
    {"KB/s", Measure::bandwidth, 1e3}, {"MB/s", Measure::bandwidth, 1e6},
    {"GB/s", Measure::bandwidth, 1e9}, {"%", Measure::percent, 0.01},
};

std::string format_number(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", number);
  return text;
}

std::string format_duration(double microseconds) {
  if (microseconds >= kMinute && std::fmod(microseconds, kMinute) == 0) {
    return format_number(microseconds / kMinute) + " min";
  }
  if (microseconds >= kSecond) return format_number(microseconds / kSecond) + " s";
  if (microseconds >= kMillisecond) return format_number(microseconds / kMillisecond) + " ms";
  return format_number(microseconds) + " us";
}

}  // namespace

const char* to_string(Measure measure) {
  switch (measure) {
    case Measure::none:
      return "a number";
    case Measure::duration:
      return "a duration";
    case Measure::size:
      return "a size";
    case Measure::rate:
      return "a rate";
    case Measure::bandwidth:
      return "a bandwidth";
    case Measure::percent:
      return "a percentage";
  }
  return "";
}

const Unit* find_unit(std::string_view name) {
  for (const auto& unit : kUnits) {
    if (unit.name == name) return &unit;
  }
  return nullptr;
}

const std::vector<std::string_view>& unit_names() {
  static const std::vector<std::string_view> names = [] {
    std::vector<std::string_view> all;
    for (const auto& unit : kUnits) all.push_back(unit.name);
    return all;
  }();
  return names;
}

std::string format_quantity(double value, Measure measure) {
  switch (measure) {
    case Measure::duration:
      return format_duration(value);
    case Measure::percent:
      return format_number(value * 100) + "%";
    case Measure::rate:
      return format_number(value) + "/s";
    case Measure::none:
    case Measure::size:
    case Measure::bandwidth:
      break;
  }
  return format_number(value);
}

}  // namespace alderspur::config_language

// The units that may follow a number, by what they measure.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace alderspur::config_language {

/// What a number measures. Each has a base unit in which values are kept and compared.
enum class Measure {
  none,       // a plain number
  duration,   // microseconds
  size,       // bytes
  rate,       // per second
  bandwidth,  // bytes per second
  percent,    // fractions, 1 for 100%
};

/// With its article: "a duration".
const char* to_string(Measure measure);

struct Unit {
  std::string_view name;
  Measure measure = Measure::none;
  double factor = 1;  // to the base unit
};

/// Null if there is no such unit.
const Unit* find_unit(std::string_view name);

const std::vector<std::string_view>& unit_names();

/// A value in its base unit as text, in the unit that reads best.
std::string format_quantity(double value, Measure measure);

}  // namespace alderspur::config_language

// Defines the units that may follow a number and the quantity that each measures.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace alderspur::config_language {

/// What a number measures. Each measure has a base unit in which values are stored and compared.
enum class Measure {
  none,       // a plain number
  duration,   // microseconds
  size,       // bytes
  rate,       // per second
  bandwidth,  // bytes per second
  percent,    // fractions, 1 for 100%
};

/// Returns the name of the measure with its article, such as "a duration".
const char* to_string(Measure measure);

/// A unit and its conversion to the base unit.
struct Unit {
  std::string_view name;
  Measure measure = Measure::none;
  double factor = 1;  // to the base unit
};

/// Returns the unit with this name, or null if there is none.
const Unit* find_unit(std::string_view name);

/// Returns the names of all units.
const std::vector<std::string_view>& unit_names();

/// Formats a value, given in its base unit, in the unit that reads best.
std::string format_quantity(double value, Measure measure);

}  // namespace alderspur::config_language

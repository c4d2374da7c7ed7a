// Parses and formats numbers with a unit, as they are written in TOML files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace alderspur::toml {

/// Parses a duration such as "2.5 s" and returns it in microseconds. The units are us, ms, s, min
/// and h. Returns nullopt if the number or the unit is missing or invalid.
std::optional<double> parse_duration(std::string_view text);

/// Parses a size such as "64 MB" and returns it in bytes. The units are B, KB, MB, GB, KiB, MiB and
/// GiB. Returns nullopt if the number or the unit is missing or invalid.
std::optional<double> parse_size(std::string_view text);

/// Formats a duration for parse_duration(): in hours if it is a whole number of hours, otherwise in
/// the largest of s, ms and us that does not exceed it.
std::string format_duration(std::int64_t microseconds);

/// Formats a number with at most six significant digits.
std::string format_number(double number);

}  // namespace alderspur::toml

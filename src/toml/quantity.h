// Numbers with a unit, as they are written in TOML files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace alderspur::toml {

/// "2.5 s" in microseconds; units are us, ms, s, min and h. Nothing without a number and one of
/// these units.
std::optional<double> parse_duration(std::string_view text);

/// "64 MB" in bytes; units are B, KB, MB, GB, KiB, MiB and GiB. Nothing without a number and one of
/// these units.
std::optional<double> parse_size(std::string_view text);

/// The inverse of parse_duration, in the largest unit that reads well.
std::string format_duration(std::int64_t microseconds);

/// The number with six significant digits at most.
std::string format_number(double number);

}  // namespace alderspur::toml

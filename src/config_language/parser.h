// Reads a text into its syntax tree, by recursive descent with recovery: one run reports all
// independent faults. A statement with a fault is left out of the tree; those around it stay.
//
// Bounds: depth kMaxNestingDepth, text kMaxTextBytes bytes. Codes: A001 a character that belongs to
// nothing, A002 a string without end, A003 an unknown escape, A004 no number, A005 an unknown unit,
// A006 something else expected, A007 too deep, A008 too large, A009 no UTF-8 or a control
// character.
#pragma once

#include "config_language/syntax.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

constexpr std::size_t kMaxNestingDepth = 16;
constexpr std::size_t kMaxTextBytes = 1 << 20;

Tree parse(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings);

// The units that may stand behind a number, by what they measure.
enum class Measure { none, duration, size, rate, bandwidth, percent };
struct Unit {
  std::string_view name;
  Measure measure;
  double factor;  // to microseconds, bytes, per second, bytes per second, parts of one
};
const Unit* unit(std::string_view name);
const char* word(Measure measure);

}  // namespace alderspur::config_language

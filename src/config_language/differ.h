// Compares two programs by their meaning: which declarations were added or removed, which values
// rise or fall, and which pools routes lead to. A renamed constant, a moved line, a new order where
// order has no meaning, or the same value in another unit does not count as a change. No I/O.
#pragma once

#include <string>
#include <vector>

#include "config_language/meaning.h"

namespace alderspur::config_language {

/// How much harm a mistake in a change could do, in ascending order.
enum class Risk { low, some, high };

const char* to_string(Risk risk);

/// One difference between two programs.
struct Change {
  Risk risk = Risk::some;
  std::string kind;   // "route", "pool", ...
  std::string name;   // name of the declaration, with its locations if it has any
  std::string field;  // empty if the change concerns the whole declaration
  std::string text;   // "policy usual: deadline falls from 2 s to 1 s"
};

/// Returns the changes in the order of the declarations, with removed declarations first.
std::vector<Change> find_changes(const Meaning& from, const Meaning& to);

}  // namespace alderspur::config_language

// The changes between two programs by their meaning: what was added or removed, which values rise
// or fall, and where routes lead. A renamed constant, a moved line, another order where order means
// nothing, or the same value in another unit is no change. No I/O.
#pragma once

#include <string>
#include <vector>

#include "config_language/meaning.h"

namespace alderspur::config_language {

/// How much harm a mistake in a change could do, in rising order.
enum class Risk { low, some, high };

const char* to_string(Risk risk);

struct Change {
  Risk risk = Risk::some;
  std::string kind;   // "route", "pool", ...
  std::string name;   // of the declaration, with its locations if it has any
  std::string field;  // empty: the whole declaration
  std::string text;   // "policy usual: deadline falls from 2 s to 1 s"
};

/// In the order of the programs' declarations, removed ones first.
std::vector<Change> find_changes(const Meaning& from, const Meaning& to);

}  // namespace alderspur::config_language

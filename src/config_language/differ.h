// The difference between two programs by meaning: what is declared anew or no longer, which limits
// rise or fall, where routes lead. A renamed constant, a moved line, another order where order
// means nothing, or the same value in another unit is no difference. Pure.
#pragma once

#include <string>
#include <vector>

#include "config_language/check.h"

namespace alderspur::config_language {

enum class Risk { low, some, high };  // how much a mistake in it could hurt
struct Change {
  Risk risk = Risk::some;
  std::string what;  // "route", "pool", ...
  std::string name;
  std::string field;  // empty: the whole declaration
  std::string text;   // "policy usual: deadline falls from 2 s to 1 s"
};
// In the order of the texts, what is gone first.
std::vector<Change> differ(const Meaning& from, const Meaning& to);
const char* word(Risk risk);

}  // namespace alderspur::config_language

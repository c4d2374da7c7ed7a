// Checks that the fields of each declaration are consistent, and that a route's class
// is consistent with its policies.
#pragma once

#include "config_language/meaning.h"
#include "config_language/reporter.h"

namespace alderspur::config_language {

/// Checks all declarations and reports findings with the codes A030 to A036.
void check_declarations(const Meaning& meaning, Reporter& reporter);

}  // namespace alderspur::config_language

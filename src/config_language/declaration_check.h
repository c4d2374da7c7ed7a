// Checks that the fields of a declaration fit together, and a route's class with its policies.
#pragma once

#include "config_language/meaning.h"
#include "config_language/reporter.h"

namespace alderspur::config_language {

/// Reports the codes A030 to A036.
void check_declarations(const Meaning& meaning, Reporter& reporter);

}  // namespace alderspur::config_language

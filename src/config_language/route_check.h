// Checks the paths and splits of routes, and routes against each other.
#pragma once

#include "config_language/meaning.h"
#include "config_language/reporter.h"

namespace alderspur::config_language {

/// Reports invalid paths (A041), splits over 100% (A042), and routes that an earlier
/// route hides (A040).
void check_routes(const Meaning& meaning, Reporter& reporter);

}  // namespace alderspur::config_language

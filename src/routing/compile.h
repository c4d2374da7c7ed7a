// From the declarations of a checked program to routes, pools and policies that refer to each other
// by index.
#pragma once

#include <vector>

#include "config_language/check.h"
#include "routing/route.h"

namespace alderspur::routing {

struct CompiledProgram {
  std::vector<Route> routes;
  std::vector<Pool> pools;
  std::vector<Policy> policies;
};

/// The program must have been checked without an error. Of declarations that share a kind and a
/// name, for different locations, references by name lead to the first.
CompiledProgram compile(const config_language::Meaning& meaning,
                        const config_language::Sources& sources);

}  // namespace alderspur::routing

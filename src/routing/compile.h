// Compiles the declarations of a checked configuration program to routes, pools and policies that
// refer to each other by index. Used by Table (table.h). No I/O.
#pragma once

#include <vector>

#include "config_language/check.h"
#include "routing/route.h"

namespace alderspur::routing {

/// The routes, pools and policies of a program. Their indexes refer to these vectors.
struct CompiledProgram {
  std::vector<Route> routes;
  std::vector<Pool> pools;
  std::vector<Policy> policies;
};

/// Compiles a program, which must have been checked without an error. Several declarations of the
/// same kind may share a name if they are for different locations; references by name are then
/// resolved to the first one.
CompiledProgram compile(const config_language::Meaning& meaning,
                        const config_language::Sources& sources);

}  // namespace alderspur::routing

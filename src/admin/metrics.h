// Renders the metrics in the Prometheus text exposition format. Performs no I/O.
//
// All values come from the engine: its counters, including the attempts that were written
// completely to the caches, and the routing policy's view of the caches. All counters start at 0
// when the process starts.
#pragma once

#include <string>
#include <vector>

#include "core/engine.h"

namespace alderspur::admin {

/// Returns the text of all metrics. `class_names` contains the names of the request classes, in the
/// order of the settings.
std::string render_metrics(core::Engine& engine, const std::vector<std::string>& class_names);

}  // namespace alderspur::admin

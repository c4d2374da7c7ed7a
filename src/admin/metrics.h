// The metrics for operators' scrapers in the Prometheus text exposition format. No I/O.
//
// Each value is read where it is counted: the engine's counters, its attempts written whole to the
// caches, and the routing policy's own view of the caches. All counters start at 0 with the
// process.
#pragma once

#include <string>
#include <vector>

#include "core/engine.h"

namespace alderspur::admin {

/// `class_names`: the names of the request classes, in the order of the settings.
std::string render_metrics(core::Engine& engine, const std::vector<std::string>& class_names);

}  // namespace alderspur::admin

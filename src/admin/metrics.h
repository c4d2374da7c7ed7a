// The figures that operators' scrapers read, in the plain text exposition format. No I/O.
//
// Every figure comes from where the thing happens: the engine's ledger, its attempts written whole,
// and the decision module's own view of the caches. All counts begin at 0 with the process.
#pragma once

#include <string>
#include <vector>

#include "core/engine.h"

namespace alderspur::admin {

// `classes`: the classes' names, in the order of the settings.
std::string figures(core::Engine& engine, const std::vector<std::string>& classes);

}  // namespace alderspur::admin

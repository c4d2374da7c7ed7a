// Encodes the router's actions for the simulator's replies. The functions perform no I/O and keep
// no state.
#pragma once

#include <cstdint>

#include "alderspur/router.h"
#include "simulator_adapter/wire_writer.h"

namespace alderspur::simulator_adapter {

/// Appends `action`, which was returned by the router instance with the number `instance`.
void write_action(WireWriter& writer, std::uint32_t instance, const alderspur::Action& action);

}  // namespace alderspur::simulator_adapter

// The actions of the simulator's replies: encoding of the router's actions. No I/O and no state.
#pragma once

#include <cstdint>

#include "alderspur/router.h"
#include "simulator_adapter/wire_writer.h"

namespace alderspur::simulator_adapter {

/// Appends an action of the instance with this number.
void write_action(WireWriter& writer, std::uint32_t instance, const alderspur::Action& action);

}  // namespace alderspur::simulator_adapter

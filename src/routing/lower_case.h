// Host names are compared in lower case.
#pragma once

#include <string>
#include <string_view>

namespace alderspur::routing {

/// Maps the letters A to Z; other bytes stay.
std::string to_lower_case(std::string_view text);

}  // namespace alderspur::routing

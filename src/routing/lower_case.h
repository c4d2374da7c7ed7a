// Converts host names to lower case, in which they are compared.
#pragma once

#include <string>
#include <string_view>

namespace alderspur::routing {

/// Converts the ASCII letters A to Z to lower case. Other bytes are unchanged.
std::string to_lower_case(std::string_view text);

}  // namespace alderspur::routing

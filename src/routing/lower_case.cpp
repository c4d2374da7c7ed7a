#include "routing/lower_case.h"

namespace alderspur::routing {

std::string to_lower_case(std::string_view text) {
  std::string result(text);
  for (char& letter : result) {
    if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
  }
  return result;
}

}  // namespace alderspur::routing

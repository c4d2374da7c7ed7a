#include "routing/lower_case.h"

namespace alderspur::routing {

std::string to_lower_case(std::string_view text) {
  std::string result(text);
  for (char& c : result) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return result;
}

}  // namespace alderspur::routing

// One HTTP call to the operators' address of a running router, for the subcommands that ask it.
// Blocks the calling thread, for a few seconds at most in each step.
#pragma once

#include <string>

namespace alderspur::cli {

struct Asked {
  int status = 0;    // the HTTP status; 0: there is no answer
  std::string text;  // the body
};

Asked ask_operators(const std::string& address, const std::string& method,
                    const std::string& target, const std::string& body = {});

}  // namespace alderspur::cli

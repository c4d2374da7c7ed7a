#include "cli/printing.h"

#include <exception>

#include "cli/commands.h"

namespace alderspur::cli {

void print_findings(std::FILE* stream, const diagnostics::Findings& findings) {
  for (const auto& finding : findings.list()) {
    std::fprintf(stream, "%s\n", diagnostics::to_string(finding).c_str());
  }
}

void print_findings(const config_language::Sources& sources,
                    const diagnostics::Findings& findings) {
  for (const auto& finding : findings.list()) {
    std::fprintf(stderr, "%s\n", sources.render(finding).c_str());
  }
  if (findings.omitted()) std::fprintf(stderr, "and %zu more\n", findings.omitted());
}

int run_and_print_exceptions(const std::function<int()>& command) {
  try {
    return command();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "alderspur: %s\n", error.what());
    return kFinding;
  }
}

}  // namespace alderspur::cli

// Prints findings and exceptions for the subcommands.
#pragma once

#include <cstdio>
#include <functional>

#include "config_language/source.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::cli {

/// Prints each finding on a line.
void print_findings(std::FILE* stream, const diagnostics::Findings& findings);

/// Prints the findings on a program of the configuration language to standard error, each with
/// its source line, and the number of omitted findings.
void print_findings(const config_language::Sources& sources, const diagnostics::Findings& findings);

/// Runs a command and returns its exit code. If it throws, prints the exception to standard error
/// and returns kFinding.
int run_and_print_exceptions(const std::function<int()>& command);

}  // namespace alderspur::cli

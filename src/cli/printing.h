// What the commands print alike: findings and exceptions.
#pragma once

#include <cstdio>
#include <functional>

#include "config_language/source.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::cli {

/// Prints one finding a line.
void print_findings(std::FILE* stream, const diagnostics::Findings& findings);

/// Prints the findings on a program of the configuration language to standard error, each with the
/// line of the source, and how many were left out.
void print_findings(const config_language::Sources& sources, const diagnostics::Findings& findings);

/// Runs a command and returns its exit code. An exception is printed to standard error and gives
/// the exit code of a finding.
int run_and_print_exceptions(const std::function<int()>& command);

}  // namespace alderspur::cli

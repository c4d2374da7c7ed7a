// Loads a program of the configuration language with its includes and checks it.
#pragma once

#include <string>

#include "config_language/check.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// A program and its meaning.
struct CheckedProgram {
  Program program;
  Meaning meaning;
};

/// Reports whether the path ends in .alder.
bool is_program_path(const std::string& path);

/// Reads the file and its includes and checks the program. Blocks on the disk. Appends errors and
/// warnings to `findings`; the meaning is incomplete if an error was reported.
CheckedProgram load_and_check(const std::string& path, diagnostics::Findings& findings);

}  // namespace alderspur::config_language

// A program of the configuration language with its meaning: loaded with its includes, and checked.
#pragma once

#include <string>

#include "config_language/check.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// The program of a file and its meaning.
struct CheckedProgram {
  Program program;
  Meaning meaning;
};

/// Whether the path ends in .alder.
bool is_program_path(const std::string& path);

/// Reads the file and what it includes, and checks all of it. Blocks on the disk. Errors are added
/// to `findings`; with errors among them the meaning is incomplete.
CheckedProgram load_and_check(const std::string& path, diagnostics::Findings& findings);

}  // namespace alderspur::config_language

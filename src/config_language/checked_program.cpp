#include "config_language/checked_program.h"

#include "config_language/files.h"

namespace alderspur::config_language {

bool is_program_path(const std::string& path) { return path.ends_with(".alder"); }

CheckedProgram load_and_check(const std::string& path, diagnostics::Findings& findings) {
  FileLoader loader;
  CheckedProgram checked;
  checked.program = load(path, loader, findings);
  checked.meaning = check(checked.program, findings);
  return checked;
}

}  // namespace alderspur::config_language

// `alderspur fmt`: formats files of the configuration language in their canonical form.
#include "config_language/format.h"

#include <cstdio>
#include <string>
#include <variant>

#include "cli/commands.h"
#include "cli/file_replacement.h"
#include "cli/printing.h"
#include "config_language/files.h"
#include "config_language/parser.h"

namespace alderspur::cli {
namespace {

/// Writes the formatted text in place. If this fails, prints an error message and returns false.
bool write_formatted(const std::string& path, const std::string& formatted) {
  if (!replace_file(path, formatted, ReplacedPermissions::as_before)) return true;
  std::fprintf(stderr, "%s: the file cannot be written\n", path.c_str());
  return false;
}

/// Prints, checks or writes one file as the options request, and returns the exit code.
int report_formatted(const std::string& path, const std::string& text, const std::string& formatted,
                     const FormatOptions& options) {
  const bool is_canonical = formatted == text;
  int exit_code = kSuccess;
  if (!options.write && !options.check) std::fputs(formatted.c_str(), stdout);
  if (options.check && !is_canonical) {
    std::printf("%s: not in canonical form\n", path.c_str());
    exit_code = kFinding;
  }
  if (options.write && !is_canonical && !write_formatted(path, formatted)) exit_code = kFinding;
  return exit_code;
}

int format_file(const std::string& path, const FormatOptions& options) {
  config_language::FileLoader loader;
  const auto result = loader.read(path);
  if (const auto* error = std::get_if<config_language::ReadError>(&result)) {
    std::fprintf(stderr, "%s: %s\n", path.c_str(), to_string(*error));
    return kFinding;
  }
  const auto& text = std::get<std::string>(result);
  config_language::Sources sources;
  diagnostics::Findings findings;
  const auto tree = config_language::parse(sources, sources.add(path, text), findings);
  // The tree does not contain text that could not be parsed; writing the tree would delete this
  // text from the file.
  if (!findings.is_ok()) {
    print_findings(sources, findings);
    return kFinding;
  }
  return report_formatted(path, text, config_language::format(tree), options);
}

}  // namespace

int format_files(const FormatOptions& options) {
  int exit_code = kSuccess;
  for (const auto& path : options.files) {
    if (format_file(path, options) != kSuccess) exit_code = kFinding;
  }
  return exit_code;
}

}  // namespace alderspur::cli

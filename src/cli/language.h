// The commands on files of the configuration language. Exit codes as in cli/commands.h.
#pragma once

#include <string>
#include <vector>

namespace alderspur::cli {

struct FormatOptions {
  std::vector<std::string> files;
  bool write = false;
  bool check = false;
};
/// Prints the canonical form, writes it in place, or says which files are not in it. A file that
/// does not parse is left as it is.
int format_files(const FormatOptions& options);

struct ExplainOptions {
  std::string file;
  std::string point;
  std::vector<std::string> requests;  // "GET host/path?query"
  std::vector<std::string> headers;   // "name=value", of all requests
};
/// Prints which route, pool and policy hold for each request, and where they are declared.
int explain(const ExplainOptions& options);
/// Prints the changes between two programs, by meaning.
int diff_language(const std::string& from, const std::string& to, bool json, bool by_risk);

}  // namespace alderspur::cli

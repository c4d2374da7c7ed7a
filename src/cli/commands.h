// The subcommands of `alderspur`, one function each. Each function prints its results to standard
// output and its errors to standard error, and returns the exit code. docs/alderspur.1.md documents
// the subcommands for users.
#pragma once

#include <string>
#include <vector>

namespace alderspur::cli {

/// Exit codes of the subcommands.
constexpr int kSuccess = 0;  // success, or the answer to the command is yes
constexpr int kFinding = 1;  // findings, a rejected proposal, or a failed start
constexpr int kUsage = 2;    // invalid arguments or input

/// Runs the router with all subsystems that the settings file enables, until SIGTERM.
int run(const std::string& settings_file);

/// Options of check().
struct CheckOptions {
  std::vector<std::string> files;
  std::string against;  // the list that is treated as the active one; empty: none
  bool json = false;
};

/// Reports the errors of each file. A file is a settings file, an endpoint list, a directory with a
/// manifest, or a program of the configuration language.
int check(const CheckOptions& options);

/// Reports the semantic differences between two endpoint lists or two programs of the configuration
/// language. With `by_risk`, the changes of a program with the highest risk are reported first.
int diff(const std::string& from, const std::string& to, bool json, bool by_risk);

/// Options of format_files().
struct FormatOptions {
  std::vector<std::string> files;
  bool write = false;  // writes the files in place
  bool check = false;  // only reports the files that are not in canonical form
};

/// Formats files of the configuration language in their canonical form. Prints the result unless
/// the options request otherwise. A file that cannot be parsed is not changed.
int format_files(const FormatOptions& options);

/// Options of explain().
struct ExplainOptions {
  std::string file;
  std::string point;  // the point of the router that handles the requests; empty: none
  std::vector<std::string> requests;  // "GET host/path?query"
  std::vector<std::string> headers;   // "name=value", added to every request
};

/// Prints which route, pool and policy apply to each request, and where they are declared.
int explain(const ExplainOptions& options);

/// Writes the digest of a list into its first line. For a directory, writes the digests of the
/// pieces and of the manifest into the manifest.
int seal(const std::string& path);

/// Prints the contents of a state directory: generation, age and number of servers.
int state(const std::string& folder, bool json);

/// Prints the cluster members that a running router lists, or its reply as JSON.
int cluster_members(const std::string& address, bool json);

/// Options of a canary rollout, in which a version is first activated at some routers only. The
/// strings are forwarded to the router without validation.
struct CanaryOptions {
  std::string routers;         // router names, separated by commas; empty: no canary rollout
  std::string seconds = "60";  // duration of the rollout in seconds
  std::string max_harm =
      "0.05";  // maximum excess of the fraction of failed requests over other routers
  bool promote_on_expiry = false;  // if false, the version is rolled back on expiry
};

/// Proposes a version to the router at `address` and waits for the result. Each of the `documents`
/// has the form "NAME=FILE". `base` is the number of the version on which the proposal is based; if
/// it is empty, the newest version is used.
int cluster_propose(const std::string& address, const std::vector<std::string>& documents,
                    const std::string& author, const std::string& base,
                    const CanaryOptions& canary);

/// Ends the canary rollout of the version `number`. The verdict "go" promotes the version, and
/// "back" rolls it back.
int cluster_rollout(const std::string& address, const std::string& verdict,
                    const std::string& number);

/// Proposes a new set of voters, given by their member names, and waits for the result.
int cluster_voters(const std::string& address, const std::vector<std::string>& names);

/// Prints the versions that a running router lists, or its reply as JSON.
int cluster_versions(const std::string& address, bool json);

/// Prints the differences between the contents of two versions, given by their numbers.
int cluster_diff(const std::string& address, const std::string& from, const std::string& to);

}  // namespace alderspur::cli

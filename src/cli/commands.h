// The subcommands of `alderspur`, one function each. They print to standard output, errors to
// standard error, and return the exit code. docs/alderspur.1.md is for their users.
#pragma once

#include <string>
#include <vector>

namespace alderspur::cli {

/// Exit codes of the subcommands.
constexpr int kYes = 0;
constexpr int kFinding = 1;  // findings, a rejected proposal, or a failed start
constexpr int kUsage = 2;

/// Runs the router with all subsystems that the settings file switches on, until SIGTERM.
int run(const std::string& settings_file);

struct CheckOptions {
  std::vector<std::string> files;
  std::string against;  // the list that counts as active; empty: none
  bool json = false;
};

/// Reports the errors of each file: settings, an endpoint list, a directory with a manifest, or a
/// program of the configuration language.
int check(const CheckOptions& options);

/// Reports what changes between two lists of servers or two programs of the language, by meaning.
/// `by_risk`: of programs, the changes with the highest risk first.
int diff(const std::string& from, const std::string& to, bool json, bool by_risk);

struct FormatOptions {
  std::vector<std::string> files;
  bool write = false;  // in place
  bool check = false;  // only reports the files that are not in their canonical form
};

/// Brings files of the language into their canonical form; prints them where the options say
/// nothing else. A file that does not parse is left as it is.
int format_files(const FormatOptions& options);

struct ExplainOptions {
  std::string file;
  std::string point;                  // of the router whose view is taken; empty: of none
  std::vector<std::string> requests;  // "GET host/path?query"
  std::vector<std::string> headers;   // "name=value", of all requests
};

/// Prints which route, pool and policy hold for each request, and where they are declared.
int explain(const ExplainOptions& options);

/// Writes the digest into a list's first line, or those of the pieces into a directory's manifest.
int seal(const std::string& path);

/// Prints what the state directory holds: generation, age and servers.
int state(const std::string& folder, bool json);

/// Prints the members that a running router knows of, or its reply as JSON.
int cluster_members(const std::string& address, bool json);

/// Options of a version that is active at some routers first. The texts are passed on as they are.
struct CanaryOptions {
  std::string routers;             // names, separated by commas; empty: no canary rollout
  std::string seconds = "60";      // duration of the rollout
  std::string max_harm = "0.05";   // the part of failed requests above that elsewhere
  bool promote_on_expiry = false;  // otherwise it is rolled back
};

/// Proposes a version to the router at `address` and waits for the result. `documents`: "NAME=FILE"
/// each; `base`: the number of the version that it was made from, empty: the newest.
int cluster_propose(const std::string& address, const std::vector<std::string>& documents,
                    const std::string& author, const std::string& base,
                    const CanaryOptions& canary);

/// Ends the canary rollout of the version with that number. `verdict`: "go" promotes it, "back"
/// rolls it back.
int cluster_rollout(const std::string& address, const std::string& verdict,
                    const std::string& number);

/// Proposes other voters, by member names, and waits for the result.
int cluster_voters(const std::string& address, const std::vector<std::string>& names);

/// Prints the versions that a running router knows of, or its reply as JSON.
int cluster_versions(const std::string& address, bool json);

/// Prints what differs between the contents of two versions, given by their numbers.
int cluster_diff(const std::string& address, const std::string& from, const std::string& to);

}  // namespace alderspur::cli

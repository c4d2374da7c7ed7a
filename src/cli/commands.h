// The subcommands of `alderspur`, one function each. Exit codes: 0 yes, 1 a finding, 2 usage.
#pragma once

#include <string>
#include <vector>

namespace alderspur::cli {

/// Exit codes of the subcommands.
constexpr int kYes = 0;
constexpr int kFinding = 1;
constexpr int kUsage = 2;

// The router with everything that the settings file switches on, until SIGTERM.
int run(const std::string& settings_file);

struct CheckOptions {
  std::vector<std::string> files;
  std::string against;  // a list that counts as in force
  bool json = false;
};
// Says of each file (settings, a list of servers, a directory with a manifest, a program of the
// language) what is wrong with it.
int check(const CheckOptions& options);
// What changes between two lists, or two programs of the language, by meaning.
int diff(const std::string& from, const std::string& to, bool json, bool by_risk);
// Writes the digest into a list's first line, or those of the pieces into a directory's manifest.
int seal(const std::string& path);
// What the state directory holds: generation, age, servers and what is remembered of them.
int state(const std::string& folder, bool json);

// Prints the members that a running router knows of, or its answer as JSON.
int cluster_members(const std::string& address, bool json);

// Proposes a version to a running router (NAME=FILE each), or other voters, and follows it to its
// end; the versions that it knows; what differs between two of them.
struct TrialOptions {  // of a version that holds for some routers first; see consensus::Trial
  std::string first, hold = "60", harm = "0.05";
  bool go_on = false;
};
int cluster_propose(const std::string& at, const std::vector<std::string>& documents,
                    const std::string& author, const std::string& base, const TrialOptions& trial);
// `word`: go or back, for the version of that number on trial.
int cluster_rollout(const std::string& at, const std::string& word, const std::string& number);
int cluster_voters(const std::string& at, const std::vector<std::string>& names);
int cluster_versions(const std::string& at, bool json);
int cluster_diff(const std::string& at, const std::string& a, const std::string& b);

}  // namespace alderspur::cli

// The command line of the program alderspur. Each subcommand is added by a separate function;
// docs/alderspur.1.md lists the subcommands.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "cli/commands.h"

namespace {

// NOLINTNEXTLINE(google-build-using-namespace): this file only registers the commands.
using namespace alderspur::cli;

/// The arguments of the selected subcommand, and its exit code.
struct Arguments {
  int exit_code = kSuccess;
  std::string settings;
  CheckOptions check;
  FormatOptions format;
  ExplainOptions explain;
  CanaryOptions canary;
  std::string path;
  std::string from;
  std::string to;
  std::string address;  // the operators' address of a router
  std::string author;
  std::string base;
  std::string verdict;
  std::string number;
  std::vector<std::string> names;
  bool as_json = false;
  bool by_risk = false;
};

void add_run(CLI::App& app, Arguments& arguments) {
  auto* command =
      app.add_subcommand("run", "Run the router with all subsystems that the settings enable");
  command->add_option("--settings", arguments.settings, "the settings file (TOML)")->required();
  command->footer("Example: alderspur run --settings deploy/alderspur.toml");
  command->callback([&] { arguments.exit_code = run(arguments.settings); });
}

void add_check(CLI::App& app, Arguments& arguments) {
  CheckOptions& options = arguments.check;
  auto* command =
      app.add_subcommand("check", "Report errors in settings, endpoint lists and .alder files");
  command->add_option("FILE", options.files, "settings, lists, or directories with a manifest")
      ->required();
  command->add_option("--against", options.against, "a list that is treated as the active one");
  command->add_flag("--json", options.json, "findings as JSON");
  command->footer("Example: alderspur check --against servers.toml servers.next.toml");
  command->callback([&] { arguments.exit_code = check(options); });
}

void add_diff(CLI::App& app, Arguments& arguments) {
  auto* command = app.add_subcommand(
      "diff", "Report the semantic differences between two lists or two .alder files");
  command->add_option("OLD", arguments.from)->required();
  command->add_option("NEW", arguments.to)->required();
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->add_flag("--risk", arguments.by_risk,
                    "for .alder files: list the changes with the highest risk first");
  command->footer(
      "Exit code 0: there are no semantic differences. Example: alderspur diff servers.toml "
      "servers.next.toml");
  command->callback([&] {
    arguments.exit_code = diff(arguments.from, arguments.to, arguments.as_json, arguments.by_risk);
  });
}

void add_format(CLI::App& app, Arguments& arguments) {
  FormatOptions& options = arguments.format;
  auto* command = app.add_subcommand("fmt", "Format .alder files in their canonical form");
  command
      ->add_option("FILE", options.files,
                   "files of the configuration language; printed unless written")
      ->required();
  command->add_flag("--write", options.write, "write the files in place");
  command->add_flag("--check", options.check,
                    "only report the files that are not in canonical form");
  command->footer("Example: alderspur fmt --check routes/*.alder");
  command->callback([&] { arguments.exit_code = format_files(options); });
}

void add_explain(CLI::App& app, Arguments& arguments) {
  ExplainOptions& options = arguments.explain;
  auto* command =
      app.add_subcommand("explain", "Report which route, pool and policy apply to a request");
  command->add_option("FILE", options.file, "a file of the configuration language")->required();
  command->add_option("REQUEST", options.requests, "such as \"GET host/path?query\"")->required();
  command->add_option("--point", options.point, "evaluate as a router of this point");
  command->add_option("--header", options.headers, "NAME=VALUE, added to every request");
  command->footer(
      "Example: alderspur explain main.alder \"GET img.example/asset/7f3a9c21e0b4d655/0\"");
  command->callback([&] { arguments.exit_code = explain(options); });
}

void add_seal(CLI::App& app, Arguments& arguments) {
  auto* command =
      app.add_subcommand("seal", "Write the digests into a list, or into a directory's manifest");
  command->add_option("PATH", arguments.path)->required();
  command->footer("Example: alderspur seal servers.d");
  command->callback([&] { arguments.exit_code = seal(arguments.path); });
}

void add_state(CLI::App& app, Arguments& arguments) {
  auto* command = app.add_subcommand("state", "Report the contents of a state directory");
  command->add_option("DIRECTORY", arguments.path)->required();
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->footer("Example: alderspur state /var/lib/alderspur");
  command->callback([&] { arguments.exit_code = state(arguments.path, arguments.as_json); });
}

void add_address(CLI::App& command, Arguments& arguments, const char* text) {
  command.add_option("--at", arguments.address, text)->required();
}

void add_members(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("members", "List the cluster members as seen by a router");
  add_address(*command, arguments, "the router's operators' address");
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->footer(
      "Exit code 0: the router sees all members that it lists. Example: alderspur cluster members "
      "--at 127.0.0.1:8470");
  command->callback(
      [&] { arguments.exit_code = cluster_members(arguments.address, arguments.as_json); });
}

void add_propose(CLI::App& cluster, Arguments& arguments) {
  CanaryOptions& canary = arguments.canary;
  auto* command = cluster.add_subcommand("propose", "Propose a version for all routers");
  command->add_option("DOCUMENT", arguments.names, "NAME=FILE, every document of the version")
      ->required();
  add_address(*command, arguments, "a router's operators' address");
  command->add_option("--author", arguments.author, "who proposes it");
  command->add_option("--base", arguments.base,
                      "number of the version it is based on; default: the newest");
  command->footer(
      "Exit code 0: the version is active. Example: alderspur cluster propose "
      "servers=servers.toml --at "
      "127.0.0.1:8470");
  command->add_option("--first", canary.routers,
                      "members that activate it first, A,B,...: starts a canary rollout");
  command->add_option("--hold", canary.seconds, "duration of the canary rollout in seconds")
      ->check(CLI::Range(1.0, 86400.0));
  command
      ->add_option(
          "--harm", canary.max_harm,
          "roll back if the fraction of failed requests exceeds that of other members by this")
      ->check(CLI::Range(0.0, 1.0));
  command->add_flag("--then-go", canary.promote_on_expiry,
                    "promote the version on expiry; default: roll it back");
  command->callback([&] {
    arguments.exit_code = cluster_propose(arguments.address, arguments.names, arguments.author,
                                          arguments.base, canary);
  });
}

void add_rollout(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand(
      "rollout", "End a canary rollout: promote the version or roll it back");
  command->add_option("WORD", arguments.verdict, "go (promote) or back (roll back)")
      ->required()
      ->check(CLI::IsMember({"go", "back"}));
  command->add_option("NUMBER", arguments.number, "number of the version in the canary rollout")
      ->required();
  add_address(*command, arguments, "a router's operators' address");
  command->callback([&] {
    arguments.exit_code = cluster_rollout(arguments.address, arguments.verdict, arguments.number);
  });
}

void add_versions(CLI::App& cluster, Arguments& arguments) {
  auto* command =
      cluster.add_subcommand("versions", "List the versions of a router: active, pending and past");
  add_address(*command, arguments, "the router's operators' address");
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->footer("Exit code 0: the router holds a valid lease.");
  command->callback(
      [&] { arguments.exit_code = cluster_versions(arguments.address, arguments.as_json); });
}

void add_voters(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("voters", "Replace the set of voters");
  command->add_option("MEMBER", arguments.names, "names of 1, 3, 5 or 7 members")->required();
  add_address(*command, arguments, "a router's operators' address");
  command->callback(
      [&] { arguments.exit_code = cluster_voters(arguments.address, arguments.names); });
}

void add_version_diff(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("diff", "Report the differences between two versions");
  command->add_option("FROM", arguments.from, "a version number")->required();
  command->add_option("TO", arguments.to, "a version number")->required();
  add_address(*command, arguments, "a router's operators' address");
  command->callback(
      [&] { arguments.exit_code = cluster_diff(arguments.address, arguments.from, arguments.to); });
}

void add_cluster(CLI::App& app, Arguments& arguments) {
  auto* cluster =
      app.add_subcommand("cluster", "Inspect and change the cluster of a running router");
  cluster->require_subcommand(1);
  add_members(*cluster, arguments);
  add_propose(*cluster, arguments);
  add_rollout(*cluster, arguments);
  add_versions(*cluster, arguments);
  add_voters(*cluster, arguments);
  add_version_diff(*cluster, arguments);
}

int parse_and_run(int argc, char** argv) {
  CLI::App app("Routes requests to tiers of caches.");
  app.require_subcommand(1);
  app.footer("Exit codes: 0 yes, 1 a finding, 2 usage.");
  Arguments arguments;
  add_run(app, arguments);
  add_check(app, arguments);
  add_diff(app, arguments);
  add_format(app, arguments);
  add_explain(app, arguments);
  add_seal(app, arguments);
  add_state(app, arguments);
  add_cluster(app, arguments);
  app.add_subcommand("version", "Print the version")->callback([] {
    std::puts("alderspur " ALDERSPUR_VERSION);
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kSuccess : kUsage;
  }
  return arguments.exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return parse_and_run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "alderspur: %s\n", error.what());
    return kFinding;
  }
}

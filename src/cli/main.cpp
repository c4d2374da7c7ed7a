// alderspur: the program for installations of our own. Each subcommand is added by a function of
// its own; docs/alderspur.1.md lists them.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "cli/commands.h"

namespace {

// NOLINTNEXTLINE(google-build-using-namespace): the commands, which this file only lists.
using namespace alderspur::cli;

/// What the command line gives to the subcommand that it names, and that command's exit code.
struct Arguments {
  int exit_code = kYes;
  std::string settings;
  CheckOptions check;
  FormatOptions format;
  ExplainOptions explain;
  CanaryOptions canary;
  std::string path;
  std::string from;
  std::string to;
  std::string address;  // an operators' address
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
      app.add_subcommand("run", "Run the router with everything that the settings switch on");
  command->add_option("--settings", arguments.settings, "the settings file (TOML)")->required();
  command->footer("Example: alderspur run --settings deploy/alderspur.toml");
  command->callback([&] { arguments.exit_code = run(arguments.settings); });
}

void add_check(CLI::App& app, Arguments& arguments) {
  CheckOptions& options = arguments.check;
  auto* command =
      app.add_subcommand("check", "Say what is wrong with settings and lists of servers");
  command->add_option("FILE", options.files, "settings, lists, or directories with a manifest")
      ->required();
  command->add_option("--against", options.against, "a list that counts as the one in force");
  command->add_flag("--json", options.json, "findings as JSON");
  command->footer("Example: alderspur check --against servers.toml servers.next.toml");
  command->callback([&] { arguments.exit_code = check(options); });
}

void add_diff(CLI::App& app, Arguments& arguments) {
  auto* command = app.add_subcommand(
      "diff", "Say what changes between two lists or two .alder files, by meaning");
  command->add_option("OLD", arguments.from)->required();
  command->add_option("NEW", arguments.to)->required();
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->add_flag("--risk", arguments.by_risk, "of .alder files: what could hurt most first");
  command->footer(
      "Exit code 0: they mean the same. Example: alderspur diff servers.toml servers.next.toml");
  command->callback([&] {
    arguments.exit_code = diff(arguments.from, arguments.to, arguments.as_json, arguments.by_risk);
  });
}

void add_format(CLI::App& app, Arguments& arguments) {
  FormatOptions& options = arguments.format;
  auto* command = app.add_subcommand("fmt", "Bring .alder files into their canonical form");
  command->add_option("FILE", options.files, "files of the language; printed unless written")
      ->required();
  command->add_flag("--write", options.write, "write them in place");
  command->add_flag("--check", options.check, "only say which are not in their form");
  command->footer("Example: alderspur fmt --check routes/*.alder");
  command->callback([&] { arguments.exit_code = format_files(options); });
}

void add_explain(CLI::App& app, Arguments& arguments) {
  ExplainOptions& options = arguments.explain;
  auto* command =
      app.add_subcommand("explain", "Say which route, pool and policy hold for a request");
  command->add_option("FILE", options.file, "a file of the language")->required();
  command->add_option("REQUEST", options.requests, "such as \"GET host/path?query\"")->required();
  command->add_option("--point", options.point, "as the router of this point");
  command->add_option("--header", options.headers, "NAME=VALUE, of all requests");
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
  auto* command = app.add_subcommand("state", "Say what a state directory holds");
  command->add_option("DIRECTORY", arguments.path)->required();
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->footer("Example: alderspur state /var/lib/alderspur");
  command->callback([&] { arguments.exit_code = state(arguments.path, arguments.as_json); });
}

void add_address(CLI::App& command, Arguments& arguments, const char* text) {
  command.add_option("--at", arguments.address, text)->required();
}

void add_members(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("members", "Who is there, as that router sees it");
  add_address(*command, arguments, "its operators' address");
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->footer(
      "Exit code 0: it sees all it knows. Example: alderspur cluster members --at 127.0.0.1:8470");
  command->callback(
      [&] { arguments.exit_code = cluster_members(arguments.address, arguments.as_json); });
}

void add_propose(CLI::App& cluster, Arguments& arguments) {
  CanaryOptions& canary = arguments.canary;
  auto* command = cluster.add_subcommand("propose", "Propose a version for all routers");
  command->add_option("DOCUMENT", arguments.names, "NAME=FILE, all that the version is to hold")
      ->required();
  add_address(*command, arguments, "a router's operators' address");
  command->add_option("--author", arguments.author, "who proposes it");
  command->add_option("--base", arguments.base, "the number it was made from; else the newest");
  command->footer(
      "Exit code 0: it is in force. Example: alderspur cluster propose servers=servers.toml --at "
      "127.0.0.1:8470");
  command->add_option("--first", canary.routers,
                      "members that it holds for first, A,B,...: a trial");
  command->add_option("--hold", canary.seconds, "seconds that the trial takes")
      ->check(CLI::Range(1.0, 86400.0));
  command
      ->add_option("--harm", canary.max_harm,
                   "part of requests ended badly, over that elsewhere: taken back")
      ->check(CLI::Range(0.0, 1.0));
  command->add_flag("--then-go", canary.promote_on_expiry,
                    "goes on when the time is over; else it is taken back");
  command->callback([&] {
    arguments.exit_code = cluster_propose(arguments.address, arguments.names, arguments.author,
                                          arguments.base, canary);
  });
}

void add_rollout(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("rollout", "End a trial: for all, or taken back");
  command->add_option("WORD", arguments.verdict, "go or back")
      ->required()
      ->check(CLI::IsMember({"go", "back"}));
  command->add_option("NUMBER", arguments.number, "the version on trial")->required();
  add_address(*command, arguments, "a router's operators' address");
  command->callback([&] {
    arguments.exit_code = cluster_rollout(arguments.address, arguments.verdict, arguments.number);
  });
}

void add_versions(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("versions", "What a router acts on and knows of");
  add_address(*command, arguments, "its operators' address");
  command->add_flag("--json", arguments.as_json, "as JSON");
  command->footer("Exit code 0: it acts under a lease.");
  command->callback(
      [&] { arguments.exit_code = cluster_versions(arguments.address, arguments.as_json); });
}

void add_voters(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("voters", "Have other members vote");
  command->add_option("MEMBER", arguments.names, "1, 3, 5 or 7")->required();
  add_address(*command, arguments, "a router's operators' address");
  command->callback(
      [&] { arguments.exit_code = cluster_voters(arguments.address, arguments.names); });
}

void add_version_diff(CLI::App& cluster, Arguments& arguments) {
  auto* command = cluster.add_subcommand("diff", "What differs between two versions");
  command->add_option("FROM", arguments.from, "a number")->required();
  command->add_option("TO", arguments.to, "a number")->required();
  add_address(*command, arguments, "a router's operators' address");
  command->callback(
      [&] { arguments.exit_code = cluster_diff(arguments.address, arguments.from, arguments.to); });
}

void add_cluster(CLI::App& app, Arguments& arguments) {
  auto* cluster = app.add_subcommand("cluster", "What a running router knows of the others");
  cluster->require_subcommand(1);
  add_members(*cluster, arguments);
  add_propose(*cluster, arguments);
  add_rollout(*cluster, arguments);
  add_versions(*cluster, arguments);
  add_voters(*cluster, arguments);
  add_version_diff(*cluster, arguments);
}

int parse_and_run(int argc, char** argv) {
  CLI::App app("Routes requests to tiers of caches, by one decision module.");
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
    return app.exit(error) == 0 ? kYes : kUsage;
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

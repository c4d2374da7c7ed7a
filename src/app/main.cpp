// alderspur: the product's program. Every subsystem adds its subcommand here; docs/alderspur.1.md
// lists them.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

#include "app/cluster_service.h"
#include "app/commands.h"
#include "app/language.h"

int main(int argc, char** argv) {
  using namespace alderspur::app;
  CLI::App cli("Routes requests to tiers of caches, by one decision module.");
  cli.require_subcommand(1);
  cli.footer("Exit codes: 0 yes, 1 a finding, 2 usage.");
  int code = kYes;

  std::string settings;
  auto* run_command =
      cli.add_subcommand("run", "Run the router with everything that the settings switch on");
  run_command->add_option("--settings", settings, "the settings file (TOML)")->required();
  run_command->footer("Example: alderspur run --settings deploy/alderspur.toml");
  run_command->callback([&] { code = run(settings); });

  CheckOptions options;
  auto* check_command =
      cli.add_subcommand("check", "Say what is wrong with settings and lists of servers");
  check_command
      ->add_option("FILE", options.files, "settings, lists, or directories with a manifest")
      ->required();
  check_command->add_option("--against", options.against, "a list that counts as the one in force");
  check_command->add_flag("--json", options.json, "findings as JSON");
  check_command->footer("Example: alderspur check --against servers.toml servers.next.toml");
  check_command->callback([&] { code = check(options); });

  std::string from, to;
  bool json = false, by_risk = false;
  auto* diff_command = cli.add_subcommand(
      "diff", "Say what changes between two lists or two .alder files, by meaning");
  diff_command->add_option("OLD", from)->required();
  diff_command->add_option("NEW", to)->required();
  diff_command->add_flag("--json", json, "as JSON");
  diff_command->add_flag("--risk", by_risk, "of .alder files: what could hurt most first");
  diff_command->footer(
      "Exit code 0: they mean the same. Example: alderspur diff servers.toml servers.next.toml");
  diff_command->callback([&] { code = diff(from, to, json, by_risk); });

  FormatOptions format;
  auto* fmt_command = cli.add_subcommand("fmt", "Bring .alder files into their canonical form");
  fmt_command->add_option("FILE", format.files, "files of the language; printed unless written")
      ->required();
  fmt_command->add_flag("--write", format.write, "write them in place");
  fmt_command->add_flag("--check", format.check, "only say which are not in their form");
  fmt_command->footer("Example: alderspur fmt --check routes/*.alder");
  fmt_command->callback([&] { code = format_files(format); });

  ExplainOptions explained;
  auto* explain_command =
      cli.add_subcommand("explain", "Say which route, pool and policy hold for a request");
  explain_command->add_option("FILE", explained.file, "a file of the language")->required();
  explain_command->add_option("REQUEST", explained.requests, "such as \"GET host/path?query\"")
      ->required();
  explain_command->add_option("--point", explained.point, "as the router of this point");
  explain_command->add_option("--header", explained.headers, "NAME=VALUE, of all requests");
  explain_command->footer(
      "Example: alderspur explain main.alder \"GET img.example/asset/7f3a9c21e0b4d655/0\"");
  explain_command->callback([&] { code = explain(explained); });

  std::string path;
  auto* seal_command =
      cli.add_subcommand("seal", "Write the digests into a list, or into a directory's manifest");
  seal_command->add_option("PATH", path)->required();
  seal_command->footer("Example: alderspur seal servers.d");
  seal_command->callback([&] { code = seal(path); });

  std::string folder;
  auto* state_command = cli.add_subcommand("state", "Say what a state directory holds");
  state_command->add_option("DIRECTORY", folder)->required();
  state_command->add_flag("--json", json, "as JSON");
  state_command->footer("Example: alderspur state /var/lib/alderspur");
  state_command->callback([&] { code = state(folder, json); });

  std::string at;
  auto* cluster_command =
      cli.add_subcommand("cluster", "What a running router knows of the others");
  cluster_command->require_subcommand(1);
  auto* members_command =
      cluster_command->add_subcommand("members", "Who is there, as that router sees it");
  members_command->add_option("--at", at, "its operators' address")->required();
  members_command->add_flag("--json", json, "as JSON");
  members_command->footer(
      "Exit code 0: it sees all it knows. Example: alderspur cluster members --at 127.0.0.1:8470");
  members_command->callback([&] { code = cluster_members(at, json); });

  std::vector<std::string> words;
  std::string author, base;
  auto* propose_command =
      cluster_command->add_subcommand("propose", "Propose a version for all routers");
  propose_command->add_option("DOCUMENT", words, "NAME=FILE, all that the version is to hold")
      ->required();
  propose_command->add_option("--at", at, "a router's operators' address")->required();
  propose_command->add_option("--author", author, "who proposes it");
  propose_command->add_option("--base", base, "the number it was made from; else the newest");
  propose_command->footer(
      "Exit code 0: it is in force. Example: alderspur cluster propose servers=servers.toml --at "
      "127.0.0.1:8470");
  TrialOptions trial;
  propose_command->add_option("--first", trial.first,
                              "members that it holds for first, A,B,...: a trial");
  propose_command->add_option("--hold", trial.hold, "seconds that the trial takes")
      ->check(CLI::Range(1.0, 86400.0));
  propose_command
      ->add_option("--harm", trial.harm,
                   "part of requests ended badly, over that elsewhere: taken back")
      ->check(CLI::Range(0.0, 1.0));
  propose_command->add_flag("--then-go", trial.go_on,
                            "goes on when the time is over; else it is taken back");
  propose_command->callback([&] { code = cluster_propose(at, words, author, base, trial); });
  std::string verdict, number;
  auto* rollout_command =
      cluster_command->add_subcommand("rollout", "End a trial: for all, or taken back");
  rollout_command->add_option("WORD", verdict, "go or back")
      ->required()
      ->check(CLI::IsMember({"go", "back"}));
  rollout_command->add_option("NUMBER", number, "the version on trial")->required();
  rollout_command->add_option("--at", at, "a router's operators' address")->required();
  rollout_command->callback([&] { code = cluster_rollout(at, verdict, number); });
  auto* versions_command =
      cluster_command->add_subcommand("versions", "What a router acts on and knows of");
  versions_command->add_option("--at", at, "its operators' address")->required();
  versions_command->add_flag("--json", json, "as JSON");
  versions_command->footer("Exit code 0: it acts under a lease.");
  versions_command->callback([&] { code = cluster_versions(at, json); });
  auto* voters_command = cluster_command->add_subcommand("voters", "Have other members vote");
  voters_command->add_option("MEMBER", words, "1, 3, 5 or 7")->required();
  voters_command->add_option("--at", at, "a router's operators' address")->required();
  voters_command->callback([&] { code = cluster_voters(at, words); });
  auto* diff_versions =
      cluster_command->add_subcommand("diff", "What differs between two versions");
  diff_versions->add_option("FROM", from, "a number")->required();
  diff_versions->add_option("TO", to, "a number")->required();
  diff_versions->add_option("--at", at, "a router's operators' address")->required();
  diff_versions->callback([&] { code = cluster_diff(at, from, to); });

  cli.add_subcommand("version", "Print the version")->callback([] {
    std::puts("alderspur " ALDERSPUR_VERSION);
  });

  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return cli.exit(e) == 0 ? kYes : kUsage;
  }
  return code;
}

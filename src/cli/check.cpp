// `alderspur check`: reports the errors of settings, lists of servers and programs of the
// configuration language.
#include "endpoints/check.h"

#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "cli/endpoint_list.h"
#include "cli/printing.h"
#include "config/config.h"
#include "config_language/checked_program.h"
#include "control/routes.h"
#include "json/writer.h"
#include "routing/server_selection.h"
#include "settings/settings.h"

namespace alderspur::cli {
namespace {

using Renderer = std::function<std::string(const diagnostics::Finding&)>;

/// The result of checking one file.
struct CheckResult {
  diagnostics::Findings findings;
  std::string summary;                       // printed if the file has no errors
  Renderer render = diagnostics::to_string;  // programs: also prints the source line
};

bool is_settings(const std::string& text) { return text.find("[router]") != std::string::npos; }

/// Compiles the program of routes. Returns null if it has errors, which are added as findings on
/// the settings file.
control::CompiledRoutesPtr check_routes(const settings::Settings& settings, const std::string& file,
                                        const config::Config& config,
                                        diagnostics::Findings& findings) {
  auto result = control::compile_routes(settings.routes_file, config);
  if (!result.routes) {
    for (const auto& error : control::first_errors(result.findings)) {
      findings.error("S002", {file, 0, 0}, error);
    }
  }
  return result.routes;
}

/// Reports each pool that selects no server of the list.
void check_pools(const routing::Table& table, const endpoints::Snapshot& list,
                 diagnostics::Findings& findings) {
  for (const auto& pool : table.pools()) {
    if (!routing::select_servers(pool, list).empty()) continue;
    findings.error("A043", pool.declared_at,
                   "pool " + pool.name + " selects no server in service of " + list.source,
                   "change its selection, or add a server for it to the list");
  }
}

/// Checks the files that the settings refer to: the configuration, the routes and the endpoint
/// list.
void check_named_files(settings::Settings& settings, const std::string& file,
                       diagnostics::Findings& findings) {
  const auto config = config::read_file(settings.config_file);
  settings::resolve(settings, config, findings);
  control::CompiledRoutesPtr routes;
  if (!settings.routes_file.empty()) routes = check_routes(settings, file, config, findings);
  if (!settings.membership || settings.membership->list.empty()) return;
  const auto list = read_endpoint_list(settings.membership->list, findings);
  if (!list) return;
  check_alone(*list, findings);
  (void)to_members(*list, config.names.zones, findings);
  if (routes) check_pools(*routes->table, *list, findings);
}

void check_settings(const std::string& file, const std::string& content,
                    diagnostics::Findings& findings) {
  const auto folder = std::filesystem::path(file).parent_path().string();
  auto settings = settings::read(content, file, folder, findings);
  if (settings.config_file.empty()) return;
  try {
    check_named_files(settings, file, findings);
  } catch (const std::exception& error) {
    findings.error("S002", {file, 0, 0}, error.what());
  }
}

void check_program(const std::string& path, CheckResult& result) {
  const auto checked = std::make_shared<config_language::CheckedProgram>(
      config_language::load_and_check(path, result.findings));
  result.render = [checked](const diagnostics::Finding& finding) {
    return checked->program.sources.render(finding);
  };
  result.summary = std::to_string(checked->meaning.declarations().size()) + " declarations in " +
                   std::to_string(checked->program.trees.size()) + " files";
}

void check_list(const std::string& path, const endpoints::Snapshot* against, CheckResult& result) {
  const auto list = read_endpoint_list(path, result.findings);
  if (!list) return;
  check_alone(*list, result.findings);
  check_change(against, *list, {}, result.findings);
  result.summary = std::to_string(list->servers.size()) + " servers, " +
                   summary(against, *list, difference(against, *list));
}

CheckResult check_one(const std::string& path, const endpoints::Snapshot* against) {
  CheckResult result;
  try {
    if (config_language::is_program_path(path)) {
      check_program(path, result);
      return result;
    }
    const bool is_directory = std::filesystem::is_directory(path);
    const auto content = is_directory ? std::string() : config::read_text(path);
    if (!is_directory && is_settings(content)) {
      check_settings(path, content, result.findings);
      result.summary = "settings";
      return result;
    }
    check_list(path, against, result);
  } catch (const std::exception& error) {
    result.findings.error("S002", {path, 0, 0}, error.what());
  }
  return result;
}

void write_finding(json::Writer& writer, const diagnostics::Finding& finding) {
  const bool is_error = finding.severity == diagnostics::Severity::error;
  writer.StartObject();
  json::write_text(writer, "severity", is_error ? "error" : "warning");
  json::write_text(writer, "code", finding.code);
  json::write_text(writer, "file", finding.location.file);
  writer.Key("line");
  writer.Uint(finding.location.line);
  writer.Key("column");
  writer.Uint(finding.location.column);
  json::write_text(writer, "text", finding.text);
  json::write_text(writer, "mend", finding.suggestion);
  writer.EndObject();
}

void write_findings(json::Writer& writer, const std::string& path,
                    const diagnostics::Findings& findings) {
  writer.StartObject();
  json::write_text(writer, "file", path);
  writer.Key("good");
  writer.Bool(findings.is_ok());
  writer.Key("findings");
  writer.StartArray();
  for (const auto& finding : findings.list()) write_finding(writer, finding);
  writer.EndArray();
  json::write_count(writer, "left_out", findings.omitted());
  writer.EndObject();
}

void print_result(const std::string& path, const CheckResult& result) {
  const auto& findings = result.findings;
  for (const auto& finding : findings.list()) std::printf("%s\n", result.render(finding).c_str());
  if (findings.omitted()) std::printf("%s: and %zu more\n", path.c_str(), findings.omitted());
  if (findings.is_ok()) std::printf("%s: good: %s\n", path.c_str(), result.summary.c_str());
}

/// Returns the list that is treated as the active one; null if `path` is empty.
endpoints::SnapshotPtr read_active_list(const std::string& path) {
  if (path.empty()) return nullptr;
  diagnostics::Findings findings;
  auto list = read_endpoint_list(path, findings);
  if (!list) {
    throw config::Error(path +
                        " is not a valid endpoint list: " + to_string(findings.list().at(0)));
  }
  return list;
}

}  // namespace

int check(const CheckOptions& options) {
  return run_and_print_exceptions([&] {
    const auto against = read_active_list(options.against);
    rapidjson::StringBuffer buffer;
    json::Writer writer(buffer);
    writer.StartArray();
    bool is_good = true;
    for (const auto& path : options.files) {
      const auto result = check_one(path, against.get());
      is_good &= result.findings.is_ok();
      write_findings(writer, path, result.findings);
      if (!options.json) print_result(path, result);
    }
    writer.EndArray();
    if (options.json) std::printf("%s\n", buffer.GetString());
    return is_good ? kSuccess : kFinding;
  });
}

}  // namespace alderspur::cli

// The subcommands check, diff, seal and state, on settings and lists of servers.
#include "endpoints/check.h"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>

#include "cli/commands.h"
#include "cli/language.h"
#include "config/config.h"
#include "config_language/checked_program.h"
#include "control/routes.h"
#include "endpoints/list.h"
#include "file_watch/source.h"
#include "json/writer.h"
#include "routing/server_selection.h"
#include "settings/settings.h"
#include "store/endpoint_state.h"

namespace alderspur::cli {
namespace {

constexpr core::Time kMicrosecondsPerSecond = 1'000'000;

using Renderer = std::function<std::string(const diagnostics::Finding&)>;

/// What the check of one file gave.
struct CheckResult {
  diagnostics::Findings findings;
  std::string summary;                       // of a good file
  Renderer render = diagnostics::to_string;  // with the source line, for files of the language
};

core::Time unix_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

/// The file that holds a list: of a directory, its manifest.
std::string list_file(const std::string& path) {
  return std::filesystem::is_directory(path) ? path + "/manifest.toml" : path;
}

void print_to_stderr(const diagnostics::Findings& findings) {
  for (const auto& finding : findings.list()) {
    std::fprintf(stderr, "%s\n", diagnostics::to_string(finding).c_str());
  }
}

/// Reads a list from a file or a directory, as the running router would.
endpoints::SnapshotPtr read_list(const std::string& path, diagnostics::Findings& findings) {
  const endpoints::ListLimits limits;
  const std::string file = list_file(path);
  const auto read =
      endpoints::read_list(config::read_text(file), file, unix_now(), limits, findings);
  if (!read.list || read.pieces.empty()) return read.list;
  std::vector<std::string> texts;
  const auto folder = std::filesystem::path(file).parent_path();
  for (const auto& piece : read.pieces) {
    texts.push_back(config::read_text((folder / piece.file).string()));
  }
  return endpoints::read_pieces(read, texts, limits, findings);
}

bool is_settings(const std::string& text) { return text.find("[router]") != std::string::npos; }

/// Null where the program of routes has errors, which are added as findings of the settings file.
control::TablePtr check_routes(const settings::Settings& settings, const std::string& file,
                               const config::Config& config, diagnostics::Findings& findings) {
  std::vector<std::string> errors;
  auto routes = control::compile(settings.routes_file, config, errors);
  if (!routes) {
    for (const auto& error : errors) findings.error("S002", {file, 0, 0}, error);
  }
  return routes;
}

void check_pools(const routing::Table& table, const endpoints::Snapshot& list,
                 diagnostics::Findings& findings) {
  for (const auto& pool : table.pools()) {
    if (!routing::select_servers(pool, list).empty()) continue;
    findings.error("A043", pool.declared_at,
                   "pool " + pool.name + " selects no server in service of " + list.source,
                   "change what it selects, or list a server for it");
  }
}

/// Checks what the settings name: the configuration, the routes and the list of servers.
void check_named_files(settings::Settings& settings, const std::string& file,
                       diagnostics::Findings& findings) {
  const auto config = config::read_file(settings.config_file);
  settings::resolve(settings, config, findings);
  control::TablePtr routes;
  if (!settings.routes_file.empty()) routes = check_routes(settings, file, config, findings);
  if (!settings.membership || settings.membership->list.empty()) return;
  const auto list = read_list(settings.membership->list, findings);
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
  const auto list = read_list(path, result.findings);
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
  writer.Key("left_out");
  writer.Uint64(findings.omitted());
  writer.EndObject();
}

void print_result(const std::string& path, const CheckResult& result) {
  const auto& findings = result.findings;
  for (const auto& finding : findings.list()) std::printf("%s\n", result.render(finding).c_str());
  if (findings.omitted()) std::printf("%s: and %zu more\n", path.c_str(), findings.omitted());
  if (findings.is_ok()) std::printf("%s: good: %s\n", path.c_str(), result.summary.c_str());
}

/// The list that counts as in force; null where none is given.
endpoints::SnapshotPtr read_list_in_force(const std::string& path) {
  if (path.empty()) return nullptr;
  diagnostics::Findings findings;
  auto list = read_list(path, findings);
  if (!list) {
    throw config::Error(path + " is no good list: " + to_string(findings.list().at(0)));
  }
  return list;
}

void write_names(json::Writer& writer, const char* key, const std::vector<ServerId>& ids,
                 const endpoints::Snapshot& from, const endpoints::Snapshot& to) {
  writer.Key(key);
  writer.StartArray();
  for (const ServerId id : ids) {
    const auto* server = to.find(id) ? to.find(id) : from.find(id);
    writer.String(server->name.data(), static_cast<rapidjson::SizeType>(server->name.size()));
  }
  writer.EndArray();
}

void print_difference(const endpoints::Snapshot& from, const endpoints::Snapshot& to,
                      const endpoints::Difference& changes) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  write_names(writer, "added", changes.added, from, to);
  write_names(writer, "removed", changes.removed, from, to);
  write_names(writer, "drained", changes.drained, from, to);
  write_names(writer, "returned", changes.reinstated, from, to);
  write_names(writer, "moved", changes.moved, from, to);
  write_names(writer, "weighted", changes.reweighted, from, to);
  write_names(writer, "other", changes.reassigned, from, to);
  writer.Key("places");
  writer.Bool(changes.has_location_changes);
  writer.EndObject();
  std::printf("%s\n", buffer.GetString());
}

void print_state(const store::EndpointState& state, core::Time age_seconds) {
  std::printf("generation %llu of %s, %zu servers, read %lld s ago; remembered of %zu\n",
              static_cast<unsigned long long>(state.list->generation), state.list->source.c_str(),
              state.list->servers.size(), static_cast<long long>(age_seconds),
              state.remembered.size());
}

void print_state_as_json(const store::EndpointState& state, core::Time age_seconds) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  writer.Key("generation");
  writer.Uint64(state.list->generation);
  json::write_text(writer, "source", state.list->source);
  writer.Key("servers");
  writer.Uint64(state.list->servers.size());
  writer.Key("age_s");
  writer.Int64(age_seconds);
  writer.Key("remembered");
  writer.Uint64(state.remembered.size());
  writer.EndObject();
  std::printf("%s\n", buffer.GetString());
}

/// Runs a command; an exception becomes its message and the exit code of a finding.
int with_errors_printed(const std::function<int()>& command) {
  try {
    return command();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "alderspur: %s\n", error.what());
    return kFinding;
  }
}

void replace_text(const std::string& path, const std::string& content) {
  const auto temporary = path + ".new";
  {
    std::ofstream out(temporary, std::ios::binary);
    out << content;
    if (!out.flush()) throw config::Error("cannot write " + temporary);
  }
  std::filesystem::rename(temporary, path);
}

/// Writes the digest of each piece into the line after its `file = "..."`.
std::string sealed_manifest(const std::string& folder, const std::string& manifest) {
  std::string sealed;
  std::string piece;
  for (std::size_t at = 0; at < manifest.size();) {
    const auto end = std::min(manifest.find('\n', at), manifest.size() - 1);
    std::string line = manifest.substr(at, end + 1 - at);
    at = end + 1;
    const auto quote = line.find('"');
    if (line.starts_with("file") && quote != std::string::npos) {
      piece = line.substr(quote + 1, line.find('"', quote + 1) - quote - 1);
    }
    if (line.starts_with("digest") && !piece.empty()) {
      const auto content = config::read_text((std::filesystem::path(folder) / piece).string());
      line = "digest = \"";
      line += endpoints::format_digest(endpoints::compute_digest(content));
      line += "\"\n";
      piece.clear();
    }
    sealed += line;
  }
  return sealed;
}

}  // namespace

int check(const CheckOptions& options) {
  return with_errors_printed([&] {
    const auto against = read_list_in_force(options.against);
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
    return is_good ? kYes : kFinding;
  });
}

int diff(const std::string& from, const std::string& to, bool json, bool by_risk) {
  return with_errors_printed([&] {
    if (config_language::is_program_path(from) && config_language::is_program_path(to))
      return diff_language(from, to, json, by_risk);
    diagnostics::Findings findings;
    const auto old_list = read_list(from, findings);
    const auto new_list = read_list(to, findings);
    if (!old_list || !new_list) {
      print_to_stderr(findings);
      return kUsage;
    }
    const auto changes = difference(old_list.get(), *new_list);
    if (json) {
      print_difference(*old_list, *new_list, changes);
    } else {
      std::printf("%s\n", summary(old_list.get(), *new_list, changes).c_str());
    }
    return changes.is_empty() ? kYes : kFinding;
  });
}

int seal(const std::string& path) {
  return with_errors_printed([&] {
    const std::string file = list_file(path);
    auto content = config::read_text(file);
    if (std::filesystem::is_directory(path)) content = sealed_manifest(path, content);
    replace_text(file, endpoints::with_digest(content));
    diagnostics::Findings findings;
    if (read_list(path, findings)) return kYes;
    for (const auto& finding : findings.list()) {
      std::printf("%s\n", diagnostics::to_string(finding).c_str());
    }
    return kFinding;
  });
}

int state(const std::string& folder, bool json) {
  return with_errors_printed([&] {
    const auto restored = store::load_endpoint_state(folder + "/membership.state");
    if (!restored.state) throw config::Error(to_string(*restored.error));
    const auto age_seconds = (unix_now() - restored.state->list->read_at) / kMicrosecondsPerSecond;
    if (json) {
      print_state_as_json(*restored.state, age_seconds);
    } else {
      print_state(*restored.state, age_seconds);
    }
    return kYes;
  });
}

}  // namespace alderspur::cli

// `alderspur diff`: prints the semantic differences between two endpoint lists or two programs of
// the configuration language.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/endpoint_list.h"
#include "cli/printing.h"
#include "config_language/checked_program.h"
#include "config_language/differ.h"
#include "endpoints/check.h"
#include "json/writer.h"

namespace alderspur::cli {
namespace {

int exit_code(bool is_same) { return is_same ? kSuccess : kFinding; }

// ---- Lists of servers ----

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

void print_as_json(const endpoints::Snapshot& from, const endpoints::Snapshot& to,
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

int diff_lists(const std::string& from, const std::string& to, bool json) {
  diagnostics::Findings findings;
  const auto old_list = read_endpoint_list(from, findings);
  const auto new_list = read_endpoint_list(to, findings);
  if (!old_list || !new_list) {
    print_findings(stderr, findings);
    return kUsage;
  }
  const auto changes = difference(old_list.get(), *new_list);
  if (json) {
    print_as_json(*old_list, *new_list, changes);
  } else {
    std::printf("%s\n", summary(old_list.get(), *new_list, changes).c_str());
  }
  return exit_code(changes.is_empty());
}

// ---- Programs of the configuration language ----

void print_as_json(const std::vector<config_language::Change>& changes) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartArray();
  for (const auto& change : changes) {
    writer.StartObject();
    json::write_text(writer, "risk", config_language::to_string(change.risk));
    json::write_text(writer, "what", change.kind);
    json::write_text(writer, "name", change.name);
    json::write_text(writer, "field", change.field);
    json::write_text(writer, "text", change.text);
    writer.EndObject();
  }
  writer.EndArray();
  std::printf("%s\n", buffer.GetString());
}

void print_lines(const std::vector<config_language::Change>& changes) {
  for (const auto& change : changes) {
    std::printf("%-4s  %s\n", config_language::to_string(change.risk), change.text.c_str());
  }
}

/// Sorts changes by falling risk. The order of changes with the same risk is preserved.
void sort_by_risk(std::vector<config_language::Change>& changes) {
  std::stable_sort(changes.begin(), changes.end(),
                   [](const auto& left, const auto& right) { return left.risk > right.risk; });
}

int diff_programs(const std::string& from, const std::string& to, bool json, bool by_risk) {
  diagnostics::Findings old_findings;
  diagnostics::Findings new_findings;
  const auto old_program = config_language::load_and_check(from, old_findings);
  const auto new_program = config_language::load_and_check(to, new_findings);
  if (!old_findings.is_ok() || !new_findings.is_ok()) {
    print_findings(old_program.program.sources, old_findings);
    print_findings(new_program.program.sources, new_findings);
    return kUsage;
  }
  auto changes = config_language::find_changes(old_program.meaning, new_program.meaning);
  if (by_risk) sort_by_risk(changes);
  if (json) {
    print_as_json(changes);
  } else {
    print_lines(changes);
  }
  return exit_code(changes.empty());
}

}  // namespace

int diff(const std::string& from, const std::string& to, bool json, bool by_risk) {
  return run_and_print_exceptions([&] {
    if (config_language::is_program_path(from) && config_language::is_program_path(to)) {
      return diff_programs(from, to, json, by_risk);
    }
    return diff_lists(from, to, json);
  });
}

}  // namespace alderspur::cli

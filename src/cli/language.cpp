#include "cli/language.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string_view>
#include <variant>

#include "cli/commands.h"
#include "config_language/checked_program.h"
#include "config_language/differ.h"
#include "config_language/files.h"
#include "config_language/format.h"
#include "config_language/parser.h"
#include "routing/table.h"

namespace alderspur::cli {
namespace {

void print_findings(const config_language::Sources& sources,
                    const diagnostics::Findings& findings) {
  for (const auto& finding : findings.list()) {
    std::fprintf(stderr, "%s\n", sources.render(finding).c_str());
  }
  if (findings.omitted()) std::fprintf(stderr, "and %zu more\n", findings.omitted());
}

bool replace(const std::string& path, const std::string& text) {
  const auto temporary = path + ".new";
  {
    std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
    out << text;
    if (!out.flush()) return false;
  }
  std::error_code error;
  std::filesystem::permissions(temporary, std::filesystem::status(path).permissions(), error);
  std::filesystem::rename(temporary, path, error);
  return !error;
}

}  // namespace

int format_files(const FormatOptions& options) {
  int code = kYes;
  config_language::FileLoader loader;
  for (const auto& path : options.files) {
    const auto result = loader.read(path);
    if (const auto* error = std::get_if<config_language::ReadError>(&result)) {
      std::fprintf(stderr, "%s: %s\n", path.c_str(), to_string(*error));
      code = kFinding;
      continue;
    }
    const auto& text = std::get<std::string>(result);
    config_language::Sources sources;
    diagnostics::Findings findings;
    const auto tree = config_language::parse(sources, sources.add(path, text), findings);
    // What did not parse is not in the tree: writing the tree would remove it from the file.
    if (!findings.is_ok()) {
      print_findings(sources, findings);
      code = kFinding;
      continue;
    }
    const auto formatted = config_language::format(tree);
    const bool same = formatted == text;
    if (!options.write && !options.check) std::fputs(formatted.c_str(), stdout);
    if (options.check && !same) {
      std::printf("%s: not in its form\n", path.c_str());
      code = kFinding;
    }
    if (options.write && !same && !replace(path, formatted)) {
      std::fprintf(stderr, "%s: cannot be written\n", path.c_str());
      code = kFinding;
    }
  }
  return code;
}

namespace {

/// A request of the command line, taken apart. The attributes that are matched hold views of it.
struct RequestText {
  std::string method;
  std::string host;
  std::string path;
  std::string query;  // "&name=value&...", or empty
};

/// Nothing where the text is not of the form "GET host/path?query".
std::optional<RequestText> parse_request(const std::string& text) {
  const auto space = text.find(' ');
  const auto slash = text.find('/', space);
  if (space == std::string::npos || slash == std::string::npos) return std::nullopt;
  const auto mark = std::min(text.find('?', slash), text.size());
  RequestText request;
  request.method = text.substr(0, space);
  request.host = text.substr(space + 1, slash - space - 1);
  request.path = text.substr(slash, mark - slash);
  if (mark < text.size()) request.query = "&" + text.substr(mark + 1) + "&";
  return request;
}

std::optional<std::string_view> find_header(const std::vector<std::string>& headers,
                                            std::string_view name) {
  for (const std::string_view header : headers) {
    const auto equals = header.find('=');
    if (equals != std::string_view::npos && header.substr(0, equals) == name) {
      return header.substr(equals + 1);
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> find_parameter(std::string_view query, std::string_view name) {
  const auto at = query.find("&" + std::string(name) + "=");
  if (at == std::string_view::npos) return std::nullopt;
  const auto value = at + name.size() + 2;
  return query.substr(value, query.find('&', value) - value);
}

/// The name of a declaration with its place.
std::string name_with_place(const config_language::CheckedProgram& checked, const char* kind,
                            const std::string& name) {
  const auto* declaration = checked.meaning.find(kind, name);
  const auto place = checked.program.sources.location(declaration->span);
  return name + " (" + place.file + ":" + std::to_string(place.line) + ")";
}

void print_match(const std::string& request, const config_language::CheckedProgram& checked,
                 const routing::Table& table, const routing::Match& match) {
  std::printf("%s: route %s, class %s", request.c_str(),
              name_with_place(checked, "route", match.route->name).c_str(),
              name_with_place(checked, "class", match.route->class_name).c_str());
  if (match.destination.pool) {
    const auto& pool = table.pools()[*match.destination.pool];
    std::printf(", pool %s", name_with_place(checked, "pool", pool.name).c_str());
  }
  if (match.destination.policy) {
    const auto& policy = table.policies()[*match.destination.policy];
    std::printf(", policy %s", name_with_place(checked, "policy", policy.name).c_str());
  }
  for (const auto& [name, value] : match.captures) {
    std::printf(", %s=%.*s", std::string(name).c_str(), static_cast<int>(value.size()),
                value.data());
  }
  if (!match.route->splits.empty()) std::printf("; splits send others elsewhere");
  std::printf("\n");
}

}  // namespace

int explain(const ExplainOptions& options) {
  diagnostics::Findings findings;
  const auto checked = config_language::load_and_check(options.file, findings);
  print_findings(checked.program.sources, findings);
  if (!findings.is_ok()) return kUsage;
  const routing::Table table(checked.meaning, checked.program.sources);
  int exit_code = kYes;
  for (const auto& text : options.requests) {
    const auto request = parse_request(text);
    if (!request) {
      std::fprintf(stderr, "'%s' is no request: write \"GET host/path\"\n", text.c_str());
      return kUsage;
    }
    routing::RequestAttributes attributes{
        request->host, request->path, request->method, options.point, {}, {}, 0};
    attributes.header = [&](std::string_view name) { return find_header(options.headers, name); };
    attributes.query = [&](std::string_view name) { return find_parameter(request->query, name); };
    if (const auto match = table.match(attributes)) {
      print_match(text, checked, table, *match);
    } else {
      std::printf("%s: no route\n", text.c_str());
      exit_code = kFinding;
    }
  }
  return exit_code;
}

int diff_language(const std::string& from, const std::string& to, bool json, bool by_risk) {
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
  if (by_risk) {
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto& left, const auto& right) { return left.risk > right.risk; });
  }
  if (!json) {
    for (const auto& change : changes) {
      std::printf("%-4s  %s\n", config_language::to_string(change.risk), change.text.c_str());
    }
    return changes.empty() ? kYes : kFinding;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  const auto text = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartArray();
  for (const auto& change : changes) {
    writer.StartObject();
    text("risk", config_language::to_string(change.risk));
    text("what", change.kind);
    text("name", change.name);
    text("field", change.field);
    text("text", change.text);
    writer.EndObject();
  }
  writer.EndArray();
  std::printf("%s\n", buffer.GetString());
  return changes.empty() ? kYes : kFinding;
}

}  // namespace alderspur::cli

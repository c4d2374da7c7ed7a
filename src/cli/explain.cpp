// `alderspur explain`: prints which route, pool and policy apply to a request.
#include <algorithm>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cli/commands.h"
#include "cli/printing.h"
#include "config_language/checked_program.h"
#include "routing/table.h"

namespace alderspur::cli {
namespace {

/// A request from the command line. It must outlive the routing::RequestAttributes, which hold
/// views of its strings.
struct RequestText {
  std::string method;
  std::string host;
  std::string path;
  std::string query;  // "&name=value&...", or empty
};

/// Parses a request of the form "GET host/path?query"; returns nullopt if the text has another
/// form.
std::optional<RequestText> parse_request(const std::string& text) {
  const auto space = text.find(' ');
  const auto slash = text.find('/', space);
  if (space == std::string::npos || slash == std::string::npos) return std::nullopt;
  const auto query_mark = std::min(text.find('?', slash), text.size());
  RequestText request;
  request.method = text.substr(0, space);
  request.host = text.substr(space + 1, slash - space - 1);
  request.path = text.substr(slash, query_mark - slash);
  if (query_mark < text.size()) request.query = "&" + text.substr(query_mark + 1) + "&";
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

/// Returns the name of a declaration with its file and line.
std::string name_with_location(const config_language::CheckedProgram& checked, const char* kind,
                               const std::string& name) {
  const auto* declaration = checked.meaning.find(kind, name);
  const auto location = checked.program.sources.location(declaration->span);
  return name + " (" + location.file + ":" + std::to_string(location.line) + ")";
}

void print_match(const std::string& request, const config_language::CheckedProgram& checked,
                 const routing::Table& table, const routing::Match& match) {
  std::printf("%s: route %s, class %s", request.c_str(),
              name_with_location(checked, "route", match.route->name).c_str(),
              name_with_location(checked, "class", match.route->class_name).c_str());
  if (match.destination.pool) {
    const auto& pool = table.pools()[*match.destination.pool];
    std::printf(", pool %s", name_with_location(checked, "pool", pool.name).c_str());
  }
  if (match.destination.policy) {
    const auto& policy = table.policies()[*match.destination.policy];
    std::printf(", policy %s", name_with_location(checked, "policy", policy.name).c_str());
  }
  for (const auto& [name, value] : match.captures) {
    std::printf(", %s=%.*s", std::string(name).c_str(), static_cast<int>(value.size()),
                value.data());
  }
  if (!match.route->splits.empty()) std::printf("; splits may route some requests differently");
  std::printf("\n");
}

std::optional<routing::Match> find_match(const RequestText& request, const ExplainOptions& options,
                                         const routing::Table& table) {
  routing::RequestAttributes attributes;
  attributes.host = request.host;
  attributes.path = request.path;
  attributes.method = request.method;
  attributes.location = options.point;
  attributes.header = [&](std::string_view name) { return find_header(options.headers, name); };
  attributes.query = [&](std::string_view name) { return find_parameter(request.query, name); };
  return table.match(attributes);
}

/// Explains one request, given as its text, and returns the exit code.
int explain_request(const std::string& text, const ExplainOptions& options,
                    const config_language::CheckedProgram& checked, const routing::Table& table) {
  const auto request = parse_request(text);
  if (!request) {
    std::fprintf(stderr, "'%s' is not a valid request: write \"GET host/path\"\n", text.c_str());
    return kUsage;
  }
  const auto match = find_match(*request, options, table);
  if (!match) {
    std::printf("%s: no route\n", text.c_str());
    return kFinding;
  }
  print_match(text, checked, table, *match);
  return kSuccess;
}

}  // namespace

int explain(const ExplainOptions& options) {
  diagnostics::Findings findings;
  const auto checked = config_language::load_and_check(options.file, findings);
  print_findings(checked.program.sources, findings);
  if (!findings.is_ok()) return kUsage;
  const routing::Table table(checked.meaning, checked.program.sources);
  int exit_code = kSuccess;
  for (const auto& text : options.requests) {
    const int code = explain_request(text, options, checked, table);
    if (code == kUsage) return kUsage;
    if (code == kFinding) exit_code = kFinding;
  }
  return exit_code;
}

}  // namespace alderspur::cli

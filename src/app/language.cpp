#include "app/language.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "app/commands.h"
#include "config_language/differ.h"
#include "config_language/files.h"
#include "config_language/format.h"
#include "config_language/parser.h"
#include "routing/table.h"

namespace alderspur::app {
namespace {

void tell(const config_language::Sources& sources, const diagnostics::Findings& findings) {
  for (const auto& f : findings.list()) std::fprintf(stderr, "%s\n", sources.render(f).c_str());
  if (findings.left_out()) std::fprintf(stderr, "and %zu more\n", findings.left_out());
}

bool replace(const std::string& path, const std::string& text) {
  const auto fresh = path + ".new";
  {
    std::ofstream out(fresh, std::ios::binary | std::ios::trunc);
    out << text;
    if (!out.flush()) return false;
  }
  std::error_code error;
  std::filesystem::permissions(fresh, std::filesystem::status(path).permissions(), error);
  std::filesystem::rename(fresh, path, error);
  return !error;
}

}  // namespace

bool is_language(const std::string& path) { return path.ends_with(".alder"); }

Checked check_language(const std::string& path, diagnostics::Findings& findings) {
  config_language::FileLoader loader;
  Checked out;
  out.program = config_language::load(path, loader, findings);
  out.meaning = config_language::check(out.program, findings);
  return out;
}

int format_files(const FormatOptions& options) {
  int code = kYes;
  config_language::FileLoader loader;
  for (const auto& path : options.files) {
    std::string error;
    const auto text = loader.read(path, error);
    if (!text) {
      std::fprintf(stderr, "%s: %s\n", path.c_str(), error.c_str());
      code = kFinding;
      continue;
    }
    config_language::Sources sources;
    diagnostics::Findings findings;
    const auto tree = config_language::parse(sources, sources.add(path, *text), findings);
    // Danger: what did not parse is not in the tree, and would be gone from the file.
    if (!findings.good()) {
      tell(sources, findings);
      code = kFinding;
      continue;
    }
    const auto formatted = config_language::format(tree);
    const bool same = formatted == *text;
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

int explain(const ExplainOptions& options) {
  diagnostics::Findings findings;
  const auto checked = check_language(options.file, findings);
  tell(checked.program.sources, findings);
  if (!findings.good()) return kUsage;
  const routing::Table table(checked.meaning, checked.program.sources);
  const auto where = [&](const char* kind, const std::string& name) {
    const auto* d = checked.meaning.find(kind, name);
    const auto p = checked.program.sources.place(d->span);
    return name + " (" + p.file + ":" + std::to_string(p.line) + ")";
  };
  int code = kYes;
  for (const auto& request : options.requests) {
    const auto space = request.find(' '), slash = request.find('/', space);
    if (space == std::string::npos || slash == std::string::npos) {
      std::fprintf(stderr, "'%s' is no request: write \"GET host/path\"\n", request.c_str());
      return kUsage;
    }
    const auto mark = std::min(request.find('?', slash), request.size());
    const std::string host = request.substr(space + 1, slash - space - 1),
                      method = request.substr(0, space);
    const std::string path = request.substr(slash, mark - slash);
    const std::string query = mark < request.size() ? "&" + request.substr(mark + 1) + "&" : "";
    routing::Question q{host, path, method, options.point, {}, {}, 0};
    q.header = [&](std::string_view name) -> std::optional<std::string_view> {
      for (const auto& h : options.headers) {
        if (const auto is = h.find('=');
            is != std::string::npos && std::string_view(h).substr(0, is) == name) {
          return std::string_view(h).substr(is + 1);
        }
      }
      return {};
    };
    q.query = [&](std::string_view name) -> std::optional<std::string_view> {
      const auto at = query.find("&" + std::string(name) + "=");
      if (at == std::string::npos) return {};
      const auto from = at + name.size() + 2;
      return std::string_view{query}.substr(from, query.find('&', from) - from);
    };
    const auto m = table.match(q);
    if (!m) {
      std::printf("%s: no route\n", request.c_str());
      code = kFinding;
      continue;
    }
    std::printf("%s: route %s, class %s", request.c_str(), where("route", m->route->name).c_str(),
                where("class", m->route->cls).c_str());
    if (m->target.pool) {
      std::printf(", pool %s", where("pool", table.pools()[*m->target.pool].name).c_str());
    }
    if (m->target.policy) {
      std::printf(", policy %s", where("policy", table.policies()[*m->target.policy].name).c_str());
    }
    for (const auto& [name, value] : m->captures) {
      std::printf(", %s=%.*s", std::string(name).c_str(), static_cast<int>(value.size()),
                  value.data());
    }
    if (!m->route->splits.empty()) std::printf("; splits send others elsewhere");
    std::printf("\n");
  }
  return code;
}

int diff_language(const std::string& from, const std::string& to, bool json, bool by_risk) {
  diagnostics::Findings a_found, b_found;
  const auto a = check_language(from, a_found), b = check_language(to, b_found);
  if (!a_found.good() || !b_found.good()) {
    tell(a.program.sources, a_found), tell(b.program.sources, b_found);
    return kUsage;
  }
  auto changes = config_language::differ(a.meaning, b.meaning);
  if (by_risk) {
    std::stable_sort(changes.begin(), changes.end(),
                     [](auto& x, auto& y) { return x.risk > y.risk; });
  }
  if (!json) {
    for (const auto& c : changes) {
      std::printf("%-4s  %s\n", config_language::word(c.risk), c.text.c_str());
    }
    return changes.empty() ? kYes : kFinding;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto text = [&](const char* key, const std::string& value) {
    w.Key(key);
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  w.StartArray();
  for (const auto& c : changes) {
    w.StartObject();
    text("risk", config_language::word(c.risk)), text("what", c.what), text("name", c.name);
    text("field", c.field), text("text", c.text);
    w.EndObject();
  }
  w.EndArray();
  std::printf("%s\n", buffer.GetString());
  return changes.empty() ? kYes : kFinding;
}

}  // namespace alderspur::app

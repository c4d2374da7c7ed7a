#include "endpoints/check.h"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>

#include "app/commands.h"
#include "app/json.h"
#include "app/language.h"
#include "app/routes.h"
#include "config/config.h"
#include "endpoints/list.h"
#include "file_watch/source.h"
#include "settings/settings.h"
#include "store/endpoint_state.h"

namespace alderspur::app {
namespace {

core::Time now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

// A list from a file or a directory, as the running router would read it.
endpoints::SnapshotPtr read_list(const std::string& path, diagnostics::Findings& findings) {
  const endpoints::ListLimits limits;
  const bool directory = std::filesystem::is_directory(path);
  const std::string file = directory ? path + "/manifest.toml" : path;
  const auto read = endpoints::read_list(config::read_text(file), file, now(), limits, findings);
  if (!read.list || read.pieces.empty()) return read.list;
  std::vector<std::string> texts;
  const auto folder = std::filesystem::path(file).parent_path();
  for (const auto& p : read.pieces) texts.push_back(config::read_text((folder / p.file).string()));
  return endpoints::read_pieces(read, texts, limits, findings);
}

bool is_settings(const std::string& text) { return text.find("[router]") != std::string::npos; }

void check_settings(const std::string& file, const std::string& content,
                    diagnostics::Findings& findings) {
  auto s =
      settings::read(content, file, std::filesystem::path(file).parent_path().string(), findings);
  if (s.config.empty()) return;
  try {
    const auto config = config::read_file(s.config);
    settings::resolve(s, config, findings);
    TablePtr routes;
    if (!s.routes_file.empty()) {
      std::vector<std::string> told;
      routes = compile(s.routes_file, config, told);
      if (!routes) {
        for (const auto& t : told) findings.error("S002", {file, 0, 0}, t);
      }
    }
    if (!s.membership || s.membership->list.empty()) return;
    const auto list = read_list(s.membership->list, findings);
    if (!list) return;
    check_alone(*list, findings);
    (void)to_members(*list, config.names.zones, findings);
    if (!routes) return;
    for (const auto& pool : routes->table->pools()) {
      if (routes->table->servers(pool, *list).empty()) {
        findings.error("A043", pool.place,
                       "pool " + pool.name + " selects no server in service of " + list->source,
                       "change what it selects, or list a server for it");
      }
    }
  } catch (const std::exception& e) {
    findings.error("S002", {file, 0, 0}, e.what());
  }
}

// `render` shows a finding, with its line where the file is one of the language.
diagnostics::Findings check_one(const std::string& path, const endpoints::Snapshot* against,
                                std::string& said,
                                std::function<std::string(const diagnostics::Finding&)>& render) {
  diagnostics::Findings findings;
  render = diagnostics::to_string;
  try {
    if (is_language(path)) {
      const auto checked = std::make_shared<Checked>(check_language(path, findings));
      render = [checked](const diagnostics::Finding& f) {
        return checked->program.sources.render(f);
      };
      said = std::to_string(checked->meaning.declarations.size()) + " declarations in " +
             std::to_string(checked->program.trees.size()) + " files";
      return findings;
    }
    const bool directory = std::filesystem::is_directory(path);
    const auto content = directory ? std::string() : config::read_text(path);
    if (!directory && is_settings(content)) {
      check_settings(path, content, findings);
      said = "settings";
      return findings;
    }
    const auto list = read_list(path, findings);
    if (!list) return findings;
    check_alone(*list, findings);
    check_change(against, *list, {}, findings);
    said = std::to_string(list->servers.size()) + " servers, " +
           summary(against, *list, difference(against, *list));
  } catch (const std::exception& e) {
    findings.error("S002", {path, 0, 0}, e.what());
  }
  return findings;
}

void write_json(Writer& w, const std::string& path, const diagnostics::Findings& findings) {
  w.StartObject();
  text(w, "file", path);
  w.Key("good"), w.Bool(findings.good());
  w.Key("findings"), w.StartArray();
  for (const auto& f : findings.list()) {
    w.StartObject();
    text(w, "severity", f.severity == diagnostics::Severity::error ? "error" : "warning");
    text(w, "code", f.code), text(w, "file", f.place.file);
    w.Key("line"), w.Uint(f.place.line);
    w.Key("column"), w.Uint(f.place.column);
    text(w, "text", f.text), text(w, "mend", f.mend);
    w.EndObject();
  }
  w.EndArray();
  w.Key("left_out"), w.Uint64(findings.left_out());
  w.EndObject();
}

void names(Writer& w, const char* key, const std::vector<ServerId>& ids,
           const endpoints::Snapshot& from, const endpoints::Snapshot& to) {
  w.Key(key), w.StartArray();
  for (const ServerId id : ids) {
    const auto* s = to.find(id) ? to.find(id) : from.find(id);
    w.String(s->name.data(), static_cast<rapidjson::SizeType>(s->name.size()));
  }
  w.EndArray();
}

int guarded(const std::function<int()>& what) {
  try {
    return what();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "alderspur: %s\n", e.what());
    return kFinding;
  }
}

void replace_text(const std::string& path, const std::string& content) {
  const auto fresh = path + ".new";
  {
    std::ofstream out(fresh, std::ios::binary);
    out << content;
    if (!out.flush()) throw config::Error("cannot write " + fresh);
  }
  std::filesystem::rename(fresh, path);
}

// The digest of each piece goes into the line after its `file = "..."`.
std::string sealed_manifest(const std::string& folder, const std::string& manifest) {
  diagnostics::Findings findings;
  std::string out, line, piece;
  for (std::size_t at = 0; at < manifest.size();) {
    const auto end = std::min(manifest.find('\n', at), manifest.size() - 1);
    line = manifest.substr(at, end + 1 - at);
    at = end + 1;
    const auto quote = line.find('"');
    if (line.starts_with("file") && quote != std::string::npos) {
      piece = line.substr(quote + 1, line.find('"', quote + 1) - quote - 1);
    }
    if (line.starts_with("digest") && !piece.empty()) {
      const auto content = config::read_text(folder + "/" + piece);
      line = "digest = \"";
      line += endpoints::format_digest(endpoints::compute_digest(content));
      line += "\"\n";
      piece.clear();
    }
    out += line;
  }
  return out;
}

}  // namespace

int check(const CheckOptions& options) {
  return guarded([&] {
    endpoints::SnapshotPtr against;
    if (!options.against.empty()) {
      diagnostics::Findings findings;
      against = read_list(options.against, findings);
      if (!against) {
        throw config::Error(options.against +
                            " is no good list: " + to_string(findings.list().at(0)));
      }
    }
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    w.StartArray();
    bool good = true;
    for (const auto& path : options.files) {
      std::string said;
      std::function<std::string(const diagnostics::Finding&)> render;
      const auto findings = check_one(path, against.get(), said, render);
      good &= findings.good();
      write_json(w, path, findings);
      if (options.json) continue;
      for (const auto& f : findings.list()) std::printf("%s\n", render(f).c_str());
      if (findings.left_out()) std::printf("%s: and %zu more\n", path.c_str(), findings.left_out());
      if (findings.good()) std::printf("%s: good: %s\n", path.c_str(), said.c_str());
    }
    w.EndArray();
    if (options.json) std::printf("%s\n", buffer.GetString());
    return good ? kYes : kFinding;
  });
}

int diff(const std::string& from, const std::string& to, bool json, bool by_risk) {
  return guarded([&] {
    if (is_language(from) && is_language(to)) return diff_language(from, to, json, by_risk);
    diagnostics::Findings findings;
    const auto a = read_list(from, findings), b = read_list(to, findings);
    if (!a || !b) {
      for (const auto& f : findings.list()) {
        std::fprintf(stderr, "%s\n", diagnostics::to_string(f).c_str());
      }
      return kUsage;
    }
    const auto d = difference(a.get(), *b);
    if (json) {
      rapidjson::StringBuffer buffer;
      Writer w(buffer);
      w.StartObject();
      names(w, "added", d.added, *a, *b), names(w, "removed", d.removed, *a, *b);
      names(w, "drained", d.drained, *a, *b), names(w, "returned", d.reinstated, *a, *b);
      names(w, "moved", d.moved, *a, *b), names(w, "weighted", d.reweighted, *a, *b);
      names(w, "other", d.reassigned, *a, *b);
      w.Key("places"), w.Bool(d.has_location_changes);
      w.EndObject();
      std::printf("%s\n", buffer.GetString());
    } else {
      std::printf("%s\n", summary(a.get(), *b, d).c_str());
    }
    return d.is_empty() ? kYes : kFinding;
  });
}

int seal(const std::string& path) {
  return guarded([&] {
    const bool directory = std::filesystem::is_directory(path);
    const std::string file = directory ? path + "/manifest.toml" : path;
    auto content = config::read_text(file);
    if (directory) content = sealed_manifest(path, content);
    replace_text(file, endpoints::with_digest(content));
    diagnostics::Findings findings;
    if (!read_list(path, findings)) {
      for (const auto& f : findings.list()) std::printf("%s\n", diagnostics::to_string(f).c_str());
      return kFinding;
    }
    return kYes;
  });
}

int state(const std::string& folder, bool json) {
  return guarded([&] {
    const auto restored = store::load_endpoint_state(folder + "/membership.state");
    if (!restored.state) throw config::Error(to_string(*restored.error));
    const auto& s = *restored.state;
    const auto age = (now() - s.list->read_at) / 1'000'000;
    if (!json) {
      std::printf("generation %llu of %s, %zu servers, read %lld s ago; remembered of %zu\n",
                  static_cast<unsigned long long>(s.list->generation), s.list->source.c_str(),
                  s.list->servers.size(), static_cast<long long>(age), s.remembered.size());
      return kYes;
    }
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    w.StartObject();
    w.Key("generation"), w.Uint64(s.list->generation);
    text(w, "source", s.list->source);
    w.Key("servers"), w.Uint64(s.list->servers.size());
    w.Key("age_s"), w.Int64(age);
    w.Key("remembered"), w.Uint64(s.remembered.size());
    w.EndObject();
    std::printf("%s\n", buffer.GetString());
    return kYes;
  });
}

}  // namespace alderspur::app

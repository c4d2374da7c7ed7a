#include "app/language.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "app/commands.h"
#include "lang/differ.h"
#include "lang/files.h"
#include "lang/format.h"
#include "lang/parser.h"

namespace alderspur::app {
namespace {

void tell(const lang::Sources& sources, const form::Findings& findings) {
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

Checked check_language(const std::string& path, form::Findings& findings) {
  lang::FileLoader loader;
  Checked out;
  out.program = lang::load(path, loader, findings);
  out.meaning = lang::check(out.program, findings);
  return out;
}

int format_files(const FormatOptions& options) {
  int code = kYes;
  lang::FileLoader loader;
  for (const auto& path : options.files) {
    std::string error;
    const auto text = loader.read(path, error);
    if (!text) {
      std::fprintf(stderr, "%s: %s\n", path.c_str(), error.c_str());
      code = kFinding;
      continue;
    }
    lang::Sources sources;
    form::Findings findings;
    const auto tree = lang::parse(sources, sources.add(path, *text), findings);
    // Danger: what did not parse is not in the tree, and would be gone from the file.
    if (!findings.good()) {
      tell(sources, findings);
      code = kFinding;
      continue;
    }
    const auto formatted = lang::format(tree);
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

int diff_language(const std::string& from, const std::string& to, bool json, bool by_risk) {
  form::Findings a_found, b_found;
  const auto a = check_language(from, a_found), b = check_language(to, b_found);
  if (!a_found.good() || !b_found.good()) {
    tell(a.program.sources, a_found), tell(b.program.sources, b_found);
    return kUsage;
  }
  auto changes = lang::differ(a.meaning, b.meaning);
  if (by_risk)
    std::stable_sort(changes.begin(), changes.end(), [](auto& x, auto& y) { return x.risk > y.risk; });
  if (!json) {
    for (const auto& c : changes) std::printf("%-4s  %s\n", lang::word(c.risk), c.text.c_str());
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
    text("risk", lang::word(c.risk)), text("what", c.what), text("name", c.name);
    text("field", c.field), text("text", c.text);
    w.EndObject();
  }
  w.EndArray();
  std::printf("%s\n", buffer.GetString());
  return changes.empty() ? kYes : kFinding;
}

}  // namespace alderspur::app

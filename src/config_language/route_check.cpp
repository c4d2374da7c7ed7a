#include "config_language/route_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config_language/path.h"

namespace alderspur::config_language {
namespace {

constexpr double kMaxSplitSum = 1 + 1e-9;  // 100% with a tolerance for rounding

using Texts = std::set<std::string>;

/// The requests that a route matches, apart from its path.
struct Selection {
  const Declaration* route = nullptr;
  Texts hosts;
  Texts methods;
  Texts conditions;  // headers, query parameters and locations
};

bool includes(const Texts& all, const Texts& some) {
  return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

/// Reports whether a route matches every request that a later route with an equal path matches.
/// Routing prefers the route with more conditions, then the earlier one, and prefers a route for
/// certain hosts to a route for any host.
bool hides(const Selection& earlier, const Selection& later) {
  const bool same_host_rank = earlier.hosts.empty() == later.hosts.empty();
  const bool same_method_rank = earlier.methods.empty() == later.methods.empty();
  return same_host_rank && includes(earlier.hosts, later.hosts) && same_method_rank &&
         includes(earlier.methods, later.methods) && earlier.conditions == later.conditions;
}

/// Returns a key that is equal for paths that match the same requests. Names of captures are
/// ignored.
std::string path_key(const Path& path) {
  std::string key;
  for (const auto& segment : path) {
    switch (segment.kind) {
      case Segment::Kind::literal:
        key += "/" + segment.text;
        break;
      case Segment::Kind::capture:
        key += "/{}";
        break;
      case Segment::Kind::rest:
        key += "/*";
        break;
    }
  }
  return key;
}

Selection selection_of(const Declaration& route) {
  Selection selection;
  selection.route = &route;
  for (const auto& [key, setting] : route.settings) {
    const auto& texts = setting.texts;
    if (key == "host") selection.hosts.insert(texts.begin(), texts.end());
    if (key == "method") selection.methods.insert(texts.begin(), texts.end());
    if (key.starts_with("header ") || key.starts_with("query ")) {
      selection.conditions.insert(key + "=" + (texts.empty() ? "" : texts[0]));
    }
    if (key == "point") {
      for (const auto& location : texts) selection.conditions.insert("point=" + location);
    }
  }
  for (const auto& location : route.locations) selection.conditions.insert("point=" + location);
  return selection;
}

void check_splits(const Declaration& route, Reporter& reporter) {
  double sum = 0;
  for (const auto& split : route.splits) sum += split.fraction;
  if (sum <= kMaxSplitSum) return;
  reporter.error("A042", route.splits.back().span,
                 "the splits of route " + route.name + " are over 100%");
}

void check_hidden(const std::vector<Selection>& earlier, const Selection& selection,
                  Reporter& reporter) {
  const auto hiding = std::find_if(earlier.begin(), earlier.end(), [&selection](const auto& other) {
    return hides(other, selection);
  });
  if (hiding == earlier.end()) return;
  reporter.error("A040", selection.route->span,
                 "route " + selection.route->name + " is never reached: route " +
                     hiding->route->name + " at " +
                     reporter.describe_location(hiding->route->span) + " takes all that it would",
                 "change its path, host or conditions, or remove it");
}

}  // namespace

void check_routes(const Meaning& meaning, Reporter& reporter) {
  std::map<std::string, std::vector<Selection>> by_path;  // only equal paths can hide each other
  for (const auto& declaration : meaning.declarations()) {
    if (declaration.kind->name != "route") continue;
    check_splits(declaration, reporter);
    const Setting* path = declaration.find("path");
    if (!path || path->texts.empty()) continue;
    const auto parsed = parse_path(path->texts[0]);
    if (!parsed.is_valid()) {
      reporter.error("A041", path->span, to_string(*parsed.error),
                     R"(such as "/asset/{object}/{part}" or "/static/*")");
      continue;
    }
    auto& earlier = by_path[path_key(parsed.path)];
    Selection selection = selection_of(declaration);
    check_hidden(earlier, selection, reporter);
    earlier.push_back(std::move(selection));
  }
}

}  // namespace alderspur::config_language

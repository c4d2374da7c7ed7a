#include "config_language/differ.h"

#include <algorithm>

namespace alderspur::config_language {
namespace {

using Key = std::pair<std::string, std::string>;  // kind; name and points

Key key_of(const Declaration& d) {
  auto when = d.when;
  std::sort(when.begin(), when.end());
  std::string name = d.name;
  for (const auto& p : when) name += " at " + p;
  return {std::string(d.kind->name), name};
}

// Lists whose order means something: what is tried first.
bool ordered(const std::string& field) { return field == "fallback" || field == "fill"; }

// What can hurt most: where requests go, what may be repeated, and what is let through no longer.
Risk risk_of(const std::string& field, bool falls) {
  for (const char* high :
       {"class", "pool", "path", "host", "method", "repeat", "uncached", "role", "dedup-window"}) {
    if (field == high) return Risk::high;
  }
  for (const char* limit :
       {"max-in-flight", "max-rate", "deadline", "attempt-deadline", "queue", "burst"}) {
    if (field == limit) return falls ? Risk::high : Risk::some;
  }
  return field == "worth" || field == "renew" || field == "join" ? Risk::low : Risk::some;
}

class Differ {
 public:
  std::vector<Change> run(const Meaning& from, const Meaning& to) {
    const auto a = by_key(from);
    const auto b = by_key(to);
    for (const auto& [key, d] : a) {
      if (!b.contains(key)) add(Risk::high, key, "", "is gone" + routed(*d));
    }
    for (const auto& d : to.declarations) {
      const auto key = key_of(d);
      const auto it = a.find(key);
      if (it == a.end()) {
        add(key.first == "route" ? Risk::some : Risk::low, key, "", "is new" + routed(d));
      } else {
        settings(key, "", it->second->settings, d.settings), splits(key, *it->second, d);
      }
    }
    return std::move(out_);
  }

 private:
  static std::map<Key, const Declaration*> by_key(const Meaning& m) {
    std::map<Key, const Declaration*> out;
    for (const auto& d : m.declarations) out.emplace(key_of(d), &d);
    return out;
  }
  static std::string routed(const Declaration& d) {
    const auto* path = d.find("path");
    const auto* pool = d.find("pool");
    if (!path) return "";
    return ": requests for " + path->shown + (pool ? " and pool " + pool->shown : "");
  }
  void add(Risk risk, const Key& key, const std::string& field, const std::string& text) {
    out_.push_back(
        {risk, key.first, key.second, field, key.first + " " + key.second + ": " + text});
  }

  void settings(const Key& key, const std::string& prefix, const Settings& a, const Settings& b) {
    for (const auto& [name, was] : a) {
      const auto it = b.find(name);
      const auto field = prefix + name;
      if (it == b.end()) {
        add(risk_of(name, false), key, field,
            field + " was " + was.shown + " and is not given any more");
      } else {
        setting(key, field, name, was, it->second);
      }
    }
    for (const auto& [name, is] : b) {
      if (!a.contains(name)) {
        add(risk_of(name, true), key, prefix + name, prefix + name + " is now given: " + is.shown);
      }
    }
  }
  void setting(const Key& key, const std::string& field, const std::string& name,
               const Setting& was, const Setting& is) {
    if (was.number && is.number) {
      if (*was.number == *is.number) return;
      const bool falls = *is.number < *was.number;
      return add(risk_of(name, falls), key, field,
                 field + (falls ? " falls from " : " rises from ") + was.shown + " to " + is.shown);
    }
    auto a = was.texts;
    auto b = is.texts;
    if (!ordered(name)) std::sort(a.begin(), a.end()), std::sort(b.begin(), b.end());
    if (a == b) return;
    if (name == "path") {
      return add(Risk::high, key, field,
                 "takes requests for " + is.shown + " in place of " + was.shown);
    }
    if (name == "pool" || name == "policy" || name == "class") {
      return add(risk_of(name, false), key, field,
                 "goes to " + name + " " + is.shown + " in place of " + was.shown);
    }
    add(risk_of(name, false), key, field, field + " changes from " + was.shown + " to " + is.shown);
  }
  void splits(const Key& key, const Declaration& a, const Declaration& b) {
    for (std::size_t i = 0; i < std::max(a.splits.size(), b.splits.size()); ++i) {
      const auto which = "split " + std::to_string(i + 1);
      if (i >= a.splits.size()) {
        add(Risk::high, key, which, which + " is new, of " + percent(b.splits[i].part));
      } else if (i >= b.splits.size()) {
        add(Risk::high, key, which, which + " of " + percent(a.splits[i].part) + " is gone");
      } else {
        if (a.splits[i].part != b.splits[i].part) {
          add(Risk::high, key, which,
              which + (b.splits[i].part > a.splits[i].part ? " rises from " : " falls from ") +
                  percent(a.splits[i].part) + " to " + percent(b.splits[i].part));
        }
        settings(key, which + " ", a.splits[i].settings, b.splits[i].settings);
      }
    }
  }
  static std::string percent(double part) {
    char out[32];
    std::snprintf(out, sizeof out, "%g%%", part * 100);
    return out;
  }

  std::vector<Change> out_;
};

}  // namespace

const char* word(Risk r) { return r == Risk::high ? "high" : r == Risk::some ? "some" : "low"; }

std::vector<Change> differ(const Meaning& from, const Meaning& to) {
  return Differ().run(from, to);
}

}  // namespace alderspur::config_language

// What a program means: declarations with their settings, constants put in, every value in its base
// unit, and everything that is wrong with it. The declarations are what difference and routing work
// from.
//
// Codes: A012 a bare number where a unit belongs, A013 a value of another type, A014 out of bounds,
// A015 an unknown field, A016 an unknown declaration, A017 a field twice, A018 a field missing,
// A019 none of the allowed words; A020 a name twice, A021 an unknown name, A022 unused (warning),
// A023 constants in a circle, A024 an unknown constant; A030 an attempt's deadline over its
// request's, A031 a grace shorter than the fresh time (warning), A032 a hedge after the deadline,
// A033 repeats of an unsafe class, A034 a target over the deadline, A035 two attempts at once, A036
// fills across points; A040 a route that another hides, A041 no path, A042 splits over 100%, A043 a
// pool without servers.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config_language/load.h"
#include "config_language/schema.h"

namespace alderspur::config_language {

struct Setting {
  Span span;
  Measure measure = Measure::none;
  std::optional<double> number;    // in its base unit
  std::vector<std::string> texts;  // words, strings, names; several of a list
  std::string shown;               // as written, constants put in
};
using Settings = std::map<std::string, Setting>;  // "header x-tier": field and argument

struct Split {
  Span span;
  double part = 0;  // of one
  Settings settings;
};
struct Declaration {
  const DeclarationKind* kind = nullptr;
  std::string name;
  Span span;
  std::vector<std::string> when;  // only at these points; empty: everywhere
  Settings settings;
  std::vector<Split> splits;

  const Setting* find(const std::string& key) const {
    const auto it = settings.find(key);
    return it == settings.end() ? nullptr : &it->second;
  }
  double number(const std::string& key, double absent) const {
    const auto* s = find(key);
    return s && s->number ? *s->number : absent;
  }
};
struct Meaning {
  std::vector<Declaration> declarations;  // in the order of the text
  const Declaration* find(std::string_view kind, std::string_view name) const;
  std::map<std::pair<std::string, std::string>, std::size_t>
      index;  // the first of each kind and name
};

Meaning check(const Program& program, diagnostics::Findings& findings);

// A route's path by its segments: literal, capture ({name}) or, last, the rest (*).
struct Segment {
  enum class Kind { literal, capture, rest };
  Kind kind = Kind::literal;
  std::string text;
  bool operator==(const Segment&) const = default;
};
std::optional<std::vector<Segment>> segments(std::string_view path, std::string& error);

}  // namespace alderspur::config_language

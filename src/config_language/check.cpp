#include "config_language/check.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "config_language/format.h"

namespace alderspur::config_language {
namespace {

using Kind = Value::Kind;

std::string shown(double v, Measure m) {
  const auto number = [](double x) {
    char out[32];
    std::snprintf(out, sizeof out, "%g", x);
    return std::string(out);
  };
  if (m == Measure::duration) {
    return v >= 60e6 && std::fmod(v, 60e6) == 0 ? number(v / 60e6) + " min"
           : v >= 1e6                           ? number(v / 1e6) + " s"
           : v >= 1e3                           ? number(v / 1e3) + " ms"
                                                : number(v) + " us";
  }
  if (m == Measure::percent) return number(v * 100) + "%";
  if (m == Measure::rate) return number(v) + "/s";
  return number(v);
}

class Checker {
 public:
  Checker(const Program& program, diagnostics::Findings& findings)
      : program_(program), findings_(findings) {}

  Meaning run() {
    for (const auto& t : program_.trees) faulty_ |= t.faulty;
    for (const auto* s : program_.statements) {
      if (s->key == "let") constant(*s);
    }
    for (const auto* s : program_.statements) {
      if (s->key != "let") top(*s, {});
    }
    for (std::size_t i = 0; i < out_.declarations.size(); ++i) {
      out_.index.emplace(
          std::pair(std::string(out_.declarations[i].kind->name), out_.declarations[i].name), i);
    }
    names();
    for (const auto& d : out_.declarations) references(d);
    for (const auto& d : out_.declarations) siblings(d);
    routes();
    unused();
    return std::move(out_);
  }

 private:
  diagnostics::Location at(const Span& span) const { return program_.sources.location(span); }
  void error(const char* code, const Span& span, std::string text, std::string suggestion = {}) {
    findings_.error(code, at(span), std::move(text), std::move(suggestion));
  }
  void warn(const char* code, const Span& span, std::string text, std::string suggestion = {}) {
    findings_.warn(code, at(span), std::move(text), std::move(suggestion));
  }
  static std::string near(std::string_view word, const std::vector<std::string_view>& all) {
    const auto n = diagnostics::closest_match(word, all);
    return n.empty() ? "" : "did you mean " + n + "?";
  }

  // ---- Constants ----

  void constant(const Statement& s) {
    if (s.arguments.size() != 1 || s.arguments[0].kind != Kind::word || !s.value || s.block) {
      return error("A006", s.span, "a constant is written: let name = value");
    }
    const auto& name = s.arguments[0].text;
    if (const auto [it, first] = constants_.emplace(name, &s); !first) {
      error("A020", s.arguments[0].span,
            "constant " + name + " is declared twice, first at " + where(it->second->span),
            "rename one");
    }
  }
  std::string where(const Span& span) const {
    const auto p = at(span);
    return p.file + ":" + std::to_string(p.line);
  }
  // The value with constants put in; nothing if one is unknown or names itself.
  std::optional<Value> resolved(const Value& v, std::vector<std::string_view> within = {}) {
    if (v.kind == Kind::list) {
      Value out = v;
      out.items.clear();
      for (const auto& i : v.items) {
        auto r = resolved(i, within);
        if (!r) return {};
        if (r->kind == Kind::list) {
          out.items.insert(out.items.end(), r->items.begin(), r->items.end());
        } else {
          out.items.push_back(std::move(*r));
        }
      }
      return out;
    }
    if (v.kind != Kind::constant) return v;
    const auto it = constants_.find(v.text);
    if (it == constants_.end()) {
      std::vector<std::string_view> all;
      for (const auto& [n, s] : constants_) all.push_back(n);
      error("A024", v.span, "no constant is called " + v.text, near(v.text, all));
      return {};
    }
    used_constants_.insert(v.text);
    if (std::find(within.begin(), within.end(), v.text) != within.end()) {
      error("A023", v.span, "constant " + v.text + " is defined by itself",
            "give it a value of its own");
      return {};
    }
    within.push_back(it->first);
    auto out = resolved(*it->second->value, std::move(within));
    if (out) out->span = v.span;
    return out;
  }

  // ---- Declarations ----

  void top(const Statement& s, const std::vector<std::string>& when) {
    if (s.key == "when") return points(s, when);
    const auto* kind = declaration_kind(s.key);
    if (!kind) {
      std::vector<std::string_view> all = {"include", "let", "when"};
      for (const auto& k : declaration_kinds()) all.push_back(k.name);
      return error("A016", s.key_span, "'" + s.key + "' declares nothing", near(s.key, all));
    }
    if (s.arguments.size() != 1 || s.arguments[0].kind != Kind::word || s.value || !s.block) {
      return error("A006", s.key_span, "a " + s.key + " is written: " + s.key + " name { ... }");
    }
    Declaration d;
    d.kind = kind;
    d.name = s.arguments[0].text;
    d.span = s.arguments[0].span;
    d.when = when;
    for (const auto& e : s.body) {
      if (e.key == "split" && kind->name == "route") {
        split(e, d);
      } else {
        entry(e, *kind, d.settings);
      }
    }
    for (const auto& f : kind->fields) {
      if (f.required && !s.faulty && !d.settings.contains(std::string(f.key)) &&
          std::none_of(s.body.begin(), s.body.end(), [&](auto& e) { return e.key == f.key; })) {
        error("A018", d.span, s.key + " " + d.name + " has no " + std::string(f.key), "add it");
      }
    }
    out_.declarations.push_back(std::move(d));
  }

  void points(const Statement& s, const std::vector<std::string>& outer) {
    std::vector<std::string> names;
    bool good = s.arguments.size() > 1 && s.arguments[0].kind == Kind::word &&
                s.arguments[0].text == "point" && !s.value && s.block && outer.empty();
    for (std::size_t i = 1; i < s.arguments.size(); ++i) {
      good &= s.arguments[i].kind == Kind::string;
      names.push_back(s.arguments[i].text);
    }
    if (!good) {
      return error("A006", s.key_span, "when is written: when point \"NAME\" ... { declarations }");
    }
    for (const auto& inner : s.body) {
      if (inner.key == "let" || inner.key == "include") {
        error("A006", inner.key_span, inner.key + " stands outside of when", "move it out");
      } else {
        top(inner, names);
      }
    }
  }

  void split(const Statement& e, Declaration& d) {
    if (e.arguments.size() != 1 || e.arguments[0].unit != "%" || e.value || !e.block) {
      return error("A006", e.key_span,
                   "a split is written: split 20% { pool = ...  policy = ... }");
    }
    Split out{e.span, e.arguments[0].number / 100, {}};
    for (const auto& inner : e.body) {
      if (inner.key != "pool" && inner.key != "policy") {
        error("A015", inner.key_span, "a split holds pool and policy, not " + inner.key);
      } else {
        entry(inner, *d.kind, out.settings);
      }
    }
    d.splits.push_back(std::move(out));
  }

  void entry(const Statement& e, const DeclarationKind& kind, Settings& into) {
    const auto* f = field(kind, e.key);
    if (!f) {
      std::vector<std::string_view> all;
      for (const auto& x : kind.fields) all.push_back(x.key);
      return error("A015", e.key_span, "a " + std::string(kind.name) + " has no field " + e.key,
                   near(e.key, all));
    }
    std::string key = e.key;
    const bool argument = e.arguments.size() == 1 && e.arguments[0].kind == Kind::string;
    if (f->argument ? !argument : !e.arguments.empty()) {
      return error("A006", e.key_span,
                   f->argument ? e.key + " is written: " + e.key + R"( "NAME" = "VALUE")"
                               : e.key + " is written: " + e.key + " = VALUE");
    }
    if (!e.value || e.block) {
      return error("A006", e.key_span, e.key + " is written: " + e.key + " = VALUE");
    }
    if (f->argument) key += ' ' + e.arguments[0].text;
    const auto value = resolved(*e.value);
    if (!value) return;
    Setting s;
    s.span = e.value->span;
    s.measure = f->measure;
    s.shown = text_of(*value);
    if (value->kind == Kind::list) {
      if (!f->list) return error("A013", s.span, e.key + " takes one value, not a list");
      if (value->items.empty()) {
        return error("A013", s.span, e.key + " is an empty list", "remove it");
      }
      for (const auto& i : value->items) {
        if (!single(*f, i, s)) return;
      }
    } else if (!single(*f, *value, s)) {
      return;
    }
    if (const auto [it, first] = into.emplace(key, std::move(s)); !first) {
      error("A017", e.key_span, key + " is given twice, first at " + where(it->second.span),
            "keep one");
    }
  }

  bool single(const Field& f, const Value& v, Setting& out) {
    using Type = Field::Type;
    const std::string key(f.key);
    switch (f.type) {
      case Type::quantity:
      case Type::count:
        if (!quantity(f, v, out)) return false;
        if (!f.list) return true;
        out.number.reset();
        break;
      case Type::string:
        if (v.kind != Kind::string) {
          return error("A013", v.span, key + " takes a text in quotes"), false;
        }
        break;
      case Type::word:
      case Type::flag:
        if (v.kind != Kind::word) {
          return error("A013", v.span, key + " takes a word", allowed(f)), false;
        }
        if (std::find(f.words.begin(), f.words.end(), v.text) == f.words.end()) {
          const auto n = near(v.text, f.words);
          return error("A019", v.span, "'" + v.text + "' is no value of " + key,
                       n.empty() ? allowed(f) : n),
                 false;
        }
        break;
      case Type::reference:
        if (v.kind != Kind::word) {
          return error("A013", v.span, key + " takes the name of a " + std::string(f.words[0])),
                 false;
        }
        break;
    }
    out.texts.push_back(v.text);
    return true;
  }
  static std::string allowed(const Field& f) {
    std::string all;
    for (const auto w : f.words) (all += all.empty() ? "one of " : ", ") += w;
    return all;
  }

  bool quantity(const Field& f, const Value& v, Setting& out) {
    const std::string key(f.key);
    const std::string wants = word(f.measure);
    if (v.kind != Kind::number) return error("A013", v.span, key + " takes " + wants), false;
    const Unit* u = v.unit.empty() ? nullptr : unit(v.unit);
    if (f.measure != Measure::none && !u) {
      const char* with = f.measure == Measure::duration  ? " ms or "
                         : f.measure == Measure::percent ? "%"
                                                         : "/s";
      return error("A012", v.span, key + " takes " + wants + ": this number has no unit",
                   v.text + with + (f.measure == Measure::duration ? v.text + " s" : "")),
             false;
    }
    if (f.measure == Measure::none && u) {
      return error("A013", v.span, key + " takes a plain number, without " + v.unit), false;
    }
    if (u && u->measure != f.measure) {
      return error("A013", v.span,
                   key + " takes " + wants + ", and " + v.unit + " measures " + word(u->measure)),
             false;
    }
    const double base = u ? v.number * u->factor : v.number;
    if (base >= f.least && base <= f.most &&
        (f.type != Field::Type::count || std::floor(base) == base || key == "worth" ||
         key == "weight-least")) {
      out.number = base;
      return true;
    }
    // A thousand off in either way is the usual slip between ms and s.
    std::string mend = "it may be " + shown(f.least, f.measure) + " to " + shown(f.most, f.measure);
    if (f.measure == Measure::duration) {
      for (const double slip : {1e-3, 1e3}) {
        if (base * slip >= f.least && base * slip <= f.most && (v.unit == "s" || v.unit == "ms")) {
          mend += std::string("; was ") + v.text + (v.unit == "s" ? " ms" : " s") + " meant?";
        }
      }
    }
    return error("A014", v.span, key + " = " + text_of(v) + " is out of bounds", mend), false;
  }

  // ---- Between declarations ----

  void names() {
    std::map<std::pair<std::string_view, std::string>, const Declaration*> seen;
    for (const auto& d : out_.declarations) {
      const auto [it, first] = seen.emplace(std::pair(d.kind->name, d.name), &d);
      if (first) continue;
      const auto& other = *it->second;
      const bool apart =
          !d.when.empty() && !other.when.empty() &&
          std::none_of(d.when.begin(), d.when.end(), [&](auto& p) {
            return std::find(other.when.begin(), other.when.end(), p) != other.when.end();
          });
      if (!apart) {
        error("A020", d.span,
              std::string(d.kind->name) + " " + d.name + " is declared twice, first at " +
                  where(other.span),
              "rename one");
      }
    }
  }

  void references(const Declaration& d) {
    const auto each = [&](const Settings& settings) {
      for (const auto& [key, s] : settings) {
        const auto* f = field(*d.kind, key);
        if (!f || f->type != Field::Type::reference) continue;
        for (const auto& name : s.texts) {
          used_.insert({f->words[0], name});
          if (out_.find(f->words[0], name) || faulty_) {
            continue;  // what did not parse may have declared it
          }
          std::vector<std::string_view> all;
          for (const auto& o : out_.declarations) {
            if (o.kind->name == f->words[0]) all.push_back(o.name);
          }
          error("A021", s.span, "no " + std::string(f->words[0]) + " is called " + name,
                near(name, all));
        }
      }
    };
    each(d.settings);
    for (const auto& s : d.splits) each(s.settings);
    if (d.kind->name != "pool") return;
    if (const auto* fallback = d.find("fallback")) {
      for (const auto& name : fallback->texts) {
        if (name == d.name) {
          error("A021", fallback->span, "pool " + name + " falls back to itself", "name another");
        }
      }
    }
  }

  void siblings(const Declaration& d) {
    const auto over = [&](const char* a, const char* b) {
      const auto* x = d.find(a);
      const auto* y = d.find(b);
      return x && y && x->number && y->number && *x->number > *y->number ? x : nullptr;
    };
    const auto told = [&](const char* key) { return d.find(key)->shown; };
    if (const auto* s = over("attempt-deadline", "deadline")) {
      error(
          "A030", s->span,
          "an attempt's deadline of " + s->shown + " is over its request's of " + told("deadline"),
          "make it shorter, or the other longer");
    }
    if (const auto* s = over("hedge-after", "deadline")) {
      error("A032", s->span,
            "a hedge after " + s->shown + " comes after the deadline of " + told("deadline"),
            "hedge earlier");
    } else if (const auto* h = over("hedge-after", "attempt-deadline")) {
      error("A032", h->span,
            "a hedge after " + h->shown + " comes when the attempt has ended, after " +
                told("attempt-deadline"),
            "hedge earlier");
    }
    if (const auto* s = over("target", "deadline")) {
      error("A034", s->span,
            "a target of " + s->shown + " is over the deadline of " + told("deadline"),
            "was another unit meant?");
    }
    if (d.find("grace") && d.number("grace", 0) > 0 && over("fresh", "grace")) {
      warn("A031", d.find("grace")->span,
           "a grace of " + told("grace") + " is shorter than the fresh time of " + told("fresh"),
           "copies are renewed for most of their life; was another unit meant?");
    }
    if (d.number("parallel", 1) > 1) {
      error("A035", d.find("parallel")->span, "two attempts of a request may never be out at once",
            "parallel = 1");
    }
    if (const auto* fill = d.find("fill"); fill && std::find(fill->texts.begin(), fill->texts.end(),
                                                             "other-point") != fill->texts.end()) {
      error("A036", fill->span, "no fill may come from a cache of another point",
            "use parent, origin or point");
    }
    if (d.kind->name == "route") repeats(d);
  }

  void repeats(const Declaration& route) {
    const auto* cls_name = route.find("class");
    const auto* cls =
        cls_name && !cls_name->texts.empty() ? out_.find("class", cls_name->texts[0]) : nullptr;
    const auto* repeat = cls ? cls->find("repeat") : nullptr;
    if (!repeat || repeat->texts.empty() || repeat->texts[0] != "unsafe") return;
    const auto look = [&](const Settings& settings) {
      const auto it = settings.find("policy");
      const auto* policy = it != settings.end() && !it->second.texts.empty()
                               ? out_.find("policy", it->second.texts[0])
                               : nullptr;
      if (!policy) return;
      if (policy->number("attempts", 1) > 1 || policy->find("hedge-after")) {
        error("A033", it->second.span,
              "class " + cls->name + " is unsafe to repeat, and policy " + policy->name +
                  " repeats it",
              "use a policy with attempts = 1 and no hedge");
      }
    };
    look(route.settings);
    for (const auto& s : route.splits) look(s.settings);
  }

  // ---- Routes ----

  struct Shape {
    const Declaration* route;
    std::vector<Segment> path;
    std::set<std::string> hosts, methods, conditions;
  };

  void routes() {
    std::map<std::string, std::vector<Shape>>
        by_path;  // only routes of one path can hide each other
    for (const auto& d : out_.declarations) {
      if (d.kind->name != "route") continue;
      double sum = 0;
      for (const auto& s : d.splits) sum += s.part;
      if (sum > 1 + 1e-9) {
        error("A042", d.splits.back().span, "the splits of route " + d.name + " are over 100%");
      }
      const auto* path = d.find("path");
      if (!path || path->texts.empty()) continue;
      std::string why;
      auto parts = segments(path->texts[0], why);
      if (!parts) {
        error("A041", path->span, why, R"(such as "/asset/{object}/{part}" or "/static/*")");
        continue;
      }
      Shape shape{&d, std::move(*parts), {}, {}, {}};
      std::string key_of_path;
      for (auto& p : shape.path) {
        if (p.kind != Segment::Kind::literal) p.text.clear();
        key_of_path += p.kind == Segment::Kind::literal ? "/" + p.text
                       : p.kind == Segment::Kind::rest  ? "/*"
                                                        : "/{}";
      }
      auto& before = by_path[key_of_path];
      for (const auto& [key, s] : d.settings) {
        if (key == "host") shape.hosts.insert(s.texts.begin(), s.texts.end());
        if (key == "method") shape.methods.insert(s.texts.begin(), s.texts.end());
        if (key.starts_with("header ") || key.starts_with("query ")) {
          shape.conditions.insert(key + "=" + (s.texts.empty() ? "" : s.texts[0]));
        }
        if (key == "point") {
          for (const auto& p : s.texts) shape.conditions.insert("point=" + p);
        }
      }
      for (const auto& p : d.when) shape.conditions.insert("point=" + p);
      for (const auto& other : before) {
        if (hides(other, shape)) {
          error("A040", d.span,
                "route " + d.name + " is never reached: route " + other.route->name + " at " +
                    where(other.route->span) + " takes all that it would",
                "change its path, host or conditions, or remove it");
          break;
        }
      }
      before.push_back(std::move(shape));
    }
  }
  // Of two routes with the same path and the same hosts the one with more conditions goes first,
  // then the earlier; a route for certain hosts goes before one for any.
  static bool hides(const Shape& a, const Shape& b) {
    const auto within = [](const std::set<std::string>& x, const std::set<std::string>& y) {
      return std::includes(x.begin(), x.end(), y.begin(), y.end());
    };
    const bool hosts = a.hosts.empty() == b.hosts.empty() && within(a.hosts, b.hosts);
    const bool methods = a.methods.empty() == b.methods.empty() && within(a.methods, b.methods);
    return hosts && methods && a.conditions == b.conditions;
  }

  void unused() {
    if (!findings_.is_ok()) return;  // what is at fault may be what uses it
    for (const auto& d : out_.declarations) {
      if (d.kind->name != "route" && !used_.contains({d.kind->name, d.name})) {
        warn("A022", d.span, std::string(d.kind->name) + " " + d.name + " is used by nothing",
             "remove it, or use it");
      }
    }
    for (const auto& [name, s] : constants_) {
      if (!used_constants_.contains(name)) {
        warn("A022", s->arguments[0].span, "constant " + name + " is used by nothing",
             "remove it, or use it");
      }
    }
  }

  const Program& program_;
  diagnostics::Findings& findings_;
  bool faulty_ = false;
  Meaning out_;
  std::map<std::string, const Statement*> constants_;
  std::set<std::string> used_constants_;
  std::set<std::pair<std::string_view, std::string>> used_;
};

}  // namespace

const Declaration* Meaning::find(std::string_view kind, std::string_view name) const {
  const auto it = index.find({std::string(kind), std::string(name)});
  return it == index.end() ? nullptr : &declarations[it->second];
}

Meaning check(const Program& program, diagnostics::Findings& findings) {
  return Checker(program, findings).run();
}

std::optional<std::vector<Segment>> segments(std::string_view path, std::string& error) {
  std::vector<Segment> out;
  std::set<std::string> names;
  if (!path.starts_with('/')) return error = "a path begins with a slash", std::nullopt;
  path.remove_prefix(1);
  for (bool more = true; more;) {
    const auto slash = path.find('/');
    const std::string part(path.substr(0, slash));
    more = slash != std::string_view::npos;
    if (more) path.remove_prefix(slash + 1);
    Segment s;
    s.text = part;
    if (part == "*") {
      if (more) return error = "* stands at a path's end only", std::nullopt;
      s.kind = Segment::Kind::rest;
    } else if (part.starts_with('{') && part.ends_with('}') && part.size() > 2) {
      s.kind = Segment::Kind::capture;
      s.text = part.substr(1, part.size() - 2);
      if (!names.insert(s.text).second) {
        return error = "capture {" + s.text + "} stands twice", std::nullopt;
      }
    } else if (part.find_first_of("{}*?# ") != std::string::npos) {
      return error = "'" + part + "' is no segment of a path", std::nullopt;
    } else if (part.empty() && more) {
      return error = "a path has no empty segment", std::nullopt;
    } else if (part == "." || part == "..") {
      return error = "a path has no dot segments", std::nullopt;
    }
    out.push_back(std::move(s));
  }
  return out;
}

}  // namespace alderspur::config_language

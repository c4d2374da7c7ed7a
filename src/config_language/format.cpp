#include "config_language/format.h"

#include <algorithm>

namespace alderspur::config_language {
namespace {

constexpr std::size_t kWidth = 100;

std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      (out += '\\') += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '\t') {
      out += "\\t";
    } else {
      out += c;
    }
  }
  return out + "\"";
}

bool commented(const Value& v) {
  return !v.before.empty() || !v.tail.empty() ||
         std::any_of(v.items.begin(), v.items.end(), commented);
}

void write_value(const Value& v, std::size_t indent, std::size_t used, std::string& out) {
  if (v.kind != Value::Kind::list) {
    out += text_of(v);
    return;
  }
  const bool comments = !v.tail.empty() || std::any_of(v.items.begin(), v.items.end(), commented);
  const auto line = text_of(v);
  if (!comments && used + line.size() <= kWidth) {
    out += line;
    return;
  }
  const std::string pad(indent + 2, ' ');
  out += "[\n";
  for (const auto& i : v.items) {
    for (const auto& c : i.before) out += pad + c + "\n";
    out += pad;
    write_value(i, indent + 2, indent + 2, out);
    out += ",\n";
  }
  for (const auto& c : v.tail) out += pad + c + "\n";
  out += std::string(indent, ' ') + "]";
}

void write(const std::vector<Statement>& statements, std::size_t indent, std::string& out) {
  const std::string pad(indent, ' ');
  bool first = true;
  for (const auto& s : statements) {
    if (s.gap && !first) out += '\n';
    first = false;
    for (const auto& c : s.before) out += c.empty() ? "\n" : pad + c + "\n";
    const std::size_t begin = out.size();
    out += pad + s.key;
    for (const auto& a : s.arguments) out += ' ' + text_of(a);
    if (s.value) {
      out += " = ";
      write_value(*s.value, indent, out.size() - begin, out);
    }
    if (s.block) {
      const bool empty = s.body.empty() && s.tail.empty() && s.opened.empty();
      out += empty ? " {}" : " {";
      if (!empty) {
        if (!s.opened.empty()) out += "  " + s.opened;
        out += '\n';
        write(s.body, indent + 2, out);
        for (const auto& c : s.tail) {
          if (!c.empty()) out.append(pad).append("  ").append(c);
          out += '\n';
        }
        out += pad + "}";
      }
    }
    if (!s.after.empty()) out += "  " + s.after;
    out += '\n';
  }
}

bool same(const Value& a, const Value& b) {
  return a.kind == b.kind && a.text == b.text && a.unit == b.unit &&
         a.items.size() == b.items.size() &&
         std::equal(a.items.begin(), a.items.end(), b.items.begin(),
                    [](const Value& x, const Value& y) { return same(x, y); });
}
bool same(const Statement& a, const Statement& b) {
  return a.key == b.key && a.block == b.block && a.value.has_value() == b.value.has_value() &&
         (!a.value || same(*a.value, *b.value)) &&
         std::equal(a.arguments.begin(), a.arguments.end(), b.arguments.begin(), b.arguments.end(),
                    [](const Value& x, const Value& y) { return same(x, y); }) &&
         std::equal(a.body.begin(), a.body.end(), b.body.begin(), b.body.end(),
                    [](const Statement& x, const Statement& y) { return same(x, y); });
}

}  // namespace

std::string text_of(const Value& v) {
  switch (v.kind) {
    case Value::Kind::string:
      return quoted(v.text);
    case Value::Kind::constant:
      return "$" + v.text;
    case Value::Kind::number:
      return v.unit.empty()                      ? v.text
             : v.unit == "%" || v.unit[0] == '/' ? v.text + v.unit
                                                 : v.text + " " + v.unit;
    case Value::Kind::list: {
      std::string out = "[";
      for (std::size_t i = 0; i < v.items.size(); ++i) out += (i ? ", " : "") + text_of(v.items[i]);
      return out + "]";
    }
    case Value::Kind::word:
      break;
  }
  return v.text;
}

std::string format(const Tree& tree) {
  std::string out;
  write(tree.statements, 0, out);
  for (const auto& c : tree.tail) out += c + "\n";
  return out;
}

bool same(const Tree& a, const Tree& b) {
  return std::equal(a.statements.begin(), a.statements.end(), b.statements.begin(),
                    b.statements.end(),
                    [](const Statement& x, const Statement& y) { return same(x, y); });
}

}  // namespace alderspur::config_language

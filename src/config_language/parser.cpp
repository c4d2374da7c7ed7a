#include "config_language/parser.h"

#include <algorithm>
#include <cmath>

#include "core/parsing.h"

namespace alderspur::config_language {
namespace {

constexpr Unit kUnits[] = {
    {"us", Measure::duration, 1},      {"ms", Measure::duration, 1e3},
    {"s", Measure::duration, 1e6},     {"min", Measure::duration, 60e6},
    {"h", Measure::duration, 3600e6},  {"B", Measure::size, 1},
    {"KB", Measure::size, 1e3},        {"MB", Measure::size, 1e6},
    {"GB", Measure::size, 1e9},        {"KiB", Measure::size, 1024},
    {"MiB", Measure::size, 1048576},   {"GiB", Measure::size, 1073741824},
    {"/s", Measure::rate, 1},          {"/min", Measure::rate, 1.0 / 60},
    {"KB/s", Measure::bandwidth, 1e3}, {"MB/s", Measure::bandwidth, 1e6},
    {"GB/s", Measure::bandwidth, 1e9}, {"%", Measure::percent, 0.01},
};

enum class Kind { word, string, number, constant, punctuation, line_end, comment, end, bad };
struct Token {
  Kind kind = Kind::end;
  Span span;
  std::string text;
  double number = 0;
  std::string unit;
};

bool letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool digit(char c) { return c >= '0' && c <= '9'; }

// How many bytes of well-formed UTF-8 stand at `at`; 0: none (overlong forms and surrogates
// included).
std::size_t utf8(std::string_view t, std::size_t at) {
  const auto byte = [&](std::size_t i) {
    return i < t.size() ? static_cast<unsigned char>(t[i]) : 0U;
  };
  const unsigned a = byte(at);
  const unsigned b = byte(at + 1);
  const unsigned c = byte(at + 2);
  const unsigned d = byte(at + 3);
  const auto more = [](unsigned x) { return (x & 0xc0) == 0x80; };
  if (a < 0x80) return 1;
  if (a >= 0xc2 && a <= 0xdf && more(b)) return 2;
  if (a >= 0xe0 && a <= 0xef && more(b) && more(c) && !(a == 0xe0 && b < 0xa0) &&
      !(a == 0xed && b > 0x9f)) {
    return 3;
  }
  if (a >= 0xf0 && a <= 0xf4 && more(b) && more(c) && more(d) && !(a == 0xf0 && b < 0x90) &&
      !(a == 0xf4 && b > 0x8f)) {
    return 4;
  }
  return 0;
}

class Lexer {
 public:
  Lexer(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings)
      : sources_(sources), text_(sources.text(file)), file_(file), findings_(findings) {}

  std::vector<Token> all() {
    std::vector<Token> out;
    do {
      out.push_back(next());
    } while (out.back().kind != Kind::end);
    return out;
  }

 private:
  char peek(std::size_t n = 0) const { return at_ + n < text_.size() ? text_[at_ + n] : '\0'; }
  Token make(Kind kind, std::size_t begin) const {
    Token t;
    t.kind = kind;
    t.span = {file_, static_cast<std::uint32_t>(begin), static_cast<std::uint32_t>(at_)};
    t.text = std::string(text_.substr(begin, at_ - begin));
    return t;
  }
  Token fault(const char* code, std::size_t begin, std::string what, std::string suggestion = {}) {
    if (at_ == begin) ++at_;
    Token t = make(Kind::bad, begin);
    findings_.error(code, sources_.location(t.span), std::move(what), std::move(suggestion));
    return t;
  }

  Token next() {
    while (peek() == ' ' || peek() == '\t' || peek() == '\r') ++at_;
    const std::size_t begin = at_;
    if (at_ >= text_.size()) return make(Kind::end, begin);
    const char c = peek();
    if (c == '\n') return ++at_, make(Kind::line_end, begin);
    if (c == '#') return comment(begin);
    if (c == '"') return string(begin);
    if (c == '\'') {
      for (++at_; at_ < text_.size() && peek() != '\n' && peek() != '\'';) ++at_;
      if (peek() == '\'') ++at_;
      return fault("A001", begin, "' has no meaning here", "strings stand in \"double quotes\"");
    }
    if (letter(c)) return word(begin, Kind::word);
    if (c == '$' && letter(peek(1))) {
      ++at_;
      Token t = word(begin, Kind::constant);
      t.text.erase(0, 1);
      return t;
    }
    if (digit(c)) return number(begin);
    if (std::string_view("={}[],;").find(c) != std::string_view::npos) {
      return ++at_, make(Kind::punctuation, begin);
    }
    const std::size_t n = utf8(text_, at_);
    if (n == 0 || static_cast<unsigned char>(c) < 32) {
      ++at_;
      return fault("A009", begin, "this byte is no text",
                   "write the file in UTF-8, without control characters");
    }
    at_ += n;
    return fault("A001", begin, "'" + std::string(text_.substr(begin, n)) + "' has no meaning here",
                 c == '-' ? "no value is negative" : "");
  }
  Token comment(std::size_t begin) {
    while (at_ < text_.size() && peek() != '\n') {
      const std::size_t n = utf8(text_, at_);
      if (n == 0 || (static_cast<unsigned char>(peek()) < 32 && peek() != '\t' && peek() != '\r')) {
        const std::size_t bad = at_++;
        (void)fault("A009", bad, "this byte is no text",
                    "write the file in UTF-8, without control characters");
        continue;
      }
      at_ += n;
    }
    Token t = make(Kind::comment, begin);
    while (!t.text.empty() &&
           (t.text.back() == ' ' || t.text.back() == '\t' || t.text.back() == '\r')) {
      t.text.pop_back();
    }
    return t;
  }
  Token word(std::size_t begin, Kind kind) {
    while (letter(peek()) || digit(peek()) || peek() == '-') ++at_;
    return make(kind, begin);
  }
  Token string(std::size_t begin) {
    std::string content;
    bool good = true;
    for (++at_; peek() != '"';) {
      if (at_ >= text_.size() || peek() == '\n') {
        return fault("A002", begin, "the string has no end", "close it with \" on the same line");
      }
      if (peek() == '\\') {
        const char e = peek(1);
        const std::string_view from = "\"\\nt";
        const std::string_view to = "\"\\\n\t";
        const auto i = from.find(e);
        if (i == std::string_view::npos || e == '\0') {
          const std::size_t bad = at_++;
          (void)fault("A003", bad, std::string("no escape is written \\") + (e >= 32 ? e : '?'),
                      R"(\" \\ \n and \t are known)");
          good = false;
          continue;
        }
        content += to[i];
        at_ += 2;
        continue;
      }
      const std::size_t n = utf8(text_, at_);
      if (n == 0 || static_cast<unsigned char>(peek()) < 32) {
        const std::size_t bad = at_++;
        (void)fault("A009", bad, "this byte is no text", "write the file in UTF-8; a tab is \\t");
        good = false;
        continue;
      }
      content += text_.substr(at_, n);
      at_ += n;
    }
    ++at_;
    Token t = make(good ? Kind::string : Kind::bad, begin);
    t.text = std::move(content);
    return t;
  }
  Token number(std::size_t begin) {
    while (digit(peek()) || peek() == '.') ++at_;
    const auto digits = text_.substr(begin, at_ - begin);
    const auto value = core::parse_number<double>(digits);
    if (!value || digits.back() == '.' || digits.size() > 18) {
      return fault("A004", begin, "'" + std::string(digits) + "' is no number",
                   "digits, with one point at most");
    }
    const std::size_t end = at_;
    while (peek() == ' ' || peek() == '\t') ++at_;
    const std::size_t from = at_;
    while (letter(peek()) || peek() == '%' || peek() == '/') ++at_;
    const auto name = text_.substr(from, at_ - from);
    Token t;
    if (name.empty()) {
      at_ = end;
      t = make(Kind::number, begin);
    } else {
      const Unit* u = config_language::unit(name);
      if (!u) {
        std::vector<std::string_view> all;
        for (const auto& k : kUnits) all.push_back(k.name);
        const auto near = diagnostics::closest_match(name, all);
        return fault("A005", begin, "'" + std::string(name) + "' is no unit",
                     near.empty() ? "one entry stands on a line; units are ms, s, MB, /s, %"
                                  : "did you mean " + near + "?");
      }
      t = make(Kind::number, begin);
      t.unit = std::string(name);
    }
    t.text = std::string(digits);
    t.number = *value;
    return t;
  }

  const Sources& sources_;
  const std::string_view text_;
  const std::uint32_t file_;
  diagnostics::Findings& findings_;
  std::size_t at_ = 0;
};

class Parser {
 public:
  Parser(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings)
      : sources_(sources), findings_(findings), tokens_(Lexer(sources, file, findings).all()) {}

  Tree tree(std::uint32_t file) {
    Tree out;
    out.file = file;
    statements(out.statements, out.tail, out.faulty, 0);
    return out;
  }

 private:
  const Token& now() const { return tokens_[at_]; }
  bool is(Kind kind) const { return now().kind == kind; }
  bool is(char c) const { return is(Kind::punctuation) && now().text[0] == c; }
  const Token& take() { return tokens_[is(Kind::end) ? at_ : at_++]; }

  static void blank(std::vector<std::string>& comments, bool& gap) {
    if (comments.empty()) {
      gap = true;
    } else {
      comments.emplace_back();
    }
  }
  // Comments and empty lines up to the next thing that is neither.
  void margin(std::vector<std::string>& comments, bool& gap) {
    int ends = 0;
    for (; is(Kind::line_end) || is(Kind::comment) || is(';'); take()) {
      if (is(Kind::comment)) {
        if (ends > 1) blank(comments, gap);
        comments.push_back(now().text);
        ends = 0;
      } else if (is(Kind::line_end)) {
        ++ends;
      }
    }
    if (ends > 1) blank(comments, gap);
  }

  void statements(std::vector<Statement>& out, std::vector<std::string>& tail, bool& faulty,
                  std::size_t depth) {
    for (;;) {
      std::vector<std::string> before;
      bool gap = false;
      margin(before, gap);
      if (is(Kind::end) || (is('}') && depth > 0)) {
        while (!before.empty() && before.back().empty()) before.pop_back();
        tail = std::move(before);
        return;
      }
      if (is('}')) {  // closes nothing
        expected("a word that begins an entry");
        take();
        faulty = true;
        continue;
      }
      Statement s;
      s.before = std::move(before);
      s.gap = gap && !out.empty();
      if (statement(s, depth)) {
        out.push_back(std::move(s));
      } else {
        faulty = true, recover();
      }
    }
  }

  bool statement(Statement& s, std::size_t depth) {
    if (!is(Kind::word)) return expected("a word that begins an entry");
    s.key_span = s.span = now().span;
    s.key = take().text;
    while (is(Kind::word) || is(Kind::string) || is(Kind::number)) {
      Value v;
      if (!value(v, depth)) return false;
      s.arguments.push_back(std::move(v));
    }
    if (is('=')) {
      take();
      Value v;
      if (!value(v, depth)) return false;
      s.value = std::move(v);
    }
    if (is('{') && !block(s, depth)) return false;
    if (at_ > 0) s.span.end = tokens_[at_ - 1].span.end;
    if (is(Kind::comment)) s.after = take().text;
    if (is(Kind::line_end) || is(';') || is('}') || is(Kind::end)) return true;
    return expected(s.block || s.value ? "the end of the line" : "'=', '{' or the end of the line");
  }

  bool block(Statement& s, std::size_t depth) {
    const Span open = now().span;
    if (depth + 1 > kMaxNestingDepth) {
      findings_.error("A007", sources_.location(open), "blocks stand too deep in one another",
                      "at most " + std::to_string(kMaxNestingDepth));
      return false;
    }
    take();
    s.block = true;
    if (is(Kind::comment)) s.opened = take().text;
    statements(s.body, s.tail, s.faulty, depth + 1);
    if (is('}')) return take(), true;
    findings_.error("A006", sources_.location(open), "this block has no end", "close it with }");
    return true;  // what was read of it stands, so that its own faults show too
  }

  bool value(Value& v, std::size_t depth) {
    const Token& t = now();
    v.span = t.span;
    v.text = t.text;
    v.number = t.number;
    v.unit = t.unit;
    switch (t.kind) {
      case Kind::word:
        v.kind = Value::Kind::word;
        break;
      case Kind::string:
        v.kind = Value::Kind::string;
        break;
      case Kind::number:
        v.kind = Value::Kind::number;
        break;
      case Kind::constant:
        v.kind = Value::Kind::constant;
        break;
      default:
        if (is('[')) return list(v, depth);
        return expected("a value");
    }
    take();
    return true;
  }

  bool list(Value& v, std::size_t depth) {
    const Span open = now().span;
    if (depth + 1 > kMaxNestingDepth) {
      findings_.error("A007", sources_.location(open), "lists stand too deep in one another",
                      "at most " + std::to_string(kMaxNestingDepth));
      return false;
    }
    take();
    v.kind = Value::Kind::list;
    v.text.clear();
    for (;;) {
      std::vector<std::string> before;
      for (; is(Kind::line_end) || is(Kind::comment); take()) {
        if (is(Kind::comment)) before.push_back(now().text);
      }
      if (is(']')) {
        v.tail = std::move(before);
        v.span.end = take().span.end;
        return true;
      }
      if (is(Kind::end) || is('}')) {
        findings_.error("A006", sources_.location(open), "this list has no end", "close it with ]");
        return false;
      }
      Value item;
      item.before = std::move(before);
      if (!value(item, depth + 1)) return false;
      v.items.push_back(std::move(item));
      while (is(Kind::comment) || is(Kind::line_end)) {
        if (is(Kind::comment)) v.items.back().before.push_back(now().text);
        take();
      }
      if (is(',')) {
        take();
      } else if (!is(']') && !is('}') && !is(Kind::end)) {
        return expected("',' or ']'");
      }
    }
  }

  bool expected(const std::string& what) {
    const Token& t = now();
    if (t.kind == Kind::bad) return false;  // told already
    const std::string found = t.kind == Kind::end        ? "the end of the file"
                              : t.kind == Kind::line_end ? "the end of the line"
                              : t.kind == Kind::comment  ? "a comment"
                                                         : "'" + t.text + "'";
    findings_.error("A006", sources_.location(t.span), "expected " + what + ", not " + found);
    return false;
  }

  // To the end of the statement that is at fault, blocks and lists that open in it included.
  void recover() {
    int depth = 0;
    for (; !is(Kind::end); take()) {
      if (is('{') || is('[')) ++depth;
      if (depth == 0 && is('}')) return;  // of the block around
      if (is('}') || is(']')) depth = std::max(0, depth - 1);
      if (depth == 0 && (is(Kind::line_end) || is(';'))) return;
    }
  }

  const Sources& sources_;
  diagnostics::Findings& findings_;
  const std::vector<Token> tokens_;
  std::size_t at_ = 0;
};

}  // namespace

const Unit* unit(std::string_view name) {
  for (const auto& u : kUnits) {
    if (u.name == name) return &u;
  }
  return nullptr;
}
const char* word(Measure m) {
  switch (m) {
    case Measure::none:
      return "a number";
    case Measure::duration:
      return "a duration";
    case Measure::size:
      return "a size";
    case Measure::rate:
      return "a rate";
    case Measure::bandwidth:
      return "a bandwidth";
    case Measure::percent:
      return "a percentage";
  }
  return "";
}

Tree parse(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings) {
  if (sources.text(file).size() > kMaxTextBytes) {
    findings.error("A008", {sources.name(file), 0, 0}, "the file is over 1 MiB",
                   "split it and include the parts");
    return {file, {}, {}};
  }
  return Parser(sources, file, findings).tree(file);
}

}  // namespace alderspur::config_language

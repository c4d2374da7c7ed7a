#include "config_language/parser.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config_language/lexer.h"

namespace alderspur::config_language {
namespace {

using Kind = Token::Kind;

std::string describe(const Token& token) {
  switch (token.kind) {
    case Kind::end:
      return "the end of the file";
    case Kind::line_end:
      return "the end of the line";
    case Kind::comment:
      return "a comment";
    default:
      return "'" + token.text + "'";
  }
}

/// Returns the kind of a value that consists of one token, or nullopt for other tokens.
std::optional<Value::Kind> value_kind(Kind kind) {
  switch (kind) {
    case Kind::word:
      return Value::Kind::word;
    case Kind::string:
      return Value::Kind::string;
    case Kind::number:
      return Value::Kind::number;
    case Kind::constant:
      return Value::Kind::constant;
    default:
      return std::nullopt;
  }
}

/// The statements of a block or a file.
struct Statements {
  std::vector<Statement> list;
  std::vector<std::string> closing_comments;
  bool is_incomplete = false;
};

/// Comments and empty lines before a statement. An empty text in `comments` stands for an empty
/// line.
struct Margin {
  std::vector<std::string> comments;
  bool begins_with_empty_line = false;

  void add_empty_line();
};

void Margin::add_empty_line() {
  if (comments.empty()) {
    begins_with_empty_line = true;
  } else {
    comments.emplace_back();
  }
}

class Parser {
 public:
  Parser(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings)
      : sources_(sources), findings_(findings), tokens_(tokenize(sources, file, findings)) {}

  Tree parse_file(std::uint32_t file) {
    Statements statements = parse_statements(0);
    return {file, std::move(statements.list), std::move(statements.closing_comments),
            statements.is_incomplete};
  }

 private:
  const Token& current() const { return tokens_[position_]; }
  bool is(Kind kind) const { return current().kind == kind; }
  bool is(char punctuation) const {
    return is(Kind::punctuation) && current().text[0] == punctuation;
  }

  /// Returns the current token and advances, but never past the last token (the end of the file).
  const Token& take() {
    const Token& token = current();
    if (!is(Kind::end)) ++position_;
    return token;
  }

  void report(const char* code, const Span& span, std::string what, std::string suggestion = {}) {
    findings_.error(code, sources_.location(span), std::move(what), std::move(suggestion));
  }

  void report_expected(const std::string& expected) {
    const Token& token = current();
    if (token.kind == Kind::invalid) return;
    report("A006", token.span, "expected " + expected + ", not " + describe(token));
  }

  void report_too_deep(const char* what) {
    report("A007", current().span, std::string(what) + " stand too deep in one another",
           "at most " + std::to_string(kMaxNestingDepth));
  }

  /// Consumes line ends, comments and semicolons up to the next token of another kind.
  Margin parse_margin() {
    Margin margin;
    int line_ends = 0;
    for (; is(Kind::line_end) || is(Kind::comment) || is(';'); take()) {
      if (is(Kind::line_end)) ++line_ends;
      if (!is(Kind::comment)) continue;
      if (line_ends > 1) margin.add_empty_line();
      margin.comments.push_back(current().text);
      line_ends = 0;
    }
    if (line_ends > 1) margin.add_empty_line();
    return margin;
  }

  /// Parses statements up to the end of the file or the closing brace of the block.
  Statements parse_statements(std::size_t depth) {
    Statements statements;
    for (;;) {
      Margin margin = parse_margin();
      if (is(Kind::end) || (is('}') && depth > 0)) {
        auto& comments = margin.comments;
        while (!comments.empty() && comments.back().empty()) comments.pop_back();
        statements.closing_comments = std::move(comments);
        return statements;
      }
      if (is('}')) {  // no block is open
        report_expected("a word that begins an entry");
        take();
        statements.is_incomplete = true;
        continue;
      }
      auto statement = parse_statement(depth);
      if (!statement) {
        statements.is_incomplete = true;
        skip_statement();
        continue;
      }
      statement->leading_comments = std::move(margin.comments);
      statement->follows_empty_line = margin.begins_with_empty_line && !statements.list.empty();
      statements.list.push_back(std::move(*statement));
    }
  }

  /// Parses a statement. Returns nullopt if an error was reported.
  std::optional<Statement> parse_statement(std::size_t depth) {
    if (!is(Kind::word)) {
      report_expected("a word that begins an entry");
      return std::nullopt;
    }
    Statement statement;
    statement.key_span = current().span;
    statement.span = current().span;
    statement.key = take().text;
    while (is(Kind::word) || is(Kind::string) || is(Kind::number)) {
      auto argument = parse_value(depth);
      if (!argument) return std::nullopt;
      statement.arguments.push_back(std::move(*argument));
    }
    if (is('=')) {
      take();
      statement.value = parse_value(depth);
      if (!statement.value) return std::nullopt;
    }
    if (is('{') && !parse_block(statement, depth)) return std::nullopt;
    statement.span.end = tokens_[position_ - 1].span.end;
    if (is(Kind::comment)) statement.trailing_comment = take().text;
    if (is(Kind::line_end) || is(';') || is('}') || is(Kind::end)) return statement;
    const bool is_complete = statement.has_block || statement.value;
    report_expected(is_complete ? "the end of the line" : "'=', '{' or the end of the line");
    return std::nullopt;
  }

  /// Parses the block of a statement. Returns false if the statement must be discarded.
  bool parse_block(Statement& statement, std::size_t depth) {
    const Span opening_brace = current().span;
    if (depth + 1 > kMaxNestingDepth) {
      report_too_deep("blocks");
      return false;
    }
    take();
    statement.has_block = true;
    if (is(Kind::comment)) statement.opening_comment = take().text;
    Statements statements = parse_statements(depth + 1);
    statement.body = std::move(statements.list);
    statement.closing_comments = std::move(statements.closing_comments);
    statement.is_incomplete = statements.is_incomplete;
    if (is('}')) {
      take();
    } else {
      // Keep the statement, so that errors within its block are reported too.
      report("A006", opening_brace, "this block has no end", "close it with }");
    }
    return true;
  }

  /// Parses a value. Returns nullopt if an error was reported.
  std::optional<Value> parse_value(std::size_t depth) {
    if (is('[')) return parse_list(depth);
    const Token& token = current();
    const auto kind = value_kind(token.kind);
    if (!kind) {
      report_expected("a value");
      return std::nullopt;
    }
    Value value;
    value.kind = *kind;
    value.span = token.span;
    value.text = token.text;
    value.number = token.number;
    value.unit = token.unit;
    take();
    return value;
  }

  /// Parses a list. Returns nullopt if an error was reported.
  std::optional<Value> parse_list(std::size_t depth) {
    const Span opening_bracket = current().span;
    if (depth + 1 > kMaxNestingDepth) {
      report_too_deep("lists");
      return std::nullopt;
    }
    take();
    Value list;
    list.kind = Value::Kind::list;
    list.span = opening_bracket;
    for (;;) {
      std::vector<std::string> comments = parse_list_comments();
      if (is(']')) {
        list.closing_comments = std::move(comments);
        list.span.end = take().span.end;
        return list;
      }
      if (is(Kind::end) || is('}')) {
        report("A006", opening_bracket, "this list has no end", "close it with ]");
        return std::nullopt;
      }
      auto item = parse_value(depth + 1);
      if (!item) return std::nullopt;
      item->leading_comments = std::move(comments);
      // A comment after an item is moved before it.
      for (auto& comment : parse_list_comments()) {
        item->leading_comments.push_back(std::move(comment));
      }
      list.items.push_back(std::move(*item));
      if (is(',')) {
        take();
      } else if (!is(']') && !is('}') && !is(Kind::end)) {
        report_expected("',' or ']'");
        return std::nullopt;
      }
    }
  }

  std::vector<std::string> parse_list_comments() {
    std::vector<std::string> comments;
    for (; is(Kind::line_end) || is(Kind::comment); take()) {
      if (is(Kind::comment)) comments.push_back(current().text);
    }
    return comments;
  }

  /// Skips to the end of a statement with an error, including blocks and lists that open in it.
  void skip_statement() {
    int depth = 0;
    for (; !is(Kind::end); take()) {
      if (is('{') || is('[')) ++depth;
      if (depth == 0 && is('}')) return;  // closes the enclosing block
      if (is('}') || is(']')) depth = std::max(0, depth - 1);
      if (depth == 0 && (is(Kind::line_end) || is(';'))) return;
    }
  }

  const Sources& sources_;
  diagnostics::Findings& findings_;
  const std::vector<Token> tokens_;
  std::size_t position_ = 0;
};

}  // namespace

Tree parse(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings) {
  if (sources.text(file).size() > kMaxTextBytes) {
    findings.error("A008", {sources.name(file), 0, 0}, "the file is over 1 MiB",
                   "split it and include the parts");
    return {file, {}, {}, false};
  }
  return Parser(sources, file, findings).parse_file(file);
}

}  // namespace alderspur::config_language

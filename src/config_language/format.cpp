#include "config_language/format.h"

#include <algorithm>

namespace alderspur::config_language {
namespace {

constexpr std::size_t kMaxLineBytes = 100;
constexpr std::size_t kIndentation = 2;

std::string quoted(const std::string& text) {
  std::string result = "\"";
  for (const char c : text) {
    switch (c) {
      case '"':
      case '\\':
        result += '\\';
        result += c;
        break;
      case '\n':
        result += "\\n";
        break;
      case '\t':
        result += "\\t";
        break;
      default:
        result += c;
    }
  }
  return result + "\"";
}

std::string format_number(const Value& value) {
  if (value.unit.empty()) return value.text;
  const bool is_attached = value.unit == "%" || value.unit[0] == '/';
  return value.text + (is_attached ? "" : " ") + value.unit;
}

std::string format_list(const Value& list) {
  std::string text = "[";
  for (std::size_t i = 0; i < list.items.size(); ++i) {
    if (i > 0) text += ", ";
    text += to_string(list.items[i]);
  }
  return text + "]";
}

bool has_comments(const Value& value);

bool contains_comments(const Value& list) {
  return !list.closing_comments.empty() ||
         std::any_of(list.items.begin(), list.items.end(), has_comments);
}

bool has_comments(const Value& value) {
  return !value.leading_comments.empty() || contains_comments(value);
}

class Formatter {
 public:
  std::string format(const Tree& tree) {
    write_statements(tree.statements, 0);
    for (const auto& comment : tree.closing_comments) text_ += comment + "\n";
    return std::move(text_);
  }

 private:
  void write_statements(const std::vector<Statement>& statements, std::size_t indentation) {
    bool is_first = true;
    for (const auto& statement : statements) {
      if (statement.follows_empty_line && !is_first) text_ += '\n';
      is_first = false;
      write_statement(statement, indentation);
    }
  }

  void write_statement(const Statement& statement, std::size_t indentation) {
    for (const auto& comment : statement.leading_comments) write_comment(comment, indentation);
    const std::size_t line_begin = text_.size();
    text_.append(indentation, ' ') += statement.key;
    for (const auto& argument : statement.arguments) text_ += ' ' + to_string(argument);
    if (statement.value) {
      text_ += " = ";
      write_value(*statement.value, indentation, text_.size() - line_begin);
    }
    if (statement.has_block) write_block(statement, indentation);
    if (!statement.trailing_comment.empty()) text_ += "  " + statement.trailing_comment;
    text_ += '\n';
  }

  void write_block(const Statement& statement, std::size_t indentation) {
    const bool is_empty = statement.body.empty() && statement.closing_comments.empty() &&
                          statement.opening_comment.empty();
    if (is_empty) {
      text_ += " {}";
      return;
    }
    text_ += " {";
    if (!statement.opening_comment.empty()) text_ += "  " + statement.opening_comment;
    text_ += '\n';
    write_statements(statement.body, indentation + kIndentation);
    for (const auto& comment : statement.closing_comments) {
      write_comment(comment, indentation + kIndentation);
    }
    text_.append(indentation, ' ') += '}';
  }

  /// Writes a comment on its own line. An empty comment stands for an empty line.
  void write_comment(const std::string& comment, std::size_t indentation) {
    if (!comment.empty()) text_.append(indentation, ' ') += comment;
    text_ += '\n';
  }

  /// Writes a value. `used_bytes` is the number of bytes already written on the line.
  void write_value(const Value& value, std::size_t indentation, std::size_t used_bytes) {
    const std::string line = to_string(value);
    const bool fits = !contains_comments(value) && used_bytes + line.size() <= kMaxLineBytes;
    if (value.kind != Value::Kind::list || fits) {
      text_ += line;
      return;
    }
    const std::size_t item_indentation = indentation + kIndentation;
    text_ += "[\n";
    for (const auto& item : value.items) {
      for (const auto& comment : item.leading_comments) write_comment(comment, item_indentation);
      text_.append(item_indentation, ' ');
      write_value(item, item_indentation, item_indentation);
      text_ += ",\n";
    }
    for (const auto& comment : value.closing_comments) write_comment(comment, item_indentation);
    text_.append(indentation, ' ') += ']';
  }

  std::string text_;
};

bool is_equivalent(const Value& left, const Value& right) {
  if (left.kind != right.kind || left.text != right.text || left.unit != right.unit) return false;
  return std::equal(left.items.begin(), left.items.end(), right.items.begin(), right.items.end(),
                    [](const Value& a, const Value& b) { return is_equivalent(a, b); });
}

bool is_equivalent(const std::vector<Value>& left, const std::vector<Value>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const Value& a, const Value& b) { return is_equivalent(a, b); });
}

bool is_equivalent(const std::vector<Statement>& left, const std::vector<Statement>& right);

bool is_equivalent(const Statement& left, const Statement& right) {
  if (left.key != right.key || left.has_block != right.has_block) return false;
  if (left.value.has_value() != right.value.has_value()) return false;
  if (left.value && !is_equivalent(*left.value, *right.value)) return false;
  return is_equivalent(left.arguments, right.arguments) && is_equivalent(left.body, right.body);
}

bool is_equivalent(const std::vector<Statement>& left, const std::vector<Statement>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const Statement& a, const Statement& b) { return is_equivalent(a, b); });
}

}  // namespace

std::string format(const Tree& tree) { return Formatter().format(tree); }

std::string to_string(const Value& value) {
  switch (value.kind) {
    case Value::Kind::string:
      return quoted(value.text);
    case Value::Kind::constant:
      return "$" + value.text;
    case Value::Kind::number:
      return format_number(value);
    case Value::Kind::list:
      return format_list(value);
    case Value::Kind::word:
      break;
  }
  return value.text;
}

bool is_equivalent(const Tree& left, const Tree& right) {
  return is_equivalent(left.statements, right.statements);
}

}  // namespace alderspur::config_language

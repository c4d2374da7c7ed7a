#include "config_language/lexer.h"

#include <string_view>
#include <utility>

#include "config_language/units.h"
#include "config_language/utf8.h"
#include "core/parsing.h"

namespace alderspur::config_language {
namespace {

using Kind = Token::Kind;

constexpr std::size_t kMaxDigits = 18;
constexpr std::string_view kPunctuation = "={}[],;";
constexpr std::string_view kBlanks = " \t\r";
constexpr const char* kInvalidByte = "this byte is no text";
constexpr const char* kUseUtf8 = "write the file in UTF-8, without control characters";

bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_control(char c) { return static_cast<unsigned char>(c) < ' '; }
bool is_blank(char c) { return kBlanks.find(c) != std::string_view::npos; }

/// Returns the character that an escape stands for, or 0 if the escape is unknown.
char unescape(char escape) {
  switch (escape) {
    case '"':
    case '\\':
      return escape;
    case 'n':
      return '\n';
    case 't':
      return '\t';
    default:
      return '\0';
  }
}

class Lexer {
 public:
  Lexer(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings)
      : sources_(sources), text_(sources.text(file)), file_(file), findings_(findings) {}

  std::vector<Token> tokenize() {
    std::vector<Token> tokens;
    do {
      tokens.push_back(next());
    } while (tokens.back().kind != Kind::end);
    return tokens;
  }

 private:
  bool is_at_end() const { return position_ >= text_.size(); }

  /// Returns the character at an offset from the current position, or 0 past the end of the text.
  char peek(std::size_t offset = 0) const {
    return position_ + offset < text_.size() ? text_[position_ + offset] : '\0';
  }

  /// Returns a token that reaches from `begin` to the current position.
  Token make_token(Kind kind, std::size_t begin) const {
    Token token;
    token.kind = kind;
    token.span = {file_, static_cast<std::uint32_t>(begin), static_cast<std::uint32_t>(position_)};
    token.text = std::string(text_.substr(begin, position_ - begin));
    return token;
  }

  Token make_single(Kind kind) {
    const std::size_t begin = position_;
    ++position_;
    return make_token(kind, begin);
  }

  Token report(const char* code, std::size_t begin, std::string what, std::string suggestion = {}) {
    Token token = make_token(Kind::invalid, begin);
    findings_.error(code, sources_.location(token.span), std::move(what), std::move(suggestion));
    return token;
  }

  /// Reports the byte at the current position and skips it.
  Token report_byte(const char* code, std::string what, std::string suggestion) {
    const std::size_t begin = position_;
    ++position_;
    return report(code, begin, std::move(what), std::move(suggestion));
  }

  Token next() {
    while (!is_at_end() && is_blank(peek())) ++position_;
    const std::size_t begin = position_;
    if (is_at_end()) return make_token(Kind::end, begin);
    const char c = peek();
    if (c == '\n') return make_single(Kind::line_end);
    if (c == '#') return comment();
    if (c == '"') return string();
    if (c == '\'') return single_quoted();
    if (is_letter(c)) return word(Kind::word, begin);
    if (c == '$' && is_letter(peek(1))) return constant();
    if (is_digit(c)) return number();
    if (kPunctuation.find(c) != std::string_view::npos) return make_single(Kind::punctuation);
    return unexpected_character();
  }

  Token unexpected_character() {
    const char c = peek();
    const std::size_t length = utf8_length(text_, position_);
    if (length == 0 || is_control(c)) return report_byte("A009", kInvalidByte, kUseUtf8);
    const std::size_t begin = position_;
    position_ += length;
    const std::string character(text_.substr(begin, length));
    return report("A001", begin, "'" + character + "' has no meaning here",
                  c == '-' ? "no value is negative" : "");
  }

  Token single_quoted() {
    const std::size_t begin = position_;
    ++position_;
    while (!is_at_end() && peek() != '\n' && peek() != '\'') ++position_;
    if (peek() == '\'') ++position_;
    return report("A001", begin, "' has no meaning here", "strings stand in \"double quotes\"");
  }

  Token comment() {
    const std::size_t begin = position_;
    while (!is_at_end() && peek() != '\n') {
      const std::size_t length = utf8_length(text_, position_);
      if (length == 0 || (is_control(peek()) && !is_blank(peek()))) {
        report_byte("A009", kInvalidByte, kUseUtf8);
      } else {
        position_ += length;
      }
    }
    Token token = make_token(Kind::comment, begin);
    while (!token.text.empty() && is_blank(token.text.back())) token.text.pop_back();
    return token;
  }

  Token word(Kind kind, std::size_t begin) {
    while (is_letter(peek()) || is_digit(peek()) || peek() == '-') ++position_;
    return make_token(kind, begin);
  }

  Token constant() {
    const std::size_t begin = position_;
    ++position_;
    Token token = word(Kind::constant, begin);
    token.text.erase(0, 1);
    return token;
  }

  Token string() {
    const std::size_t begin = position_;
    std::string content;
    bool is_valid = true;
    ++position_;
    while (peek() != '"') {
      if (is_at_end() || peek() == '\n') {
        return report("A002", begin, "the string has no end", "close it with \" on the same line");
      }
      is_valid &= peek() == '\\' ? read_escape(content) : read_character(content);
    }
    ++position_;
    Token token = make_token(is_valid ? Kind::string : Kind::invalid, begin);
    token.text = std::move(content);
    return token;
  }

  /// Reads an escape and appends its character to `content`. Returns false if an error was
  /// reported.
  bool read_escape(std::string& content) {
    const char escape = peek(1);
    const char character = unescape(escape);
    if (character == '\0') {
      report_byte("A003", std::string("no escape is written \\") + (escape >= ' ' ? escape : '?'),
                  R"(\" \\ \n and \t are known)");
      return false;
    }
    content += character;
    position_ += 2;
    return true;
  }

  /// Reads a character and appends it to `content`. Returns false if an error was reported.
  bool read_character(std::string& content) {
    const std::size_t length = utf8_length(text_, position_);
    if (length == 0 || is_control(peek())) {
      report_byte("A009", kInvalidByte, "write the file in UTF-8; a tab is \\t");
      return false;
    }
    content += text_.substr(position_, length);
    position_ += length;
    return true;
  }

  Token number() {
    const std::size_t begin = position_;
    while (is_digit(peek()) || peek() == '.') ++position_;
    const std::string digits(text_.substr(begin, position_ - begin));
    const auto value = core::parse_number<double>(digits);
    if (!value || digits.back() == '.' || digits.size() > kMaxDigits) {
      return report("A004", begin, "'" + digits + "' is no number",
                    "digits, with one point at most");
    }
    const std::string unit(read_unit());
    if (!unit.empty() && !find_unit(unit)) return report_unknown_unit(begin, unit);
    Token token = make_token(Kind::number, begin);
    token.text = digits;
    token.number = *value;
    token.unit = unit;
    return token;
  }

  /// Reads an optional unit, which blanks may precede. Without a unit, the position stays directly
  /// after the number.
  std::string_view read_unit() {
    const std::size_t number_end = position_;
    while (peek() == ' ' || peek() == '\t') ++position_;
    const std::size_t begin = position_;
    while (is_letter(peek()) || peek() == '%' || peek() == '/') ++position_;
    if (position_ == begin) position_ = number_end;
    return text_.substr(begin, position_ > begin ? position_ - begin : 0);
  }

  Token report_unknown_unit(std::size_t begin, const std::string& unit) {
    const std::string match = diagnostics::closest_match(unit, unit_names());
    return report("A005", begin, "'" + unit + "' is no unit",
                  match.empty() ? "one entry stands on a line; units are ms, s, MB, /s, %"
                                : "did you mean " + match + "?");
  }

  const Sources& sources_;
  const std::string_view text_;
  const std::uint32_t file_;
  diagnostics::Findings& findings_;
  std::size_t position_ = 0;
};

}  // namespace

std::vector<Token> tokenize(const Sources& sources, std::uint32_t file,
                            diagnostics::Findings& findings) {
  return Lexer(sources, file, findings).tokenize();
}

}  // namespace alderspur::config_language

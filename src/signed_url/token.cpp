#include "signed_url/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

#include "core/parsing.h"

namespace alderspur::signed_url {
namespace {

constexpr std::string_view kSignatureField = "&sig=";
constexpr std::size_t kMaxEncodedBytes = 4096;
/// Upper bound of times in a token, in Unix seconds, so that the clock skew can be added without
/// overflow.
constexpr std::int64_t kMaxUnixSeconds = std::int64_t{1} << 40;

// ---- Base64url ----

bool is_base64url(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return is_letter || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

char to_base64url(char c) {
  switch (c) {
    case '+':
      return '-';
    case '/':
      return '_';
    default:
      return c;
  }
}

char to_base64(char c) {
  switch (c) {
    case '-':
      return '+';
    case '_':
      return '/';
    default:
      return c;
  }
}

const unsigned char* as_bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* as_bytes(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

// ---- Fields of the signed text ----

/// The fields of a signed text that the verifier uses. The data() of an absent field is null.
struct TokenFields {
  std::string_view prefix;
  std::string_view group;
  std::string_view size_kb;
  std::string_view key_id;
  std::string_view not_before;
  std::string_view expires_at;
};

/// Returns the member that holds the field `name`, or null if the verifier does not use that field.
std::string_view* find_field(TokenFields& fields, std::string_view name) {
  struct FieldName {
    std::string_view name;
    std::string_view TokenFields::*member;
  };
  static constexpr FieldName kFieldNames[] = {
      {"pfx", &TokenFields::prefix},     {"set", &TokenFields::group},
      {"ram", &TokenFields::size_kb},    {"kid", &TokenFields::key_id},
      {"nbf", &TokenFields::not_before}, {"exp", &TokenFields::expires_at}};
  for (const auto& field : kFieldNames) {
    if (field.name == name) return &(fields.*field.member);
  }
  return nullptr;
}

/// Parses a query. Returns nullopt if a part is not of the form "name=value" or if a used field is
/// repeated, because programs differ in which of the repeated values they use.
std::optional<TokenFields> parse_fields(std::string_view query) {
  TokenFields fields;
  while (!query.empty()) {
    const auto part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    std::string_view* field = find_field(fields, part.substr(0, equals));
    if (!field) continue;
    if (field->data()) return std::nullopt;
    *field = part.substr(equals + 1);
  }
  return fields;
}

/// Returns nullopt if the text is not a number or is out of range.
std::optional<std::int64_t> parse_unix_seconds(std::string_view text) {
  const auto seconds = core::parse_number<std::int64_t>(text);
  if (!seconds || *seconds < 0 || *seconds >= kMaxUnixSeconds) return std::nullopt;
  return seconds;
}

/// The time during which a signed text is valid, in Unix seconds.
struct ValidityPeriod {
  std::int64_t not_before = 0;
  std::int64_t expires_at = 0;  // exclusive
};

/// Returns nullopt if the expiry time is absent or a time is invalid. The start time is optional.
std::optional<ValidityPeriod> parse_validity(const TokenFields& fields) {
  const auto expires_at = parse_unix_seconds(fields.expires_at);
  if (!expires_at) return std::nullopt;
  if (!fields.not_before.data()) return ValidityPeriod{0, *expires_at};
  const auto not_before = parse_unix_seconds(fields.not_before);
  if (!not_before) return std::nullopt;
  return ValidityPeriod{*not_before, *expires_at};
}

/// Reports whether the path equals the prefix or is below it. Only whole path segments match, so
/// the prefix "/asset/7f" does not include "/asset/7f3a".
bool is_below(std::string_view path, std::string_view prefix) {
  if (!prefix.starts_with('/') || !path.starts_with(prefix)) return false;
  return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

/// Compares signatures in constant time, because the duration of the comparison must not reveal how
/// much of a forged signature is correct.
bool is_same_signature(std::string_view expected, std::string_view given) {
  return !expected.empty() && expected.size() == given.size() &&
         CRYPTO_memcmp(expected.data(), given.data(), given.size()) == 0;
}

}  // namespace

std::string encode_base64url(std::string_view bytes) {
  std::string encoded((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(as_bytes(encoded), as_bytes(bytes), static_cast<int>(bytes.size()));
  encoded.resize(static_cast<std::size_t>(size));
  while (encoded.ends_with('=')) encoded.pop_back();
  std::transform(encoded.begin(), encoded.end(), encoded.begin(), to_base64url);
  return encoded;
}

std::optional<std::string> decode_base64url(std::string_view text) {
  if (!std::all_of(text.begin(), text.end(), is_base64url)) return std::nullopt;
  if (text.empty() || text.size() % 4 == 1 || text.size() > kMaxEncodedBytes) return std::nullopt;
  std::string padded(text);
  std::transform(padded.begin(), padded.end(), padded.begin(), to_base64);
  const std::size_t padding = (4 - padded.size() % 4) % 4;
  padded.append(padding, '=');
  std::string bytes(padded.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(as_bytes(bytes), as_bytes(std::string_view{padded}),
                                   static_cast<int>(padded.size()));
  if (size < 0) return std::nullopt;
  bytes.resize(bytes.size() - padding);
  return bytes;
}

std::string signature(const Key& key, std::string_view text) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  if (!HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()), as_bytes(text),
            text.size(), mac, &size)) {
    return {};
  }
  return encode_base64url({reinterpret_cast<const char*>(mac), size});
}

const Key* TokenVerifier::find_key(std::string_view id) const {
  const auto found =
      std::find_if(keys_.begin(), keys_.end(), [id](const Key& key) { return key.id == id; });
  return found == keys_.end() ? nullptr : &*found;
}

Verification TokenVerifier::verify(std::string_view path, std::string_view signed_text,
                                   std::int64_t now) const {
  const auto text_size = signed_text.rfind(kSignatureField);
  if (text_size == std::string_view::npos) return {TokenStatus::malformed, {}};
  const auto text = signed_text.substr(0, text_size);
  const auto given_signature = signed_text.substr(text_size + kSignatureField.size());
  const auto query_mark = text.find('?');
  const bool is_link = query_mark != std::string_view::npos;
  const auto fields = parse_fields(is_link ? text.substr(query_mark + 1) : text);
  if (!fields) return {TokenStatus::malformed, {}};
  const auto validity = parse_validity(*fields);
  if (!validity) return {TokenStatus::malformed, {}};

  const Key* key = find_key(fields->key_id);
  if (!key) return {TokenStatus::unknown_key, {}};
  const bool has_key_expired = key->until && now >= key->until + clock_skew_seconds_;
  if (has_key_expired) return {TokenStatus::unknown_key, {}};
  if (!is_same_signature(signature(*key, text), given_signature)) {
    return {TokenStatus::bad_signature, {}};
  }

  // A token without a prefix is not valid for any path.
  const bool is_for_path =
      is_link ? text.substr(0, query_mark) == path : is_below(path, fields->prefix);
  if (!is_for_path) return {TokenStatus::wrong_path, {}};
  if (now < validity->not_before - clock_skew_seconds_) return {TokenStatus::too_early, {}};
  if (now >= validity->expires_at + clock_skew_seconds_) return {TokenStatus::expired, {}};
  return {TokenStatus::accepted, {fields->group, fields->size_kb}};
}

}  // namespace alderspur::signed_url

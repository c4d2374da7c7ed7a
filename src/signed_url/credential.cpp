#include "signed_url/credential.h"

#include <algorithm>

#include "signed_url/token.h"

namespace alderspur::signed_url {
namespace {

constexpr std::string_view kBearerScheme = "bearer ";
constexpr std::string_view kPrefixField = "pfx=";
/// The bit that distinguishes a lower-case ASCII letter from its upper-case form.
constexpr char kLowerCaseBit = 32;

/// Returns the token in the query of the target, or else the whole target if it is a signed link.
/// Returns an empty text if the target holds neither.
std::string_view find_in_target(std::string_view target) {
  const auto query = split_target(target).query;
  if (query.starts_with(kPrefixField)) return query;
  const auto token = query.find("&pfx=");
  if (token != std::string_view::npos) return query.substr(token + 1);
  const bool is_link = query.find("&sig=") != std::string_view::npos;
  return is_link ? target : std::string_view();
}

/// Reports whether the header value uses the scheme "Bearer". Only the first letter of the scheme
/// may be in upper case or lower case; the others must be in lower case.
bool has_bearer_scheme(std::string_view authorization) {
  return authorization.size() > kBearerScheme.size() &&
         (authorization[0] | kLowerCaseBit) == kBearerScheme[0] &&
         authorization.substr(1).starts_with(kBearerScheme.substr(1));
}

}  // namespace

RequestTarget split_target(std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  return {path, target.substr(std::min(target.size(), path.size() + 1))};
}

std::optional<Credential> find_credential(const http::Request& request,
                                          const std::string& cookie_name) {
  Credential credential;
  credential.in_target = find_in_target(request.target);
  if (!credential.in_target.empty()) return credential;
  const auto encoded = has_bearer_scheme(request.authorization)
                           ? request.authorization.substr(kBearerScheme.size())
                           : http::cookie_value(request.cookie, cookie_name);
  if (encoded.empty()) return std::nullopt;
  credential.decoded = decode_base64url(encoded).value_or(std::string());
  return credential;
}

}  // namespace alderspur::signed_url

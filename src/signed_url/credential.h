// Finds the link or token that a request presents. No shared state: may be called from any thread.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace alderspur::signed_url {

/// The target of a request, divided at its first "?".
struct RequestTarget {
  std::string_view path;
  std::string_view query;  // without "?"
};

RequestTarget split_target(std::string_view target);

/// The signed text that a request presents.
struct Credential {
  /// The link or token with its signature. Empty, and so malformed, where a cookie or a bearer
  /// token cannot be decoded.
  std::string_view text() const {
    return in_target.empty() ? std::string_view{decoded} : in_target;
  }

  std::string_view in_target;  // a slice of the request's target
  std::string decoded;         // of a cookie or a bearer token
};

/// In this order: a token in the query, the link itself, a bearer token, the cookie with that name.
/// Nothing where the request has none of them.
std::optional<Credential> find_credential(const http::Request& request,
                                          const std::string& cookie_name);

}  // namespace alderspur::signed_url

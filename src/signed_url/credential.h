// Finds the signed link or the token that a request presents. The functions share no state and may
// be called from any thread.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace alderspur::signed_url {

/// The target of a request, divided at its first "?". Both members are slices of the target.
struct RequestTarget {
  std::string_view path;
  std::string_view query;  // without the "?"; empty if the target has none
};

/// Divides the target of a request into its path and its query.
RequestTarget split_target(std::string_view target);

/// The signed text that a request presents. It must not outlive the request.
struct Credential {
  /// Returns the link or the token with its signature. Returns an empty text, which verification
  /// rejects as malformed, if a cookie or a bearer token cannot be decoded.
  std::string_view text() const {
    return in_target.empty() ? std::string_view{decoded} : in_target;
  }

  std::string_view in_target;  // a slice of the request's target
  std::string decoded;         // the decoded cookie or bearer token
};

/// Returns the first credential that the request presents. A token in the query takes precedence
/// over the signed link itself, then over a bearer token, and then over the cookie `cookie_name`.
/// Returns nullopt if the request has none of them.
std::optional<Credential> find_credential(const http::Request& request,
                                          const std::string& cookie_name);

}  // namespace alderspur::signed_url

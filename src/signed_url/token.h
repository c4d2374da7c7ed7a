// Creates signatures and verifies signed links and tokens. A signed text has the form of a query
// and ends with its signature:
//
//   link:   /asset/7f3a9c21e0b4d655/0?set=17&ram=80&exp=1764576000&kid=k1&sig=SIG
//   token:  pfx=/asset/7f3a9c21e0b4d655&set=17&nbf=1764570000&exp=1764576000&kid=k1&sig=SIG
//
// SIG is the HMAC-SHA256 of all bytes before "&sig=", in base64url without padding. A link is valid
// for its own path only. A token is valid for every path at or below its prefix. A client presents
// a token in the query of a link or, encoded as base64url, in a cookie or as a bearer token.
//
// The functions perform no I/O, share no state and may be called from any thread. Times are in Unix
// seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "signed_url/settings.h"

namespace alderspur::signed_url {

/// The result of verifying a signed text.
enum class TokenStatus {
  accepted,
  missing,  // the request carries neither a signed link nor a token
  malformed,
  unknown_key,  // the key does not exist or has expired
  bad_signature,
  wrong_path,
  too_early,
  expired
};

/// The signed parameters that are used to serve the request, as slices of the signed text.
/// All other parameters may be forged and are ignored.
struct Claims {
  std::string_view group;    // empty if absent
  std::string_view size_kb;  // empty if absent
};

/// The status of a signed text and, if it is accepted, its claims.
struct Verification {
  TokenStatus status = TokenStatus::missing;
  Claims claims;  // empty unless accepted
};

/// Encodes bytes as base64url without padding.
std::string encode_base64url(std::string_view bytes);

/// Decodes base64url without padding. Returns nullopt if the text is invalid, empty or longer than
/// 4096 characters.
std::optional<std::string> decode_base64url(std::string_view text);

/// Returns the signature of `text` in base64url, or an empty text if it cannot be computed.
std::string signature(const Key& key, std::string_view text);

/// Verifies signed texts against a set of keys. Its functions may be called from any thread.
class TokenVerifier {
 public:
  /// `clock_skew_seconds` extends every validity period at both ends, to tolerate clocks that
  /// differ.
  TokenVerifier(std::vector<Key> keys, std::int64_t clock_skew_seconds)
      : keys_(std::move(keys)), clock_skew_seconds_(clock_skew_seconds) {}

  /// Verifies `signed_text`, which is a link or a token with its signature, for a request for
  /// `path`. The path excludes the query of the request. `now` is the Unix time in seconds. The
  /// claims in the result are slices of `signed_text`.
  Verification verify(std::string_view path, std::string_view signed_text, std::int64_t now) const;

 private:
  const Key* find_key(std::string_view id) const;

  std::vector<Key> keys_;
  std::int64_t clock_skew_seconds_;
};

}  // namespace alderspur::signed_url

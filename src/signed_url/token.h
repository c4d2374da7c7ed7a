// Signed links and tokens. The signed text has the form of a query, and its signature ends it:
//
//   link:   /asset/7f3a9c21e0b4d655/0?set=17&ram=80&exp=1764576000&kid=k1&sig=SIG
//   token:  pfx=/asset/7f3a9c21e0b4d655&set=17&nbf=1764570000&exp=1764576000&kid=k1&sig=SIG
//
// SIG is the HMAC-SHA256 of all bytes before "&sig=", in base64url without padding. A link is valid
// for its own path. A token is valid for every path at or below its prefix; it stands in the query
// of a link or, encoded as base64url, in a cookie or as a bearer token.
//
// No I/O, no shared state: all functions may be called from any thread. Times are Unix seconds.
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
  missing,  // the request has neither a link's signature nor a token
  malformed,
  unknown_key,  // or one that has expired
  bad_signature,
  wrong_path,
  too_early,
  expired
};

/// The signed parameters that are used to serve the request; slices of the signed text. All other
/// parameters may be forged and are ignored.
struct Claims {
  std::string_view group;    // empty: not given
  std::string_view size_kb;  // empty: not given
};

struct Verification {
  TokenStatus status = TokenStatus::missing;
  Claims claims;  // empty unless accepted
};

/// Without padding.
std::string encode_base64url(std::string_view bytes);

/// Nothing where the text is no unpadded base64url, is empty or longer than 4096 characters.
std::optional<std::string> decode_base64url(std::string_view text);

/// The signature of `text`, in base64url; empty where it cannot be computed.
std::string signature(const Key& key, std::string_view text);

/// Verifies signed texts against a set of keys.
class TokenVerifier {
 public:
  /// `clock_skew_seconds`: by which times of validity may be missed, either way.
  TokenVerifier(std::vector<Key> keys, std::int64_t clock_skew_seconds)
      : keys_(std::move(keys)), clock_skew_seconds_(clock_skew_seconds) {}

  /// `path`: of the request, without its query. `signed_text`: a link or a token, with its
  /// signature. `now`: Unix time in seconds.
  Verification verify(std::string_view path, std::string_view signed_text, std::int64_t now) const;

 private:
  const Key* find_key(std::string_view id) const;

  std::vector<Key> keys_;
  std::int64_t clock_skew_seconds_;
};

}  // namespace alderspur::signed_url

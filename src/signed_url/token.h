// Signed links and tokens. What is signed is plain text in the form of a query; its signature ends
// it:
//
//   link    /asset/7f3a9c21e0b4d655/0?set=17&ram=80&exp=1764576000&kid=k1&sig=SIG   all before
//   "&sig=" token   pfx=/asset/7f3a9c21e0b4d655&set=17&nbf=1764570000&exp=1764576000&kid=k1&sig=SIG
//
// SIG is HMAC-SHA256 in unpadded base64url. A token stands in a link's query after the path, or, as
// a whole in base64url, in a cookie or as a bearer token; it opens every path at or below its
// prefix.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "signed_url/settings.h"

namespace alderspur::signed_url {

enum class Check {
  good,
  missing,
  malformed,
  unknown_key,
  bad_signature,
  wrong_path,
  too_early,
  expired
};
// The signed parameters that the request is made of: others may be forged and are not read.
struct Claims {
  std::string_view set, ram;
};

std::string base64url(std::string_view bytes);
std::optional<std::string> from_base64url(std::string_view text);
std::string signature(const Key& key, std::string_view text);

class Checker {
 public:
  Checker(std::vector<Key> keys, std::int64_t skew_s) : keys_(std::move(keys)), skew_(skew_s) {}
  // `signed_text` as above, with its signature. A link (no pfx) must stand for just this path.
  Check check(std::string_view path, std::string_view signed_text, std::int64_t now_s,
              Claims& claims) const;

 private:
  std::vector<Key> keys_;
  std::int64_t skew_;
};

}  // namespace alderspur::signed_url

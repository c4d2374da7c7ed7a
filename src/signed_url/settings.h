// Settings of the signed-URL front, as plain values. src/settings reads them from a file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace alderspur::signed_url {

/// A key that signs links and tokens.
struct Key {
  std::string id;  // the "kid" of a link or token
  std::string secret;
  std::int64_t until = 0;  // Unix time in seconds from which the key is rejected; 0 means no end
};

/// Assigns a request class and a time limit to all paths with a prefix.
struct Route {
  std::string prefix;  // such as "/asset/"
  std::uint32_t class_id = 0;
  std::int64_t time_limit = 0;  // microseconds
};

/// Configuration of the signed-URL front.
struct Settings {
  bool enabled = false;
  std::string listen;                   // "host:port"
  std::string cookie = "alderspur";     // name of the cookie that holds a token
  std::int64_t clock_skew_seconds = 5;  // tolerated in both directions
  std::vector<Key> keys;
  std::vector<Route> routes;
};

}  // namespace alderspur::signed_url

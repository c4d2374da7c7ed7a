// Settings of the signed-URL front. Plain values; src/settings reads them from a file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace alderspur::signed_url {

/// A key that signs links and tokens.
struct Key {
  std::string id;
  std::string secret;
  std::int64_t until = 0;  // Unix time in seconds after which it is not accepted; 0: none
};

/// The class and the time limit of all paths with a prefix.
struct Route {
  std::string prefix;  // such as "/asset/"
  std::uint32_t class_id = 0;
  std::int64_t time_limit = 0;  // microseconds
};

struct Settings {
  bool enabled = false;
  std::string listen;                   // "host:port"
  std::string cookie = "alderspur";     // the name of the cookie that holds a token
  std::int64_t clock_skew_seconds = 5;  // accepted either way
  std::vector<Key> keys;
  std::vector<Route> routes;
};

}  // namespace alderspur::signed_url

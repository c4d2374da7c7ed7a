// The configuration and the board's notices: JSON read once into plain structs.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "alderspur/router.h"
#include "endpoints/member.h"

namespace alderspur::config {

struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the settings say beside what the decisions need.
struct Names {
  std::vector<std::string> zones, kinds, classes;
  std::vector<std::int64_t> give_up;  // by class, microseconds; 0: not told
  std::vector<std::string> report_fields;
  int parent_kind = -1, origin_kind = -1;
};
using endpoints::Member;
struct Notice {
  struct Flush {
    std::optional<std::uint64_t> object;
    std::uint32_t group = 0;
    std::int64_t at = 0;  // Unix microseconds
  };
  std::uint64_t number = 0;
  bool pool = false, complete = false;
  std::vector<Member> members;
  std::optional<Flush> flush;
};
struct Config {
  std::string name, listen, board;
  std::string operator_listen;  // where operators call; empty: nowhere
  std::string
      state_folder;  // shared with the process that we replace, or that replaces us; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  int sockets = 1024;
  alderspur::Settings settings;
  Names names;
  std::int64_t dial_timeout = 400'000, idle_close = 30'000'000;
  std::size_t streams = 32;
  std::uint64_t known = 0;  // number of the last notice below
  std::vector<Notice> notices;
};

// The signed front, as src/settings reads it.
struct Signed {
  struct Key {
    std::string id, secret;
    std::int64_t until = 0;  // Unix seconds, 0: no end
  };
  struct Route {
    std::string prefix;  // "/asset/"
    std::uint32_t cls = 0;
    std::int64_t limit = 0;  // microseconds
  };
  bool enabled = false;
  std::string listen, cookie = "alderspur";
  std::int64_t skew_s = 5;
  std::vector<Key> keys;
  std::vector<Route> routes;
};

// The xDS server, likewise.
struct Xds {
  bool enabled = false;
  std::string listen, cluster;
};
// The settings alone, as a router is given them, also on the simulator's wire. Throws Error.
std::pair<alderspur::Settings, Names> read_settings(std::string_view text);
// These throw Error with one plain line.
std::string read_text(const std::string& path);
Config read(std::string_view text);
Config read_file(const std::string& path);
// Empty if the line is no notice that this version understands.
std::optional<Notice> read_notice(std::string_view line, const Names& names);
using endpoints::server_id;

}  // namespace alderspur::config

// The events of service discovery, one JSON document each: codec from the platform's field names to
// endpoint updates and purges. The table below is the whole map; these names occur in
// watch_event.cpp only.
//
//   rev                number of the event           pool              endpoint update
//   pool.complete      the list is complete          pool.members      its servers
//   id                 name of a server              host_port         its address
//   locality           its location                  cell              its cell
//   flavor             its kind                      phase             its status
//   size               its weight                    up_since_ms       start of its process
//   flush              purge                         flush.asset       one object
//   flush.collection   group of objects              flush.ms          time of the purge
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "config/json_value.h"
#include "config/routing_settings.h"
#include "endpoints/member.h"

namespace alderspur::config {

using endpoints::Member;
using endpoints::server_id;

/// All copies from before a moment are void: of one object, or of a group.
struct Purge {
  std::optional<std::uint64_t> object;
  std::uint32_t group = 0;
  std::int64_t at = 0;  // Unix time in microseconds
};

/// One change; an event may have neither part, and then only reports its number.
struct WatchEvent {
  std::uint64_t number = 0;
  bool has_endpoints = false;
  bool is_complete = false;  // the members are the whole list
  std::vector<Member> members;
  std::optional<Purge> purge;
};

/// From one line of the watch. Nothing if it is not an event of a known form.
std::optional<WatchEvent> read_watch_event(std::string_view line, const Names& names);
/// The same from a value.
std::optional<WatchEvent> read_watch_event(const JsonValue& value, const Names& names);

}  // namespace alderspur::config

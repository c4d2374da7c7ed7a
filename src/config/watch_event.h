// Decoder of the events of service discovery, from JSON (one document per event) to endpoint
// updates and purges. The table below maps all field names of the platform to the terms of the
// code. The names occur in watch_event.cpp only.
//
//   rev                number of the event           pool              endpoint update
//   pool.complete      the list is complete          pool.members      its servers; each has:
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

/// A purge: invalidates the copies of one object, or of a whole group if `object` is absent, that
/// are older than `at`.
struct Purge {
  std::optional<std::uint64_t> object;
  std::uint32_t group = 0;
  std::int64_t at = 0;  // Unix time in microseconds
};

/// One event. It may carry an endpoint update, a purge, both, or neither; in the last case it only
/// reports its number.
struct WatchEvent {
  std::uint64_t number = 0;
  bool has_endpoints = false;  // the event carries an endpoint update
  bool is_complete = false;    // `members` is the complete endpoint list
  std::vector<Member> members;
  std::optional<Purge> purge;
};

/// Parses one line of the watch. Returns nullopt if the line is not a valid event.
std::optional<WatchEvent> read_watch_event(std::string_view line, const Names& names);
/// Reads an event from a parsed JSON object. Returns nullopt if the object is not a valid event.
std::optional<WatchEvent> read_watch_event(const JsonValue& value, const Names& names);

}  // namespace alderspur::config

// Decoder of the platform's settings for the routing policy, from JSON to the types of the public
// interface. The table below maps all field names of the platform to the terms of the code. The
// names occur in routing_settings.cpp only, except for three that are read in config.cpp.
//
//   azs                           names of the locations
//   shapes                        names of the kinds of servers
//   zone                          location of this router
//   replicas-of-me                number of routers
//   registry-mode                 subscription to endpoints
//   weights                       meaning of the servers' weights
//   load-report.fields            names of the fields of a load report
//   classes[].name                name of a request class
//   classes[].give-up             request timeout
//   classes[].target              latency objective
//   classes[].aim-stretch         multiple of the transfer time that is added to the objective
//   classes[].points              priority weight
//   classes[].repeat              idempotency
//   classes[].dedup-scope         servers that drop repeats of each other's requests
//   classes[].dedup-window        how long repeated requests are dropped
//   ceilings.max-attempts         maximum number of attempts of a request
//   ceilings.may-cancel           attempts can be cancelled
//   ceilings.probing              health checks are allowed
//   ceilings.retry-after          rejections carry a Retry-After value
//   ceilings.max-retry-after      maximum Retry-After value
//   ceilings.dial-timeout         connect timeout (read in config.cpp)
//   ceilings.idle-close           idle timeout of servers (read in config.cpp)
//   ceilings.streams-per-conn     maximum requests on a connection (read in config.cpp)
//   obligations.cold-from         slow start of a cache: initial fraction of its capacity
//   obligations.cold              slow start of a cache: duration
//   obligations.fall              duration of an overload after which a server in slow start fails
//   domain.upper-cold-from        slow start of a parent: initial fraction of its capacity
//   domain.upper-cold             slow start of a parent: duration
//   domain.upper-kind             kind of servers that are parents
//   domain.source-kind            kind of servers that are origins
//   domain.instances-by-zone      number of routers by location
//   domain.uncached               by class: never cached
//   domain.lifetime-by-class      by class: fresh time
//   domain.stale-for              by class: stale grace time
//   domain.purge-settles          purge propagation time
//   domain.stream-kb-per-s        maximum rate of one transfer, in KB per second
//   domain.merges-fills           fills can be joined
//   domain.straight               caches can be bypassed
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "config/json_value.h"

namespace alderspur::config {

/// Names and numbers in the settings that only the rest of the router needs, not the routing
/// policy.
struct Names {
  std::vector<std::string> zones;              // names of the locations, by LocationId
  std::vector<std::string> server_kinds;       // names of the kinds of servers
  std::vector<std::string> classes;            // names of the request classes, by ClassId
  std::vector<std::int64_t> request_timeouts;  // by ClassId, in microseconds; 0: none
  std::vector<std::string> report_fields;      // names of the fields of a load report
  int parent_kind = -1;                        // index in server_kinds; -1: no parents
  int origin_kind = -1;                        // index in server_kinds; -1: no origin
};

/// The settings of the routing policy and the names that belong to them.
struct RoutingSettings {
  alderspur::Settings settings;
  Names names;
};

/// Reads the settings from the text of a JSON object, as the simulator sends it to a router. Throws
/// Error if the text is not a JSON object or defines no request classes.
RoutingSettings read_routing_settings(std::string_view text);
/// Reads the settings from a parsed JSON object. Throws Error if it defines no request classes.
RoutingSettings read_routing_settings(const JsonValue& value);

}  // namespace alderspur::config

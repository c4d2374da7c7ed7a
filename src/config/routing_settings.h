// The platform's settings of the routing policy, as JSON: codec from the platform's field names to
// the terms of the public interface. The table is the whole map; these names occur in
// routing_settings.cpp only.
//
//   azs                           names of the locations
//   shapes                        names of the kinds of servers
//   zone                          location of this router
//   replicas-of-me                number of routers
//   registry-mode                 subscription to endpoints
//   weights                       kind of weights
//   load-report.fields            names of the fields of a load report
//   classes[].name                name of a request class
//   classes[].give-up             request timeout
//   classes[].target              latency objective
//   classes[].aim-stretch         stretch of the latency objective by the transfer time
//   classes[].points              priority weight
//   classes[].repeat              idempotency
//   classes[].dedup-scope         servers that drop repeats together
//   classes[].dedup-window        time in which repeats are dropped
//   ceilings.max-attempts         attempts of a request
//   ceilings.may-cancel           attempts can be cancelled
//   ceilings.probing              health checks are allowed
//   ceilings.retry-after          rejections carry a Retry-After
//   ceilings.max-retry-after      longest Retry-After
//   ceilings.dial-timeout         connect timeout (read in config.cpp)
//   ceilings.idle-close           idle timeout of servers (read in config.cpp)
//   ceilings.streams-per-conn     requests on a connection (read in config.cpp)
//   obligations.cold-from         slow start of a cache: first fraction of its capacity
//   obligations.cold              slow start of a cache: duration
//   obligations.fall              time in which an overload pushes a server over
//   domain.upper-cold-from        slow start of a parent: first fraction of its capacity
//   domain.upper-cold             slow start of a parent: duration
//   domain.upper-kind             kind of servers that are parents
//   domain.source-kind            kind of servers that are origins
//   domain.instances-by-zone      number of routers by location
//   domain.uncached               by class: never cached
//   domain.lifetime-by-class      by class: fresh time
//   domain.stale-for              by class: stale grace time
//   domain.purge-settles          purge propagation time
//   domain.stream-kb-per-s        rate of one transfer
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

/// The names and numbers of the settings that the routing policy does not need.
struct Names {
  std::vector<std::string> zones;  // of the locations, by their number
  std::vector<std::string> server_kinds;
  std::vector<std::string> classes;            // of requests, by their number
  std::vector<std::int64_t> request_timeouts;  // by class, microseconds; 0: none
  std::vector<std::string> report_fields;
  int parent_kind = -1;  // -1: there are no parents
  int origin_kind = -1;  // -1: there is no origin
};

struct RoutingSettings {
  alderspur::Settings settings;
  Names names;
};

/// From the text of a JSON object, as a router gets it on the simulator's wire. Throws Error if it
/// is none or names no classes.
RoutingSettings read_routing_settings(std::string_view text);
/// The same from a value.
RoutingSettings read_routing_settings(const JsonValue& value);

}  // namespace alderspur::config

// The platform's settings of the routing policy, as JSON: codec from the platform's field names to
// the terms of the public interface. The table below is the whole map; these names occur in
// routing_settings.cpp only.
//
//   azs                          names of the locations      shapes               names of the
//   kinds of servers zone                         location of this router     replicas-of-me number
//   of routers registry-mode                subscription to endpoints   weights              kind
//   of weights load-report.fields           names of the fields of a load report classes[].name
//   name of a request class     classes[].give-up    request timeout classes[].target latency
//   objective           classes[].aim-stretch  its stretch by the transfer time classes[].points
//   priority weight             classes[].repeat     idempotency classes[].dedup-scope,
//   dedup-window                      where and how long repeats are dropped ceilings.max-attempts,
//   may-cancel, probing, retry-after, max-retry-after    what a router may do ceilings.dial-timeout
//   connect timeout             ceilings.idle-close  idle timeout ceilings.streams-per-conn
//   requests on a connection obligations.cold-from, cold  slow start of a cache: first fraction,
//   time obligations.fall             time in which an overload pushes a server over
//   domain.upper-cold-from, upper-cold                       slow start of a parent
//   domain.upper-kind, source-kind                           kinds that are parents, that are
//   origins domain.instances-by-zone     routers by location         domain.uncached      by class:
//   never cached domain.lifetime-by-class     by class: fresh time        domain.stale-for     by
//   class: stale grace time domain.purge-settles         purge propagation time
//   domain.stream-kb-per-s   rate of one transfer domain.merges-fills          fills can be joined
//   domain.straight      caches can be bypassed
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

// The client of the service discovery server. It watches for endpoint updates and purges, which the
// server sends as numbered events. After a reconnect, the watch continues after the last number
// that was applied. The client applies each event once and tolerates repeated and missing events.
// It is not thread-safe: use it from the event loop's thread only. Times are in microseconds.
//
// Protocol: after connecting, the client sends the line "watch NUMBER" with the number up to which
// it has applied all events. The server sends one event per line (see config/watch_event.h), and at
// least one line per second.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

#include "config/config.h"
#include "core/engine.h"
#include "discovery/endpoint_sink.h"
#include "discovery/watch_connections.h"

namespace alderspur::discovery {

/// Keeps a watch open, and passes endpoint updates to the sink and purges to the engine.
class DiscoveryClient {
 public:
  /// Applies the events in the configuration, then connects to its discovery server if the address
  /// is valid. All referenced objects must outlive the client.
  DiscoveryClient(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                  EndpointSink& sink, const config::Config& config);
  /// Applies the events in the reloaded configuration and moves the watch to its discovery server.
  /// The new watch continues after the last number that was applied. Returns false and changes
  /// nothing if the address of the discovery server is not valid.
  bool reconfigure(const config::Config& new_config);
  /// Releases the read buffers and the connections that were closed in this turn of the event loop.
  /// Call this at the end of each turn.
  void end_turn() { connections_.end_turn(); }

 private:
  void apply(const config::WatchEvent& event);
  void advance_applied(std::uint64_t number);
  void apply_endpoints(const config::WatchEvent& event);
  WatchConnections::Callbacks watch_callbacks();
  void check_gap();
  void on_line(std::string_view line);

  core::Deadlines& deadlines_;
  core::Engine& engine_;
  EndpointSink& sink_;
  const config::Config& config_;
  std::uint64_t applied_up_to_ = 0;  // all events up to this number were applied
  /// The numbers of events that were applied although an earlier event is missing.
  std::set<std::uint64_t> applied_beyond_gap_;
  /// An update that was applied to an endpoint.
  struct AppliedMember {
    std::uint64_t event_number = 0;
    config::Member member;
  };
  /// The last update that was applied to each endpoint, stored only while there is a gap.
  std::map<alderspur::ServerId, AppliedMember> applied_members_;
  std::uint64_t last_complete_list_ = 0;  // number of the last event with a complete list
  core::Time gap_since_ = 0;              // when an event was found to be missing; 0: no gap
  WatchConnections connections_;
};

}  // namespace alderspur::discovery

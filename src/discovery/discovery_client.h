// The client of the service discovery server: watches endpoint lists and purges. Events are
// numbered; the watch continues after the last number that was applied, applies each event once,
// and tolerates repeats and gaps. The loop's thread only; times are microseconds.
//
// The protocol: after connecting, the client sends the line "watch NUMBER" with the last number
// that it has applied; the server sends one event a line (see config/watch_event.h), and at least
// one line a second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "discovery/endpoint_sink.h"
#include "net/connection.h"

namespace alderspur::discovery {

/// The wait before the next connection to the discovery server, drawn from a generator that each
/// router seeds differently. When the server closes all its connections at once, all routers would
/// otherwise connect at the same moment, and again for as long as it refuses.
core::Time reconnect_delay(std::mt19937_64& random);

/// Keeps a watch open and passes on what it reports: endpoints to the sink, purges to the engine.
class DiscoveryClient {
 public:
  /// Applies the events in the configuration, then connects if it names a usable discovery server.
  /// What is passed by reference must outlive the client.
  DiscoveryClient(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                  EndpointSink& sink, const config::Config& config);
  /// Applies the events in the reloaded configuration and moves the watch to its discovery server,
  /// after the last number that was applied. False: it names no usable address, and nothing
  /// changes.
  bool reconfigure(const config::Config& renewed);
  /// To be called at the end of each turn of the loop: releases the read buffer and connections
  /// that were closed in it.
  void end_turn();

 private:
  void apply(const config::WatchEvent& event);
  void advance_applied(std::uint64_t number);
  void apply_endpoints(const config::WatchEvent& event);
  void connect();
  void reconnect_later();
  void close_connection();
  void check_liveness();
  std::ptrdiff_t on_data(std::string_view bytes);
  void on_line(std::string_view line);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  EndpointSink& sink_;
  const config::Config& config_;
  sockaddr_in address_{};
  std::unique_ptr<net::Connection> connection_;
  /// Destroyed at the end of the turn, since a callback of theirs may be running.
  std::vector<std::unique_ptr<net::Connection>> closed_connections_;
  std::uint64_t applied_up_to_ = 0;  // all events up to this number were applied
  std::set<std::uint64_t> applied_beyond_gap_;
  /// The last update of an endpoint.
  struct AppliedMember {
    std::uint64_t event_number = 0;
    config::Member member;
  };
  /// While there is a gap: the last update that was applied to each endpoint, and its event.
  std::map<alderspur::ServerId, AppliedMember> applied_members_;
  std::uint64_t last_complete_list_ = 0;  // the number of the event
  core::Time last_data_at_ = 0;
  core::Time gap_since_ = 0;  // 0: no gap
  std::optional<core::Deadlines::Key> reconnect_timer_;
  std::mt19937_64 random_;
};

}  // namespace alderspur::discovery

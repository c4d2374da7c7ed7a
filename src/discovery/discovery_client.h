// The watch on the service discovery server: endpoint lists and purges, asked for from the last
// event number held on, applied once each, tolerant of repeats and gaps. The loop's thread only;
// times are microseconds.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "net/connection.h"
#include "upstream/upstream_pool.h"

namespace alderspur::discovery {

/// Takes endpoint updates: straight to pool and engine, or by way of the cluster.
class EndpointSink {
 public:
  virtual ~EndpointSink() = default;
  /// `complete`: endpoints that are not among `members` are gone.
  virtual void update_endpoints(bool complete, const std::vector<config::Member>& members) = 0;
};

class DirectEndpointSink : public EndpointSink {
 public:
  DirectEndpointSink(upstream::UpstreamPool& upstream_pool, core::Engine& engine)
      : upstream_pool_(upstream_pool), engine_(engine) {}
  void update_endpoints(bool complete, const std::vector<config::Member>& members) override;

 private:
  upstream::UpstreamPool& upstream_pool_;
  core::Engine& engine_;
};

/// How long to wait before the next connection to the discovery server, drawn from the router's own
/// seed. When the server ends all its connections at once, the whole fleet would otherwise dial it
/// in one instant, and again for as long as it refuses.
core::Time reconnect_delay(std::mt19937_64& random);

class DiscoveryClient {
 public:
  DiscoveryClient(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                  EndpointSink& sink, const config::Config& config);
  /// The settings were read anew: applies the events in them and moves the watch to their discovery
  /// server, from the last number held on. False: they name no usable address, and nothing changes.
  bool reconfigure(const config::Config& renewed);
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
  /// Freed at the end of the turn: the callback of one may be running.
  std::vector<std::unique_ptr<net::Connection>> closed_connections_;
  std::uint64_t applied_up_to_ = 0;  // all numbers up to it have been applied
  std::set<std::uint64_t> applied_beyond_gap_;
  struct AppliedMember {
    std::uint64_t event_number = 0;
    config::Member member;
  };
  /// While there is a gap: the last that was applied of each endpoint, and by which event.
  std::map<alderspur::ServerId, AppliedMember> applied_members_;
  std::uint64_t last_complete_list_ = 0;  // the number of its event
  core::Time last_data_at_ = 0;
  core::Time gap_since_ = 0;  // 0: no gap
  std::optional<core::Deadlines::Key> reconnect_timer_;
  std::mt19937_64 random_;
};

}  // namespace alderspur::discovery

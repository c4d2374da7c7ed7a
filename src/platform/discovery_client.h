// The notice board: watched from the last number held on, applied in order, tolerant of repeats and
// gaps.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "net/connection.h"
#include "platform/upstream_pool.h"

namespace alderspur::platform {

// Who takes the board's news of servers: straight to connections and core, or through membership.
class EndpointSink {
 public:
  virtual ~EndpointSink() = default;
  virtual void update_endpoints(bool complete, const std::vector<config::Member>& members) = 0;
};
class DirectEndpointSink : public EndpointSink {
 public:
  DirectEndpointSink(UpstreamPool& caches, core::Engine& engine)
      : caches_(caches), engine_(engine) {}
  void update_endpoints(bool complete, const std::vector<config::Member>& members) override;

 private:
  UpstreamPool& caches_;
  core::Engine& engine_;
};

// How long to wait before the next connection to the board, in microseconds: a draw of the router's
// own seed. Danger: a board that ends all its connections at once would be dialled by the whole
// fleet in one instant, and as one again for as long as it refuses.
core::Time pause_before_dial(std::mt19937_64& random);

class DiscoveryClient {
 public:
  DiscoveryClient(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                  EndpointSink& sink, const config::Config& config);
  // The settings were read anew: what they know already is taken in, and the watch moves to their
  // board from the last number held on, whatever state the old connection is in. False: they name
  // no usable address, and the watch stays where it is.
  bool move(const config::Config& renewed);
  void end_turn();

 private:
  void apply(const config::Notice& notice);
  void tell(const config::Notice& notice);
  void connect();
  void try_again();
  void drop();
  void listen_for_life();
  std::ptrdiff_t take(std::string_view bytes);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  EndpointSink& sink_;
  const config::Config& config_;
  sockaddr_in address_{};
  std::unique_ptr<net::Connection> connection_;
  std::vector<std::unique_ptr<net::Connection>> graves_;
  std::uint64_t held_ = 0;         // all up to it have been applied
  std::set<std::uint64_t> ahead_;  // applied beyond a gap
  // While there is a gap: who was told of beyond it, by which event; and the last event with the
  // whole list.
  std::map<alderspur::ServerId, std::pair<std::uint64_t, config::Member>> told_;
  std::uint64_t whole_ = 0;
  core::Time heard_ = 0, gap_since_ = 0;
  std::optional<core::Deadlines::Key> waiting_;
  std::mt19937_64 random_;
};

}  // namespace alderspur::platform

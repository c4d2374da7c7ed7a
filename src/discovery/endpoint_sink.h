// The receivers of endpoint updates from service discovery. The loop's thread only.
#pragma once

#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "upstream/upstream_pool.h"

namespace alderspur::discovery {

/// Receives endpoint updates: directly for pool and engine, or by way of the cluster.
class EndpointSink {
 public:
  virtual ~EndpointSink() = default;
  /// Adds or updates `members`. With `is_complete`, all other endpoints are removed.
  virtual void update_endpoints(bool is_complete, const std::vector<config::Member>& members) = 0;
};

/// Passes updates straight to the upstream pool and the engine, both of which must outlive it.
class DirectEndpointSink : public EndpointSink {
 public:
  DirectEndpointSink(upstream::UpstreamPool& upstream_pool, core::Engine& engine)
      : upstream_pool_(upstream_pool), engine_(engine) {}
  void update_endpoints(bool is_complete, const std::vector<config::Member>& members) override;

 private:
  upstream::UpstreamPool& upstream_pool_;
  core::Engine& engine_;
};

}  // namespace alderspur::discovery

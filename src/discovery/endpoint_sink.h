// The interface through which service discovery passes on endpoint updates, and its direct
// implementation. Use it from the event loop's thread only.
#pragma once

#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "upstream/upstream_pool.h"

namespace alderspur::discovery {

/// Receives endpoint updates. Implementations apply them to the upstream pool and the engine,
/// either directly or after they have been shared with the cluster.
class EndpointSink {
 public:
  virtual ~EndpointSink() = default;
  /// Adds or updates the endpoints in `members`. If `is_complete` is true, removes all others.
  virtual void update_endpoints(bool is_complete, const std::vector<config::Member>& members) = 0;
};

/// Applies updates directly to the upstream pool and the engine. Both must outlive the sink.
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

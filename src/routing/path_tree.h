// An index of routes by path, one node a segment: the cost of a search grows with the path's length
// and with the captures on its way, not with the number of routes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config_language/path.h"

namespace alderspur::routing {

/// The index of a route in Table::routes.
using RouteIndex = std::uint32_t;

/// Immutable once all routes are inserted; then any thread may search.
class PathTree {
 public:
  /// Whether a route with a matching path also takes the request.
  using Accepts = std::function<bool(RouteIndex)>;

  PathTree();
  ~PathTree();
  PathTree(PathTree&&) noexcept;
  PathTree& operator=(PathTree&&) noexcept;

  /// Of routes with equal paths those with a higher priority come first, then the earlier ones.
  void insert(const config_language::Path& path, RouteIndex route, std::size_t priority);

  /// The first route that is accepted. Segment by segment from the left, a literal comes before a
  /// capture and a capture before the rest of the path.
  std::optional<RouteIndex> find(const std::vector<std::string_view>& segments,
                                 const Accepts& accepts) const;

 private:
  struct Node;

  std::unique_ptr<Node> root_;
};

}  // namespace alderspur::routing

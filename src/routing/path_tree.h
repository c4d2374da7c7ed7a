// Indexes routes by path in a tree with one node per segment. The cost of a search depends on the
// length of the path and on the number of captures along it, not on the number of routes.
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

/// The routes for one host pattern, or for any host. After all routes are inserted the tree is
/// immutable, and any thread may search it.
class PathTree {
 public:
  /// Reports whether a route with a matching path also accepts the rest of the request, such as its
  /// method.
  using RoutePredicate = std::function<bool(RouteIndex)>;

  PathTree();
  ~PathTree();
  PathTree(PathTree&&) noexcept;
  PathTree& operator=(PathTree&&) noexcept;

  /// Inserts a route. Among routes with equal paths, a higher priority comes first, and then the
  /// route that was inserted earlier.
  void insert(const config_language::Path& path, RouteIndex route, std::size_t priority);

  /// Returns the first matching route that `accepts` accepts. Segment by segment from the left, a
  /// literal comes before a capture, and a capture before `*`, which matches the rest of the path.
  std::optional<RouteIndex> find(const std::vector<std::string_view>& segments,
                                 const RoutePredicate& accepts) const;

 private:
  struct Node;

  std::unique_ptr<Node> root_;
};

}  // namespace alderspur::routing

#include "routing/path_tree.h"

#include <algorithm>

namespace alderspur::routing {
namespace {

/// A route in a node, with its priority among routes of the same path.
struct Entry {
  RouteIndex route = 0;
  std::size_t priority = 0;
};

/// Inserts the entry after all entries of the same or a higher priority.
void insert_by_priority(std::vector<Entry>& entries, const Entry& entry) {
  const auto position = std::find_if(entries.begin(), entries.end(), [&entry](const Entry& other) {
    return other.priority < entry.priority;
  });
  entries.insert(position, entry);
}

std::optional<RouteIndex> first_accepted(const std::vector<Entry>& entries,
                                         const PathTree::RoutePredicate& accepts) {
  for (const auto& entry : entries) {
    if (accepts(entry.route)) return entry.route;
  }
  return std::nullopt;
}

}  // namespace

struct PathTree::Node {
  std::unordered_map<std::string, std::unique_ptr<Node>> literals;
  std::unique_ptr<Node> capture;
  std::vector<Entry> ends;   // routes whose path ends here
  std::vector<Entry> rests;  // routes with `*`, which match the rest of the path

  std::optional<RouteIndex> find(const std::vector<std::string_view>& segments, std::size_t depth,
                                 const RoutePredicate& accepts) const;
};

std::optional<RouteIndex> PathTree::Node::find(const std::vector<std::string_view>& segments,
                                               std::size_t depth,
                                               const RoutePredicate& accepts) const {
  if (depth == segments.size()) return first_accepted(ends, accepts);
  const std::string_view segment = segments[depth];
  if (!literals.empty()) {
    const auto it = literals.find(std::string(segment));
    if (it != literals.end()) {
      if (const auto route = it->second->find(segments, depth + 1, accepts)) return route;
    }
  }
  // A capture does not match an empty segment: "/a/" does not match "/a/{x}".
  if (capture && !segment.empty()) {
    if (const auto route = capture->find(segments, depth + 1, accepts)) return route;
  }
  return first_accepted(rests, accepts);
}

PathTree::PathTree() : root_(std::make_unique<Node>()) {}
PathTree::~PathTree() = default;
PathTree::PathTree(PathTree&&) noexcept = default;
PathTree& PathTree::operator=(PathTree&&) noexcept = default;

void PathTree::insert(const config_language::Path& path, RouteIndex route, std::size_t priority) {
  using Kind = config_language::Segment::Kind;
  Node* node = root_.get();
  for (const auto& segment : path) {
    if (segment.kind == Kind::rest) {
      insert_by_priority(node->rests, {route, priority});
      return;
    }
    auto& next = segment.kind == Kind::capture ? node->capture : node->literals[segment.text];
    if (!next) next = std::make_unique<Node>();
    node = next.get();
  }
  insert_by_priority(node->ends, {route, priority});
}

std::optional<RouteIndex> PathTree::find(const std::vector<std::string_view>& segments,
                                         const RoutePredicate& accepts) const {
  return root_->find(segments, 0, accepts);
}

}  // namespace alderspur::routing

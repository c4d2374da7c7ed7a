#include "routing/route.h"

#include "core/parsing.h"
#include "estimators/hash.h"

namespace alderspur::routing {
namespace {

/// Maps the 53 highest bits, which a double represents exactly, to a number in [0, 1).
double to_fraction(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

}  // namespace

bool host_matches(std::string_view pattern, std::string_view host) {
  if (!pattern.starts_with("*.")) return pattern == host;
  const std::string_view suffix = pattern.substr(1);
  return host.size() > suffix.size() && host.ends_with(suffix);
}

std::optional<std::size_t> select_split(const Route& route, std::uint64_t hash) {
  if (route.splits.empty()) return std::nullopt;
  // The hash is mixed with the route's name, so that splits of different routes do not select the
  // same users.
  const std::uint64_t seed = core::stable_hash(route.name);
  const double position = to_fraction(estimators::finalize_bits(hash ^ seed));
  double end = 0;
  for (std::size_t i = 0; i < route.splits.size(); ++i) {
    end += route.splits[i].fraction;
    if (position < end) return i;
  }
  return std::nullopt;
}

}  // namespace alderspur::routing

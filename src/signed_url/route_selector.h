// The interface through which the signed-URL front matches requests against a route table, if one
// is active. It is called on the thread of the event loop only. Times are in microseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "core/engine.h"
#include "http/message.h"

namespace alderspur::signed_url {

/// The capacity that a request has reserved within the limits of its route. It is created when the
/// route is matched, and it keeps the route table that was active at that time alive.
class LimitReservation {
 public:
  virtual ~LimitReservation() = default;

  /// Returns the reserved capacity. The front calls it once, when the response has been received or
  /// the client has disconnected.
  virtual void release(core::Time now) = 0;
};

/// The route of a request, and the object and the part that its path identifies.
struct RouteMatch {
  std::uint32_t class_id = 0;  // the request class of the route
  std::string_view object;     // a slice of the request's path
  std::string_view part;       // a slice of the request's path, or a constant
  core::Time time_limit = 0;
  std::unique_ptr<LimitReservation> reservation;  // null if no limits apply
};

/// The result of admitting a request to its route.
struct Admission {
  bool is_admitted = true;
  core::Time retry_after = 0;  // positive if the request is rejected
};

/// Matches requests against a route table and enforces the limits of the routes.
class RouteSelector {
 public:
  virtual ~RouteSelector() = default;

  /// Returns the route of a request, or nullopt if none matches. `path` and `query` are the two
  /// parts of the request's target.
  virtual std::optional<RouteMatch> match(const http::Request& request, std::string_view path,
                                          std::string_view query) = 0;

  /// Reserves capacity for a request whose route match() returned. The front calls it after it has
  /// verified the signature, so that forged requests do not use up capacity.
  virtual Admission admit(RouteMatch& match, core::Time now) = 0;
};

}  // namespace alderspur::signed_url

// The interface by which the signed-URL front learns what a request is for, where a table of routes
// is active. Called on the loop's thread only; times are microseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "core/engine.h"
#include "http/message.h"

namespace alderspur::signed_url {

/// What a request has reserved within the limits of its route. It exists from the match on, and
/// keeps the table of routes under which the request began.
class LimitReservation {
 public:
  virtual ~LimitReservation() = default;

  /// To be called once, when the request has its response or its client has left.
  virtual void release(core::Time now) = 0;
};

/// What a request is for.
struct RouteMatch {
  std::uint32_t class_id = 0;
  std::string_view object;  // a slice of the request's path
  std::string_view part;    // a slice of the request's path, or a constant
  core::Time time_limit = 0;
  std::unique_ptr<LimitReservation> reservation;  // null: no limits apply
};

/// Whether a request is within the limits of its route.
struct Admission {
  bool is_admitted = true;
  core::Time retry_after = 0;  // of a rejected request, over 0
};

class RouteSelector {
 public:
  virtual ~RouteSelector() = default;

  /// The route of a request; nothing where none matches. `path` and `query` are those of its
  /// target.
  virtual std::optional<RouteMatch> match(const http::Request& request, std::string_view path,
                                          std::string_view query) = 0;

  /// Reserves capacity for a request that match() returned. To be called once its signature has
  /// been verified, so that forged requests use up no capacity.
  virtual Admission admit(RouteMatch& match, core::Time now) = 0;
};

}  // namespace alderspur::signed_url

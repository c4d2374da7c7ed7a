// Who tells the signed front what a request is for, where a table of routes is in force.
//
// find() names class, object and part; admit() is asked after the token was checked, so that a
// forged link takes no room from anybody; the Hold is kept until the request's one answer, and
// keeps the table that it began under. The loop's thread only.
#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "core/engine.h"
#include "http/message.h"

namespace alderspur::signed_url {

class Hold {
 public:
  virtual ~Hold() = default;
  virtual void end(core::Time now) = 0;  // the request has its answer, or its client has left
};
struct Found {
  std::uint32_t cls = 0;
  std::string_view object, part;  // slices of the request's path
  core::Time limit = 0;
  std::unique_ptr<Hold> hold;
};
class RouteSelector {
 public:
  virtual ~RouteSelector() = default;
  virtual std::optional<Found> find(const http::Request& request, std::string_view path,
                                    std::string_view query) = 0;
  // 0, or after which time to come back.
  virtual core::Time admit(Found& found, core::Time now) = 0;
};

}  // namespace alderspur::signed_url

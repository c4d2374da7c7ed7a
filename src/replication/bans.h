// Bans by hand that all routers keep: a mergeable set. No I/O, no clock.
//
// A ban is a dot of its own with the server, a cause and the time by its author's clock, which is
// only shown. A lift takes away the bans that its router has seen, and no others: so of a ban and a
// lift made at two sides of a cut the ban holds, until a lift that has seen it. What was taken away
// is known by the context, without tombstones: a dot that was seen and is not there has been
// lifted. join() is commutative, associative and idempotent; the difference that a change makes is
// a small set of the same kind.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"
#include "replication/causal.h"

namespace alderspur::replication {

using core::Time;
constexpr std::size_t kBansMost = 1024, kWordMost = 64, kCauseMost = 120;

struct Ban {
  std::string server, cause;
  Time at = 0;
  bool operator==(const Ban&) const = default;
};

class Bans {
 public:
  // Each gives what is to be told to others, or nothing where nothing changes. ban(): nothing as
  // well where the server is banned by this author already, or the bound is reached.
  Bans ban(const Author& by, Ban what);
  Bans lift(std::string_view server);
  void join(const Bans& o);

  bool banned(std::string_view server) const { return counts_.contains(server); }
  std::vector<std::string> servers() const;
  const std::map<Dot, Ban>& held() const { return held_; }
  const Context& context() const { return context_; }
  bool empty() const {
    return held_.empty() && context_.upto().empty() && context_.cloud().empty();
  }
  // Sums of all that is held and seen: two copies of one sum are the same, but for chance.
  std::uint64_t digest() const;
  bool operator==(const Bans& o) const { return held_ == o.held_ && context_ == o.context_; }

  std::string encode() const;
  static bool decode(std::string_view bytes, Bans& into);  // false: unreadable or beyond the bounds

 private:
  void hold(const Dot& dot, const Ban& ban);
  void drop(std::map<Dot, Ban>::iterator it);
  std::map<Dot, Ban> held_;
  std::map<std::string, std::size_t, std::less<>> counts_;  // of held_, by server
  Context context_;
};

}  // namespace alderspur::replication

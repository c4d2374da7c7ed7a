// Operators' bans that all routers share: a mergeable set (an observed-remove set with delta
// states). No I/O, no clock; not thread-safe.
//
// A ban is a dot of its own with the server, a cause and the time by its author's clock, which is
// only displayed. A lift removes the bans that its router has seen, and no others: of a ban and a
// lift made concurrently on two sides of a partition the ban holds, until a lift that has seen it.
// Removals need no tombstones: a dot that the context has seen and that is not in the set has been
// lifted. join() is commutative, associative and idempotent; a change is described by a small set
// of the same type, the delta.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"
#include "replication/causal_context.h"

namespace alderspur::replication {

using core::Time;

constexpr std::size_t kMaxBans = 1024;
constexpr std::size_t kMaxServerName = 64;        // characters
constexpr std::size_t kMaxCause = 120;            // characters
constexpr std::size_t kMaxEncodedBans = 1 << 20;  // bytes

struct Ban {
  std::string server;
  std::string cause;
  Time at = 0;  // Unix time in microseconds, by the author's clock
  bool operator==(const Ban&) const = default;
};

class BanSet {
 public:
  /// Adds a ban and returns the delta for the other copies. Nothing changes, and the delta is
  /// empty, where `author` has banned the server already or kMaxBans is reached.
  BanSet add(const Author& author, const Ban& ban);
  /// Whether add() can take one more ban of this author.
  bool has_room_for(const Author& author) const;
  /// Removes all bans of the server that this copy holds and returns the delta for the others.
  BanSet lift(std::string_view server);
  /// Merges another copy, or a delta, into this one.
  void join(const BanSet& other);

  bool is_banned(std::string_view server) const { return bans_by_server_.contains(server); }
  /// Sorted, each server once.
  std::vector<std::string> banned_servers() const;
  /// The latest time of a ban; 0: there is none.
  Time latest_time() const;
  const std::map<Dot, Ban>& bans() const { return bans_; }
  const CausalContext& context() const { return context_; }
  bool empty() const { return bans_.empty() && context_.empty(); }
  /// Of all that is held and seen: copies with the same digest are the same, but for collisions.
  std::uint64_t digest() const;
  bool operator==(const BanSet& other) const {
    return bans_ == other.bans_ && context_ == other.context_;
  }

  /// The form on the wire and on disk; it must not change.
  std::string encode() const;
  /// Empty where the bytes are not of this form, or exceed the bounds.
  static std::optional<BanSet> decode(std::string_view bytes);

 private:
  void insert(const Dot& dot, const Ban& ban);
  std::map<Dot, Ban>::iterator erase(std::map<Dot, Ban>::iterator position);
  void remove_bans_lifted_in(const BanSet& other);

  std::map<Dot, Ban> bans_;
  std::map<std::string, std::size_t, std::less<>> bans_by_server_;  // how many of bans_
  CausalContext context_;
};

}  // namespace alderspur::replication

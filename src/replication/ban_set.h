// The set of operators' bans that all routers of a cluster share. It is a replicated data type: an
// observed-remove set with delta states. It does no I/O, reads no clock and is not thread-safe.
//
// Each ban has a dot (see causal_context.h) and contains the server, a cause and the time by its
// author's clock, which is for display only. A lift removes the bans of a server that the lifting
// router has received, and no others. If a ban and a lift are made concurrently on two sides of a
// partition, the ban remains until it is lifted by a router that has received it. Removals need no
// tombstones: a ban was lifted if its dot is in the causal context but not in the set. join() is
// commutative, associative and idempotent. A change is described by a delta, a small set of the
// same type.
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
constexpr std::size_t kMaxServerName = 64;        // bytes
constexpr std::size_t kMaxCause = 120;            // bytes
constexpr std::size_t kMaxEncodedBans = 1 << 20;  // bytes

/// An operator's ban of a server.
struct Ban {
  std::string server;
  std::string cause;
  Time at = 0;  // Unix time in microseconds, by the author's clock
  bool operator==(const Ban&) const = default;
};

/// One copy of the shared set of bans, or a delta.
class BanSet {
 public:
  /// Adds a ban and returns the delta for the other copies. Changes nothing and returns an empty
  /// delta if `author` has already banned the server, or if has_room_for() returns false.
  BanSet add(const Author& author, const Ban& ban);
  /// Reports whether another ban of this author can be added: the set has fewer than kMaxBans bans,
  /// and the causal context has capacity for the author.
  bool has_room_for(const Author& author) const;
  /// Removes all bans of the server from this copy and returns the delta for the other copies.
  BanSet lift(std::string_view server);
  /// Merges another copy or a delta into this copy.
  void join(const BanSet& other);

  bool is_banned(std::string_view server) const { return bans_by_server_.contains(server); }
  /// Returns the banned servers in sorted order, without duplicates.
  std::vector<std::string> banned_servers() const;
  /// Returns the latest time of any ban, or 0 if there is no ban.
  Time latest_time() const;
  const std::map<Dot, Ban>& bans() const { return bans_; }
  const CausalContext& context() const { return context_; }
  bool empty() const { return bans_.empty() && context_.empty(); }
  /// Returns a digest of the bans and the causal context. Copies with the same digest are equal,
  /// except for hash collisions.
  std::uint64_t digest() const;
  bool operator==(const BanSet& other) const {
    return bans_ == other.bans_ && context_ == other.context_;
  }

  /// Returns the form used on the wire and on disk. This format must not change.
  std::string encode() const;
  /// Returns nothing if the bytes are not a valid encoded set or exceed a limit.
  static std::optional<BanSet> decode(std::string_view bytes);

 private:
  void insert(const Dot& dot, const Ban& ban);
  std::map<Dot, Ban>::iterator erase(std::map<Dot, Ban>::iterator position);
  void remove_bans_lifted_in(const BanSet& other);

  std::map<Dot, Ban> bans_;
  std::map<std::string, std::size_t, std::less<>> bans_by_server_;  // number of bans per server
  CausalContext context_;
};

}  // namespace alderspur::replication

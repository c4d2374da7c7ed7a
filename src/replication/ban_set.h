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
//
// A copy remembers its last own change and continues the author of that change, so that the causal
// context does not grow with each start of a router. This memory is not part of the shared state:
// it is neither joined nor encoded nor compared.
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

namespace alderspur::msgpack_codec {
class Reader;
class Writer;
}  // namespace alderspur::msgpack_codec

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
  /// Adds a ban with next_dot() and returns the delta for the other copies. Changes nothing and
  /// returns an empty delta if this author has already banned the server, or if has_room_for()
  /// returns false.
  BanSet add(const Author& author, const Ban& ban);
  /// Returns the dot of the next own change. Its author is that of the last own change if the two
  /// have the same name and no copy knows of a later change of it; otherwise it is `author`.
  Dot next_dot(const Author& author) const;
  /// Adds a change with this dot, which was not received before, and returns its delta. Without a
  /// ban, the change counts as lifted.
  BanSet add_change(const Dot& dot, const std::optional<Ban>& ban);
  /// Reports whether a change of `author` has banned the server and was not lifted.
  bool is_banned_by(const Author& author, std::string_view server) const;
  /// Reports whether another ban can be added with next_dot(): the set has fewer than kMaxBans
  /// bans, and the causal context has capacity for the author.
  bool has_room_for(const Author& author) const;
  /// Removes all bans of the server from this copy and returns the delta for the other copies.
  BanSet lift(std::string_view server);
  /// Merges another copy or a delta into this copy.
  void join(const BanSet& other);

  /// The last change that was made at this copy, if it may be continued.
  const std::optional<Dot>& last_own_change() const { return last_own_change_; }
  void set_last_own_change(const std::optional<Dot>& dot) { last_own_change_ = dot; }

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

  /// Returns the form used on the wire. This format must not change.
  std::string encode() const;
  /// Returns nothing if the bytes are not a valid encoded set or exceed a limit.
  static std::optional<BanSet> decode(std::string_view bytes);

  /// The number of elements that write() appends.
  static constexpr std::size_t kElements = 3;
  /// Appends the elements of the encoded set, without the header of their array.
  void write(msgpack_codec::Writer& writer) const;
  /// Reads the elements that write() appends. Sets the reader's error if they are not valid or
  /// exceed a limit; the result is then unusable.
  static BanSet read(msgpack_codec::Reader& reader);

 private:
  void insert(const Dot& dot, const Ban& ban);
  std::map<Dot, Ban>::iterator erase(std::map<Dot, Ban>::iterator position);
  void remove_bans_lifted_in(const BanSet& other);

  std::map<Dot, Ban> bans_;
  std::map<std::string, std::size_t, std::less<>> bans_by_server_;  // number of bans per server
  CausalContext context_;
  std::optional<Dot> last_own_change_;
};

}  // namespace alderspur::replication

// Records which changes a copy has received, independent of clocks. Each change is identified by a
// dot: its author and the author's sequence number. A causal context is the set of received dots.
// See Almeida, Shoker, Baquero: Delta State Replicated Data Types (2018). The class does no I/O,
// reads no clock and is not thread-safe.
//
// An author is a router, identified by name and an epoch, so a router that has lost its disk never
// reuses a dot. A router that is certain of all dots of an earlier author may continue that author
// (see stored_bans.h); otherwise it becomes a new author. Limits: kMaxAuthors authors and
// kMaxDetachedDots dots beyond a gap. A dot that exceeds a limit is refused; it can be received
// again with a full copy.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <string>

namespace alderspur::replication {

constexpr std::size_t kMaxAuthors = 4096;
constexpr std::size_t kMaxDetachedDots = 4096;

/// One router, from one of its starts until it can no longer continue its sequence of dots.
struct Author {
  std::string name;
  std::uint64_t epoch = 0;
  auto operator<=>(const Author&) const = default;
};

/// Identifies one change.
struct Dot {
  Author author;
  std::uint64_t sequence = 0;  // assigned by the author, starting at 1
  auto operator<=>(const Dot&) const = default;
};

/// The set of received dots. For each author it stores the sequence number up to which all dots
/// were received, and the dots beyond a gap one by one.
class CausalContext {
 public:
  bool contains(const Dot& dot) const {
    return dot.sequence <= last_contiguous(dot.author) || detached_.contains(dot);
  }

  /// Adds a dot. Returns false and changes nothing if a limit would be exceeded.
  bool add(const Dot& dot) {
    if (contains(dot)) return true;
    if (!has_room_for(dot.author)) return false;
    const bool is_next = dot.sequence == last_contiguous(dot.author) + 1;
    if (!is_next && detached_.size() >= kMaxDetachedDots) return false;
    detached_.insert(dot);
    absorb_detached(dot.author, contiguous_[dot.author]);
    return true;
  }

  /// Adds all dots of `other`. Returns false if some were left out because of a limit.
  bool join(const CausalContext& other) {
    bool is_complete = true;
    for (const auto& [author, last] : other.contiguous_) {
      if (has_room_for(author)) {
        add_up_to(author, last);
      } else {
        is_complete = false;
      }
    }
    for (const auto& dot : other.detached_) is_complete = add(dot) && is_complete;
    return is_complete;
  }

  /// Reports whether the next change of this author can be added.
  bool has_room_for(const Author& author) const {
    return contiguous_.size() < kMaxAuthors || contiguous_.contains(author);
  }

  /// Adds all dots of `author` up to and including `sequence`, regardless of the limits.
  void add_up_to(const Author& author, std::uint64_t sequence) {
    std::uint64_t& last = contiguous_[author];
    last = std::max(last, sequence);
    detached_.erase(detached_.lower_bound({author, 0}), detached_.upper_bound({author, last}));
    absorb_detached(author, last);
  }

  /// Returns the sequence number up to which all dots of `author` were received; 0 if none was.
  std::uint64_t last_contiguous(const Author& author) const {
    const auto found = contiguous_.find(author);
    return found == contiguous_.end() ? 0 : found->second;
  }

  /// Returns the highest sequence number of a received dot of `author`, also beyond a gap; 0 if
  /// none was received.
  std::uint64_t last_received(const Author& author) const {
    const auto next = detached_.upper_bound({author, std::numeric_limits<std::uint64_t>::max()});
    const bool has_detached = next != detached_.begin() && std::prev(next)->author == author;
    return has_detached ? std::prev(next)->sequence : last_contiguous(author);
  }

  const std::map<Author, std::uint64_t>& contiguous() const { return contiguous_; }
  /// Returns the dots received beyond a gap in their author's sequence.
  const std::set<Dot>& detached() const { return detached_; }
  bool empty() const { return contiguous_.empty() && detached_.empty(); }
  bool operator==(const CausalContext&) const = default;

 private:
  // Removes from detached_ the dots that follow `last` without a gap, and advances `last`.
  void absorb_detached(const Author& author, std::uint64_t& last) {
    auto next = detached_.find({author, last + 1});
    while (next != detached_.end() && next->author == author && next->sequence == last + 1) {
      ++last;
      next = detached_.erase(next);
    }
  }

  std::map<Author, std::uint64_t> contiguous_;  // the last sequence number before a gap
  std::set<Dot> detached_;
};

}  // namespace alderspur::replication

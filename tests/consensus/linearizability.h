// Judges what clients saw of a register that is changed by compare-and-set: of versions, whose
// number in force is the register. An operation has the time of its call and of its answer; the
// search is that of Wing and Gong (1993): is there an order of single moments, each within its
// operation, that explains all answers?
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace linearizability {

using Timestamp = std::int64_t;
constexpr Timestamp kNoResponse = std::numeric_limits<Timestamp>::max();

struct Operation {
  enum class Kind { read, change } kind = Kind::read;
  Timestamp called_at = 0,
            answered_at =
                kNoResponse;  // kNever: no answer; it may have happened at any time, or not
  std::uint64_t base = 0;     // of a change
  std::uint64_t number = 0;  // what was read, or what the change became; 0 of one without an answer
  bool is_rejected = false;  // a change that was refused: it did not happen
};

inline std::string describe(const std::vector<Operation>& all) {
  std::string out;
  for (const auto& o : all)
    out += (o.kind == Operation::Kind::read ? "read "
                                            : "change from " + std::to_string(o.base) + " to ") +
           std::to_string(o.number) + (o.is_rejected ? " refused" : "") + " [" +
           std::to_string(o.called_at / 1000) + ", " +
           (o.answered_at == kNoResponse ? "-" : std::to_string(o.answered_at / 1000)) + "] ms\n";
  return out;
}

class LinearizabilitySearch {
 public:
  explicit LinearizabilitySearch(std::vector<Operation> all) : all_(std::move(all)) {
    std::erase_if(all_, [](const Operation& o) { return o.is_rejected; });
    done_.resize(all_.size());
  }
  bool is_linearizable(std::uint64_t at = 0) {
    Timestamp first_end = kNoResponse;  // nothing that was called after this may come next
    bool left = false;
    for (std::size_t i = 0; i < all_.size(); ++i)
      if (!done_[i] && all_[i].answered_at != kNoResponse)
        left = true, first_end = std::min(first_end, all_[i].answered_at);
    if (!left) return true;  // those without an answer need not have happened
    if (!seen_.insert({done_, at}).second) return false;
    for (std::size_t i = 0; i < all_.size(); ++i) {
      const Operation& o = all_[i];
      if (done_[i] || o.called_at > first_end) continue;
      if (o.kind == Operation::Kind::read ? o.number != at : o.base != at) continue;
      // What a change without an answer became is told by whoever read it: any number above.
      std::vector<std::uint64_t> to{o.number};
      if (o.kind == Operation::Kind::read)
        to = {at};
      else if (o.answered_at == kNoResponse)
        to = later(at);
      for (const auto next : to) {
        done_[i] = true;
        if (is_linearizable(next)) return true;
        done_[i] = false;
      }
    }
    return false;
  }

 private:
  std::vector<std::uint64_t> later(std::uint64_t at) const {
    std::set<std::uint64_t> out;
    for (const auto& o : all_) {
      if (o.kind == Operation::Kind::read && o.number > at) out.insert(o.number);
      if (o.kind == Operation::Kind::change && o.base > at) out.insert(o.base);
    }
    return {out.begin(), out.end()};
  }
  std::vector<Operation> all_;
  std::vector<bool> done_;
  std::set<std::pair<std::vector<bool>, std::uint64_t>> seen_;
};

inline bool is_linearizable(const std::vector<Operation>& all) {
  return LinearizabilitySearch(all).is_linearizable();
}

}  // namespace linearizability

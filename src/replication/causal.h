// Which changes a copy has seen, whatever the clocks say: each change has a dot of its own, an
// author and his count; a context is the set of dots seen. No I/O, no clock. After Almeida, Shoker,
// Baquero: Delta State Replicated Data Types (2018).
//
// An author is one start of one router: name and epoch. So a router that lost its disk never gives
// a dot twice. Bounds: kAuthorsMost authors and kCloudMost dots out of order; what is beyond is
// refused, and comes again with a whole copy.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace alderspur::replication {

constexpr std::size_t kAuthorsMost = 4096, kCloudMost = 4096;

using Author = std::pair<std::string, std::uint64_t>;  // name, epoch
struct Dot {
  Author by;
  std::uint64_t count = 0;  // from 1
  auto operator<=>(const Dot&) const = default;
};

class Context {
 public:
  bool has(const Dot& d) const {
    const auto it = upto_.find(d.by);
    return (it != upto_.end() && d.count <= it->second) || cloud_.contains(d);
  }
  // False, and nothing changes, where a bound would be passed.
  bool add(const Dot& d) {
    if (has(d)) return true;
    if (!upto_.contains(d.by) && upto_.size() >= kAuthorsMost) return false;
    std::uint64_t& upto = upto_[d.by];
    if (d.count != upto + 1 && cloud_.size() >= kCloudMost) return false;
    cloud_.insert(d);
    settle(d.by, upto);
    return true;
  }
  bool join(const Context& o) {
    bool all = true;
    for (const auto& [by, count] : o.upto_) {
      if (!upto_.contains(by) && upto_.size() >= kAuthorsMost) {
        all = false;
        continue;
      }
      std::uint64_t& upto = upto_[by];
      upto = std::max(upto, count);
      cloud_.erase(cloud_.lower_bound({by, 0}), cloud_.upper_bound({by, upto}));
      settle(by, upto);
    }
    for (const auto& d : o.cloud_) all = add(d) && all;
    return all;
  }
  void raise(const Author& by, std::uint64_t count) {  // as join() with a context of that alone
    std::uint64_t& upto = upto_[by];
    upto = std::max(upto, count);
    settle(by, upto);
  }
  std::uint64_t last(const Author& by) const {
    const auto it = upto_.find(by);
    return it == upto_.end() ? 0 : it->second;
  }
  const std::map<Author, std::uint64_t>& upto() const { return upto_; }
  const std::set<Dot>& cloud() const { return cloud_; }
  bool operator==(const Context&) const = default;

 private:
  void settle(const Author& by, std::uint64_t& upto) {
    for (auto it = cloud_.find({by, upto + 1});
         it != cloud_.end() && it->by == by && it->count == upto + 1;) {
      ++upto;
      it = cloud_.erase(it);
    }
  }
  std::map<Author, std::uint64_t> upto_;  // all of an author's up to here
  std::set<Dot> cloud_;                   // those beyond a gap
};

}  // namespace alderspur::replication

// Connections that are being closed in order (lingering close): our side has ended or ends once all
// is written, and what the peer still sends is thrown away until it has ended too.
//
// Each is bounded in time (kLingerTime, microseconds) and bytes (kLingerBytes), all of them in
// number; beyond it the oldest is cut off. They hold descriptors: whoever has a budget of
// connections counts size() in it. The loop's thread only.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::net {

class Connection;
constexpr core::Time kLingerTime = 1'000'000;
constexpr std::size_t kLingeringMost = 256;

class Lingering {
 public:
  explicit Lingering(core::Deadlines& deadlines);
  ~Lingering();
  // At the end of a turn: slices of its buffer are over.
  void take(std::unique_ptr<Connection> connection);
  bool cut_oldest();  // false: there is none
  // Cuts the oldest off until one more connection fits beside `others` into `most`; false: they
  // fill it.
  bool fit(std::size_t others, std::size_t most);
  std::size_t size() const { return all_.size() - ended_.size(); }
  void end_turn();  // lets go of those that have ended

 private:
  struct One {
    std::unique_ptr<Connection> connection;
    core::Deadlines::Key until{};
    bool ended = false;
  };
  using Place = std::list<One>::iterator;
  void end(Place place);

  core::Deadlines& deadlines_;
  std::list<One> all_;  // the oldest first
  std::vector<Place> ended_;
};

}  // namespace alderspur::net

// Connections that are being closed in order (lingering close): this side has ended or ends once
// all is written, and what the peer still sends is discarded until it has ended too.
//
// Each is bounded in time (kLingerTime, microseconds) and bytes (kLingerBytes), all of them in
// number; beyond it the oldest is closed at once. They hold descriptors: owners of a budget of
// connections count size() in it. The loop's thread only.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::net {

class Connection;
constexpr core::Time kLingerTime = 1'000'000;
constexpr std::size_t kMaxLingering = 256;

class Lingering {
 public:
  explicit Lingering(core::Deadlines& deadlines);
  ~Lingering();
  /// Only at the end of a turn, when slices of its buffer are no longer used.
  void take(std::unique_ptr<Connection> connection);
  /// Closes the oldest at once; false: there is none.
  bool cut_oldest();
  /// Closes the oldest until one more connection fits beside `others` into `limit`; false: the
  /// others fill it.
  bool fit(std::size_t others, std::size_t limit);
  std::size_t size() const { return entries_.size() - ended_.size(); }
  /// Destroys those that have ended.
  void end_turn();

 private:
  struct Entry {
    std::unique_ptr<Connection> connection;
    core::Deadlines::Key timeout{};
    bool has_ended = false;
  };
  using Position = std::list<Entry>::iterator;
  void end(Position position);

  core::Deadlines& deadlines_;
  std::list<Entry> entries_;  // the oldest first
  std::vector<Position> ended_;
};

}  // namespace alderspur::net

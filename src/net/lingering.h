// Connections in a lingering close: this side ends once everything is written, and input is
// discarded until the peer has ended too.
//
// Each is bounded in time (kMaxLingerTime, microseconds) and bytes (kMaxLingerBytes), and their
// number by kMaxLingering, beyond which the oldest is closed at once. They hold descriptors: owners
// with a limit on connections count size() towards it. The loop's thread only.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::net {

class Connection;

constexpr core::Time kMaxLingerTime = 1'000'000;
constexpr std::size_t kMaxLingering = 256;

/// Owns the connections until they have ended.
class Lingering {
 public:
  explicit Lingering(core::Deadlines& deadlines);
  ~Lingering();
  /// Starts a lingering close. To be called at the end of a turn, when slices of the connection's
  /// buffer are no longer in use.
  void add(std::unique_ptr<Connection> connection);
  /// Closes the oldest connection at once; false: there is none.
  bool close_oldest();
  /// Closes the oldest connections until one more fits into `limit` beside `others`; false: the
  /// others alone reach the limit.
  bool make_room(std::size_t others, std::size_t limit);
  /// Connections that have not ended.
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

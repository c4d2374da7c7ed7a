// Owns connections during a lingering close, which sends the queued bytes, shuts down the sending
// side and then discards input until the peer has closed its sending side too.
//
// A lingering close takes at most kMaxLingerTime and discards at most kMaxLingerBytes of input. If
// there are more than kMaxLingering connections, the oldest is closed immediately. Each connection
// uses a descriptor, so owners with a limit on connections count size() towards that limit. Used on
// the event loop's thread only.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::net {

class Connection;

/// The maximum duration of a lingering close, in microseconds.
constexpr core::Time kMaxLingerTime = 1'000'000;
/// The maximum number of connections in a lingering close.
constexpr std::size_t kMaxLingering = 256;

/// Owns connections in a lingering close until they have ended. An instance belongs to a Loop.
class Lingering {
 public:
  explicit Lingering(core::Deadlines& deadlines);
  ~Lingering();
  /// Takes ownership of a connection and starts its lingering close. Does nothing if the connection
  /// is null or closed. Must be called at the end of a turn, when views of the connection's read
  /// buffer are no longer in use.
  void add(std::unique_ptr<Connection> connection);
  /// Closes the oldest connection immediately. Returns false if there is none.
  bool close_oldest();
  /// Closes the oldest connections until the number of connections, including `others`, is below
  /// `limit`. Returns false if the number of `others` alone reaches the limit.
  bool make_room(std::size_t others, std::size_t limit);
  /// Returns the number of connections that have not ended.
  std::size_t size() const { return entries_.size() - ended_.size(); }
  /// Destroys the connections that have ended. Called by the loop at the end of each turn.
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
  std::list<Entry> entries_;  // oldest first
  std::vector<Position> ended_;
};

}  // namespace alderspur::net

// The connections of the watch on the service discovery server. Normally there is one. A server
// that answers late cannot be told apart from a connection that is dead: the first must be waited
// for, the second given up. So a new watch that is not answered within a short time stays open, and
// another one is opened beside it. The first that is answered is used, and the others are closed.
// Use it from the event loop's thread only. Times are in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "core/deadlines.h"
#include "net/connection.h"

namespace alderspur::discovery {

/// Returns a random delay, in microseconds, before the next connection to the discovery server.
/// Each router must seed `random` differently. Without the random delay, all routers would
/// reconnect at the same moment after the server closes its connections, and again after each
/// refused connect.
core::Time reconnect_delay(std::mt19937_64& random);

/// Opens watches on the discovery server and passes on the lines that it sends.
class WatchConnections {
 public:
  /// Functions of the owner. All of them must be set.
  struct Callbacks {
    std::function<core::Time()> now;
    /// Returns the number of the last event that was applied, from which a new watch continues.
    std::function<std::uint64_t()> last_event_number;
    /// Receives each line without its line break.
    std::function<void(std::string_view line)> on_line;
    /// Called with the bytes of a line that is too long, whose watch is then closed.
    std::function<void(std::string_view bytes)> on_overlong_line;
  };

  WatchConnections(net::Loop& loop, core::Deadlines& deadlines, std::uint64_t seed,
                   Callbacks callbacks);
  /// Closes all watches and opens one on the server with this address.
  void watch(const sockaddr_in& address);
  /// Opens another watch beside the one in use, which it replaces once it is answered. Does nothing
  /// if a new watch is already waiting for its answer.
  void watch_again();
  /// Releases the read buffers and the connections that were closed in this turn of the event loop.
  /// Call this at the end of each turn.
  void end_turn();

 private:
  /// One connection to the server.
  struct Watch {
    std::unique_ptr<net::Connection> connection;
    core::Time opened_at = 0;
    core::Time last_data_at = 0;
    bool is_answered = false;  // the server has sent a line on it
  };

  void open_watch();
  void open_later();
  void close(Watch& watch);
  void close_all_except(const Watch* remaining);
  void make_room();
  void on_closed(Watch& watch);
  std::ptrdiff_t on_data(Watch& watch, std::string_view bytes);
  void check_silence();
  Watch* answered_watch();
  bool is_waiting_for_answer() const;

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  Callbacks callbacks_;
  sockaddr_in address_{};
  std::vector<std::unique_ptr<Watch>> watches_;  // oldest first; at most one is answered
  /// Destroyed at the end of the turn, since one of their callbacks may be running.
  std::vector<std::unique_ptr<Watch>> closed_watches_;
  std::optional<core::Deadlines::Key> open_timer_;
  core::Time patience_;
  bool checks_silence_ = false;  // check_silence() is scheduled
  std::mt19937_64 random_;
};

}  // namespace alderspur::discovery

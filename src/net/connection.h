// A TCP connection on the event loop: a read buffer whose slices stay valid until the turn ends, a
// write queue, and counts of the bytes queued and written. The loop's thread only; times are
// microseconds.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/deadlines.h"
#include "net/address.h"
#include "net/loop.h"

namespace alderspur::net {

/// Why a connection was closed other than by its owner.
enum class CloseReason {
  by_peer,     // end of input
  reset,       // an error in reading or writing
  refused,     // the connect has failed
  unreadable,  // the handler could not parse the input
};
/// A lingering close discards at most this much input.
constexpr std::size_t kMaxLingerBytes = 1 << 20;

/// Owns a connected or connecting socket.
class Connection {
 public:
  /// The owner's callbacks.
  struct Handler {
    /// Consumes input from the front of the bytes; returns the number of bytes consumed, or -1 if
    /// they cannot be parsed.
    std::function<std::ptrdiff_t(std::string_view)> on_data;
    /// Called when bytes have left the write queue, or the connect has succeeded.
    std::function<void()> on_written;
    /// Called once, at the end; the owner destroys the connection after the turn. After
    /// `unreadable` nothing more is read, but what was written can still be sent by linger().
    std::function<void(CloseReason)> on_close;
    /// If set, the connection can still be written to after on_close(by_peer).
    bool allows_half_close = false;
  };
  /// Takes over a connected socket, or one that is connecting.
  Connection(Loop& loop, Fd fd, bool is_connecting, Handler handler);

  /// Sends all parts in one call if the queue is empty; only what the socket does not accept is
  /// copied into the queue.
  void write(std::string_view head, std::string_view body = {}, std::string_view tail = {});
  /// Discards the consumed input. Slices that were passed to on_data must no longer be used.
  void end_turn();
  /// Passes the input that was not consumed to on_data again; true if some of it was consumed.
  bool reoffer_unread();
  /// Closes at once, without on_close: unsent bytes are discarded, and unread input resets the
  /// connection.
  void close();
  /// Lingering close: ends this side once everything is written, and discards input, at most
  /// kMaxLingerBytes, until the peer has ended too. No handler is called any more; `on_end` is
  /// called once, never from within this call. Closing with unread input would reset the connection
  /// and discard what the peer has not read yet.
  void linger(std::function<void()> on_end);

  /// Whether input has arrived that was not read from the socket yet.
  bool has_input_waiting() const;
  /// Whether the peer has ended its side; input from before may not have been read yet.
  bool peer_ended() const;
  bool connecting() const { return is_connecting_; }
  bool closed() const { return is_closed_; }
  /// Bytes in the write queue.
  std::size_t unwritten() const { return queue_.size() - queue_position_; }
  /// Bytes of input that were not consumed, such as those of an incomplete message.
  std::size_t unread() const { return buffered_bytes_ - consumed_bytes_; }
  /// Bytes passed to write() since the connection was made.
  std::uint64_t queued_total() const { return queued_total_; }
  /// Those of them that the socket has accepted.
  std::uint64_t written_total() const { return queued_total_ - unwritten(); }
  /// Unix time of the last input; 0: there was none.
  core::Time last_read_at() const { return last_read_at_; }

 private:
  void on_ready(int events);
  void on_connected();
  void read();
  void flush();
  void fail(CloseReason reason);
  void update_watcher();
  void end_own_side();
  void discard_input();

  Fd fd_;
  Handler handler_;
  bool is_connecting_;
  bool is_closed_ = false;
  bool has_input_ended_ = false;
  bool is_unreadable_ = false;
  bool is_lingering_ = false;
  bool has_own_side_ended_ = false;  // while lingering
  std::size_t discarded_bytes_ = 0;
  std::function<void()> on_linger_end_;
  std::string buffer_;
  std::size_t buffered_bytes_ = 0;
  std::size_t consumed_bytes_ = 0;  // of those, in this turn
  std::string queue_;
  std::size_t queue_position_ = 0;
  std::uint64_t queued_total_ = 0;
  core::Time last_read_at_ = 0;
  std::unique_ptr<IoWatcher> watcher_;
};

/// Starts to connect. Null if there is no free descriptor or the connect fails at once. `source`:
/// the address to connect from, if it can be bound; null: any.
std::unique_ptr<Connection> connect(Loop& loop, const sockaddr_in& address,
                                    Connection::Handler handler,
                                    const sockaddr_in* source = nullptr);

}  // namespace alderspur::net

// A TCP connection on the event loop. It has a read buffer, whose contents stay valid until the
// turn of the loop ends, a write queue, and counts of the bytes queued and written. The memory of
// both is bounded by a multiple of the bytes in them and a constant. Used on the loop's thread
// only. Times are in microseconds.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "core/deadlines.h"
#include "net/address.h"
#include "net/buffer_account.h"
#include "net/loop.h"
#include "net/read_buffer.h"
#include "net/send_queue.h"

namespace alderspur::net {

/// The reason for the end of a connection that its owner did not close.
enum class CloseReason {
  by_peer,     // the peer has closed its sending side
  reset,       // reading or writing has failed
  refused,     // the connection could not be established
  unreadable,  // the handler could not parse the input
};
/// The maximum number of input bytes that are discarded. Beyond it, a lingering close ends, and
/// another connection is no longer read.
constexpr std::size_t kMaxLingerBytes = 1 << 20;

/// Owns a socket that is connected or connecting.
class Connection {
 public:
  /// The owner's callbacks.
  struct Handler {
    /// Receives all input that is not consumed yet. Returns the number of bytes that it has
    /// consumed from the front, or -1 if the input cannot be parsed.
    std::function<std::ptrdiff_t(std::string_view)> on_data;
    /// Called when bytes have left the write queue, and when the connection is established.
    std::function<void()> on_written;
    /// Called when the connection ends other than by close() or linger(). After `unreadable` and
    /// after a half-close the connection can still be written to, and a second call reports if it
    /// ends later. After any other reason the owner destroys the connection after the turn.
    std::function<void(CloseReason)> on_close;
    /// If true, the connection can still be written to after on_close(by_peer).
    bool allows_half_close = false;
  };
  /// Takes ownership of a socket that is connected, or connecting if `is_connecting` is true.
  Connection(Loop& loop, Fd fd, bool is_connecting, Handler handler);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends the parts in this order. If the queue is empty, tries to send them in one system call
  /// and copies only the bytes that the socket does not accept into the queue.
  void write(std::string_view head, std::string_view body = {}, std::string_view tail = {});
  /// Discards the consumed input. Views passed to on_data are invalid afterwards.
  void end_turn();
  /// Passes the input that was not consumed to on_data again. Returns whether any of it was
  /// consumed.
  bool reoffer_unread();
  /// Discards the input that was not consumed, and all input that follows. on_data is no longer
  /// called; on_close still is.
  void stop_parsing();
  /// Stops or continues to read from the socket. While reading is paused, the kernel holds the peer
  /// back, and the end of its input goes unnoticed.
  void pause_reading(bool is_paused);
  /// Closes the connection immediately and does not call on_close. Discards unsent bytes. If input
  /// is unread, the kernel resets the connection.
  void close();
  /// Starts a lingering close: shuts down the sending side once the queue is written, and discards
  /// up to kMaxLingerBytes of input until the peer has closed its sending side too. Without this, a
  /// close with unread input would reset the connection, and the peer would lose the bytes that it
  /// has not read yet. The handler's functions are no longer called. Calls `on_end` once, never
  /// from within this function.
  void linger(std::function<void()> on_end);

  /// Returns whether the kernel holds input that was not read from the socket yet.
  bool has_input_waiting() const;
  /// Returns whether the peer has closed its sending side. Earlier input may still be unread.
  bool peer_ended() const;
  /// Returns whether the connection is not established yet.
  bool connecting() const { return is_connecting_; }
  /// Returns whether the socket is closed.
  bool closed() const { return is_closed_; }
  /// Returns the number of bytes in the write queue.
  std::size_t unwritten() const { return send_queue_.size(); }
  /// Returns the number of input bytes that were read but not consumed, for example those of an
  /// incomplete message.
  std::size_t unread() const { return read_buffer_.unread().size() - consumed_bytes_; }
  /// Returns the memory of the write queue and the read buffer, in bytes.
  std::size_t held_bytes() const { return send_queue_.held_bytes() + read_buffer_.held_bytes(); }
  /// Returns the total number of input bytes that were moved within the read buffer.
  std::uint64_t moved_total() const { return read_buffer_.moved_total(); }
  /// Returns the total number of bytes passed to write().
  std::uint64_t queued_total() const { return queued_total_; }
  /// Returns the total number of bytes that the socket has accepted.
  std::uint64_t written_total() const { return queued_total_ - unwritten(); }
  /// Returns how many of the bytes that the socket has accepted the peer has not acknowledged.
  std::size_t unacknowledged() const;
  /// Returns the Unix time of the last input, or 0 if there was none.
  core::Time last_read_at() const { return last_read_at_; }

 private:
  void on_ready(int events);
  void on_connected();
  void read();
  void flush();
  void fail(CloseReason reason);
  void update_watcher();
  void shut_down_sending();
  void discard_input();
  bool discards_input() const { return is_lingering_ || has_stopped_parsing_; }
  ssize_t send(std::span<iovec> parts);
  void update_account();

  Fd fd_;
  Handler handler_;
  bool is_connecting_;
  bool is_closed_ = false;
  bool has_input_ended_ = false;
  bool is_reading_paused_ = false;
  bool has_stopped_parsing_ = false;
  bool is_lingering_ = false;
  bool has_shut_down_sending_ = false;  // only set while lingering
  std::size_t discarded_bytes_ = 0;
  std::function<void()> on_linger_end_;
  ReadBuffer read_buffer_;
  std::size_t consumed_bytes_ = 0;  // of the read buffer, in this turn
  SendQueue send_queue_;
  std::uint64_t queued_total_ = 0;
  BufferAccount& account_;   // of the loop
  BufferAccount accounted_;  // this connection's share of it
  core::Time last_read_at_ = 0;
  std::unique_ptr<IoWatcher> watcher_;
};

/// Starts to connect to `address`. Returns null if no descriptor is free or the attempt fails
/// immediately. Connects from `source` if it is not null and can be bound, otherwise from any local
/// address.
std::unique_ptr<Connection> connect(Loop& loop, const sockaddr_in& address,
                                    Connection::Handler handler,
                                    const sockaddr_in* source = nullptr);

}  // namespace alderspur::net

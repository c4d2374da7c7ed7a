// A TCP connection on the loop: a read buffer whose slices live until the turn ends, a write queue,
// and counts of bytes queued and written. The loop's thread only; times are microseconds.
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

/// Why a connection ended from outside.
enum class Closed {
  by_peer,
  reset,
  refused,     // a connect that failed
  unreadable,  // the handler could not read what came
};
/// A lingering close discards at most so many bytes of the peer's.
constexpr std::size_t kLingerBytes = 1 << 20;

class Connection {
 public:
  struct Handler {
    /// Takes what it can from the front of the bytes; returns how many it has consumed, or -1 if
    /// they are unreadable.
    std::function<std::ptrdiff_t(std::string_view)> on_data;
    /// Something left the write queue, or the connect succeeded.
    std::function<void()> on_written;
    /// Once, at the end; the owner destroys the connection after the turn. Unreadable: nothing more
    /// is read, but what was written may still leave, by linger().
    std::function<void(Closed)> on_close;
    /// At the end of input on_close(by_peer) is called, but writing may go on.
    bool half_close = false;
  };
  Connection(Loop& loop, Fd fd, bool is_connecting, Handler handler);

  /// Sends all parts in one go if the queue is empty; only what the socket does not take is copied.
  void write(std::string_view head, std::string_view body = {}, std::string_view tail = {});
  /// The slices that were handed out are no longer used.
  void end_turn();
  /// Offers what was left to on_data once more; true if some of it was consumed.
  bool reoffer_unread();
  /// Closes at once: unsent bytes are dropped, unread ones reset the connection. No on_close.
  void close();
  /// Lingering close: this side ends once all is written; what still comes is discarded, at most
  /// kLingerBytes of it, until the peer has ended too. No handler is called any more; `on_end`
  /// once, never from within this call. A close over unread bytes would reset the connection, and
  /// drop what the peer has yet to read.
  void linger(std::function<void()> on_end);

  /// Bytes have arrived that were not read from the socket yet.
  bool arrived() const;
  /// The peer has ended its side, though what it wrote before may not be read yet.
  bool peer_ended() const;
  bool connecting() const { return is_connecting_; }
  bool closed() const { return is_closed_; }
  std::size_t unwritten() const { return queue_.size() - queue_position_; }
  /// Bytes of a message that is not whole yet.
  std::size_t unread() const { return buffered_bytes_ - consumed_bytes_; }
  std::uint64_t queued_total() const { return queued_total_; }
  std::uint64_t written_total() const { return queued_total_ - unwritten(); }
  /// Unix time at which bytes last came; 0: none have.
  core::Time last_read_at() const { return last_read_at_; }

 private:
  void on_ready(int events);
  void on_connected();
  void read();
  void flush();
  void fail(Closed reason);
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

/// Null if no descriptor is to be had or the address refuses at once (`*refused`, if given, tells
/// which). `source`: the address to connect from, where it can be had.
std::unique_ptr<Connection> connect(Loop& loop, const sockaddr_in& address,
                                    Connection::Handler handler, bool* refused = nullptr,
                                    const sockaddr_in* source = nullptr);

}  // namespace alderspur::net

// Injects network faults between processes on the loopback interface. In front of each process
// there is a proxy, here called a gate. Each process advertises the address of its gate to the
// other processes. The gates forward datagrams and connections, and apply the fault that is set for
// the ordered pair of sender and receiver.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "net/connection.h"

namespace rig {

namespace net = alderspur::net;
using alderspur::core::Time;

constexpr Time kSecond = 1'000'000;
constexpr std::size_t kDatagramBuffer = 8192;     // bytes
constexpr std::size_t kConnectionBuffer = 65536;  // bytes
constexpr std::size_t kMaxRecordedDatagrams = 400;
constexpr std::size_t kChunksPerSecond = 50;  // reads per second on a link with a limited rate
constexpr Time kLateDelay = 900'000;          // microseconds; of the datagram that is to be late

/// The faults in one direction between two processes. Times are in microseconds.
struct Fault {
  bool cut = false;        // datagrams are lost and connections are closed
  bool stall = false;      // datagrams are lost; connections stay open and transmit nothing
  unsigned loss = 0;       // percentage of datagrams that are lost
  unsigned corrupt = 0;    // percentage of datagrams, or chunks of connections, with a changed byte
  unsigned duplicate = 0;  // percentage of datagrams that are delivered twice
  Time delay = 0;          // delay of datagrams
  Time jitter = 0;         // random time below this value that is added to the delay
  std::size_t rate = 0;    // bytes per second on connections; 0 if not limited
};

/// Returns the address of the process, or of the gate, with this index.
using AddressOf = std::function<sockaddr_in(std::size_t index)>;

/// The gates of all processes. All work is done in step(), on the caller's thread.
class FaultyLinks {
 public:
  /// A recorded datagram and the index of the process that it was sent to.
  struct Datagram {
    std::size_t to = 0;
    std::string bytes;
  };

  /// `index_of` returns the index of the process that an address belongs to.
  FaultyLinks(std::size_t count, std::uint64_t seed, const AddressOf& gate_address,
              AddressOf process_address, std::function<std::size_t(const sockaddr_in&)> index_of)
      : random_(seed),
        process_address_(std::move(process_address)),
        index_of_(std::move(index_of)) {
    for (std::size_t i = 0; i < count; ++i) {
      gates_.push_back(std::make_unique<Gate>(gate_address(i)));
    }
  }

  /// Returns the faults in the direction from one process to another, which the caller may change.
  Fault& way(std::size_t from, std::size_t to) { return faults_[{from, to}]; }
  /// Counts the datagrams of all gates from now on, and loses the datagram number `lost` and delays
  /// the datagram number `late`.
  void lose_one_and_delay_one(std::uint64_t lost, std::uint64_t late) {
    datagram_count_ = 0;
    lost_datagram_ = lost;
    late_datagram_ = late;
  }
  /// Returns the most recent datagrams that arrived at any gate.
  const std::vector<Datagram>& recorded() const { return recorded_; }
  /// Sends a datagram to a process from its own gate.
  void inject(std::size_t to, const std::string& bytes) {
    gates_[to]->send(process_address_(to), bytes);
  }

  /// Forwards everything that can be forwarded now.
  void step() {
    for (std::size_t to = 0; to < gates_.size(); ++to) {
      receive_datagrams(to);
      accept_connections(to);
    }
    send_delayed();
    std::erase_if(connections_, [this](Connection& connection) { return !transmit(connection); });
  }

 private:
  class Gate {
   public:
    explicit Gate(const sockaddr_in& address)
        : udp_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
          tcp_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
      const int on = 1;
      ::setsockopt(tcp_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      const auto* generic = reinterpret_cast<const sockaddr*>(&address);
      EXPECT_EQ(::bind(udp_.get(), generic, sizeof address), 0);
      EXPECT_EQ(::bind(tcp_.get(), generic, sizeof address), 0);
      ::listen(tcp_.get(), 64);
    }
    void send(const sockaddr_in& to, const std::string& bytes) const {
      (void)!::sendto(udp_.get(), bytes.data(), bytes.size(), 0,
                      reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }
    int udp() const { return udp_.get(); }
    int tcp() const { return tcp_.get(); }

   private:
    net::Fd udp_;
    net::Fd tcp_;
  };
  struct Side {
    net::Fd socket;
    Time next_at = 0;  // when the next bytes may be read, if a rate is set
  };
  struct Connection {
    std::size_t from = 0;
    std::size_t to = 0;
    std::array<Side, 2> sides;  // the initiator's side, the accepting side
  };
  struct Delayed {
    Time due_at = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
  };

  bool draw_percent(unsigned percent) { return random_() % 100 < percent; }

  void receive_datagrams(std::size_t to) {
    std::array<char, kDatagramBuffer> buffer{};
    while (true) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t received = ::recvfrom(gates_[to]->udp(), buffer.data(), buffer.size(), 0,
                                          reinterpret_cast<sockaddr*>(&from), &size);
      if (received < 0) return;
      forward(index_of_(from), to, {buffer.data(), static_cast<std::size_t>(received)});
    }
  }
  void forward(std::size_t from, std::size_t to, std::string bytes) {
    if (from >= gates_.size()) return;
    const Fault& fault = faults_[{from, to}];
    record(to, bytes);
    const std::uint64_t number = datagram_count_++;
    if (number == lost_datagram_ || fault.cut || fault.stall || draw_percent(fault.loss)) return;
    if (number == late_datagram_) {
      delayed_.push_back({net::unix_now() + kLateDelay, from, to, std::move(bytes)});
      return;
    }
    if (draw_percent(fault.corrupt)) {
      char& byte = bytes[random_() % bytes.size()];
      byte = static_cast<char>(byte ^ static_cast<char>(1 + random_() % 255));
    }
    const Time delay = fault.delay + jitter_of(fault);
    const int copies = draw_percent(fault.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (delay > 0) {
        delayed_.push_back({net::unix_now() + delay, from, to, bytes});
      } else {
        gates_[from]->send(process_address_(to), bytes);
      }
    }
  }
  Time jitter_of(const Fault& fault) {
    if (fault.jitter == 0) return 0;
    return static_cast<Time>(random_() % static_cast<std::uint64_t>(fault.jitter));
  }
  void record(std::size_t to, const std::string& bytes) {
    recorded_.push_back({to, bytes});
    if (recorded_.size() > kMaxRecordedDatagrams) {
      const auto half = static_cast<std::ptrdiff_t>(kMaxRecordedDatagrams / 2);
      recorded_.erase(recorded_.begin(), recorded_.begin() + half);
    }
  }
  void send_delayed() {
    const Time now = net::unix_now();
    for (std::size_t i = 0; i < delayed_.size();) {
      if (delayed_[i].due_at > now) {
        ++i;
        continue;
      }
      gates_[delayed_[i].from]->send(process_address_(delayed_[i].to), delayed_[i].bytes);
      if (i + 1 < delayed_.size()) delayed_[i] = std::move(delayed_.back());
      delayed_.pop_back();
    }
  }

  void accept_connections(std::size_t to) {
    while (true) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      net::Fd accepted(::accept4(gates_[to]->tcp(), reinterpret_cast<sockaddr*>(&from), &size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (accepted.get() < 0) return;
      connect_through(std::move(accepted), index_of_(from), to);
    }
  }
  void connect_through(net::Fd accepted, std::size_t from, std::size_t to) {
    net::Fd onward(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = process_address_(to);
    if (from >= gates_.size() || faults_[{from, to}].cut) return;
    if (::connect(onward.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
      return;
    }
    ::fcntl(onward.get(), F_SETFL, O_NONBLOCK);
    Connection connection;
    connection.from = from;
    connection.to = to;
    connection.sides[0].socket = std::move(accepted);
    connection.sides[1].socket = std::move(onward);
    connections_.push_back(std::move(connection));
  }
  // Forwards bytes in both directions. Returns false if the connection must be closed.
  bool transmit(Connection& connection) {
    const Fault& forth = faults_[{connection.from, connection.to}];
    const Fault& back = faults_[{connection.to, connection.from}];
    const bool is_open_forth = transmit(connection.sides[0], connection.sides[1], forth);
    const bool is_open_back = transmit(connection.sides[1], connection.sides[0], back);
    return is_open_forth && is_open_back;
  }
  bool transmit(Side& from, const Side& to, const Fault& fault) {
    if (fault.cut) return false;
    if (fault.stall) return true;
    const Time now = net::unix_now();
    if (fault.rate > 0 && now < from.next_at) return true;
    std::array<char, kConnectionBuffer> buffer{};
    const std::size_t limit =
        fault.rate > 0 ? std::clamp<std::size_t>(fault.rate / kChunksPerSecond, 1, buffer.size())
                       : buffer.size();
    const ssize_t received = ::recv(from.socket.get(), buffer.data(), limit, 0);
    if (received == 0) return false;
    if (received < 0) return errno == EAGAIN;
    if (fault.rate > 0) {
      from.next_at = now + received * kSecond / static_cast<Time>(fault.rate);
    }
    const auto size = static_cast<std::size_t>(received);
    if (draw_percent(fault.corrupt)) corrupt_one_byte(buffer[random_() % size]);
    send_all(to.socket.get(), buffer.data(), size);
    return true;
  }
  static void corrupt_one_byte(char& byte) { byte = static_cast<char>(byte ^ 0x40); }
  static void send_all(int socket, const char* bytes, std::size_t size) {
    for (std::size_t sent = 0; sent < size;) {
      const ssize_t count = ::send(socket, bytes + sent, size - sent, MSG_NOSIGNAL);
      if (count >= 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno == EAGAIN) {
        ::usleep(200);
      } else {
        return;
      }
    }
  }

  std::mt19937_64 random_;
  AddressOf process_address_;
  std::function<std::size_t(const sockaddr_in&)> index_of_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::map<std::pair<std::size_t, std::size_t>, Fault> faults_;  // by sender and receiver
  std::vector<Delayed> delayed_;
  std::vector<Datagram> recorded_;
  std::vector<Connection> connections_;
  std::uint64_t datagram_count_ = 0;
  std::uint64_t lost_datagram_ = ~0ULL;
  std::uint64_t late_datagram_ = ~0ULL;
};

}  // namespace rig

// Membership on the wire: UDP for probes and rumours, TCP for whole pictures, on one address. Thin:
// what a message means is Membership's; what it is wrapped in is Seal's.
//
// An exchange of pictures, each frame with its length before it (32 bits, big-endian):
//   the called one draws a number and says it; the caller says its picture with that number, and
//   one it has drawn; the called one says its own with the caller's number, and ends.
//
// A channel carries frames from one member to another, for what builds on membership: on the same
// address, opened by Hello in place of a picture, one for each direction, kept open while it is
// used. Frames come in order or not at all: whoever does not read, or whose link stalls for
// kStalled, loses what waits for it, and holds nobody else's channel. The frames of a channel are
// sealed under a number of its own.
//
// Bounds: datagrams of kDatagramMost and kAtOnce of them a turn; kExchangesMost connections with
// kExchangeTime each and a frame of kPictureMost. A member that floods or reads nothing costs the
// others nothing. One thread: the loop's. What cannot be used is told once in ten seconds a kind.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/codec.h"
#include "cluster/membership.h"
#include "cluster/seal.h"
#include "net/connection.h"
#include "net/loop.h"

namespace alderspur::cluster {

constexpr std::size_t kAtOnce = 64, kExchangesMost = 16, kChannelsMost = 1024;
constexpr std::size_t kFrameMost = 4 << 20, kWaitingMost = 6 << 20, kFramesWaiting = 512;
constexpr Time kExchangeTime = 3'000'000, kStalled = 3'000'000, kUnused = 30'000'000,
               kRedial = 200'000;

struct TransportSettings {
  std::string cluster, secret, listen;
  std::string advertise;  // where others find us; empty: where we listen
  std::vector<std::string> seeds;
  MembershipSettings membership;
};
struct TransportCounters {
  std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0, exchanges = 0,
                dropped = 0;
  std::uint64_t frames_in = 0, frames_out = 0, frames_lost = 0;
};

class ClusterTransport {
 public:
  struct Hooks {
    std::function<void(const Changed&)> changed;
    std::function<void(const Conflict&)> conflict;
    std::function<void(const Superseded&)> superseded;
    std::function<void(const char* kind, const std::string& from)> dropped;      // a bounded line
    std::function<void(const std::string& from, std::string_view frame)> frame;  // of a channel
  };
  // Throws std::runtime_error where the address is not to be had. With port 0 the identity gets the
  // one given.
  ClusterTransport(net::Loop& loop, core::Deadlines& deadlines, std::function<Time()> now,
                   const TransportSettings& settings, Identity self, std::uint64_t seed,
                   Hooks hooks);
  ~ClusterTransport();
  void end_turn();
  void leave();  // in order: said to the others; done() once it has been
  bool done() const { return left_; }
  // On the channel to that member; lost where it is not known or its link does not move.
  void send_frame(const std::string& to, std::string_view frame);
  const Membership& membership() const { return *membership_; }
  const TransportCounters& counts() const { return counts_; }
  sockaddr_in address() const { return listener_->address(); }

 private:
  struct Peer;
  void receive();
  void handle(const Event& event);
  void carry_out(Action& action);
  void send(const std::string& address, const Message& message);
  void call(const std::string& address);
  void accept(net::Fd fd);
  net::Connection::Handler handler(Peer& peer);
  Peer& keep(std::unique_ptr<Peer> peer);
  std::ptrdiff_t take(Peer& peer, std::string_view bytes);
  bool frame(Peer& peer, std::string_view payload);
  void say(Peer& peer, const MembershipSnapshot& picture);
  void drop(Peer& peer);
  void touch(Peer& peer);
  bool channels_full() const { return peers_.size() - exchanges_ >= kChannelsMost; }
  Peer* channel(const std::string& to);
  bool open(Peer& peer, std::string_view payload);
  bool answer(Peer& peer, std::uint64_t asked);
  void write(Peer& peer, std::string_view sealed);
  void watch(Peer& peer);
  void look_at(Peer& peer);
  void drop(const char* kind, const std::string& from);
  void arm();

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  std::function<Time()> now_;
  Seal seal_;
  std::mt19937_64 random_;
  Hooks hooks_;
  std::unique_ptr<Membership> membership_;
  net::Fd udp_;
  sockaddr_in source_{};  // of our calls: whoever is called can tell who calls
  std::unique_ptr<net::IoWatcher> watcher_;
  std::unique_ptr<net::Listener> listener_;
  std::map<Peer*, std::unique_ptr<Peer>> peers_;
  std::size_t exchanges_ = 0;                      // of those; the others are channels
  std::map<std::string, Peer*, std::less<>> out_;  // channels that we opened, by member
  std::map<std::string, Time, std::less<>> dialled_;
  std::vector<Peer*> touched_;
  Seal frames_seal_;
  std::optional<core::Deadlines::Key> due_;
  std::map<std::string, Time> told_;  // kinds of what was dropped: not again before
  bool left_ = false;
  TransportCounters counts_;
};

}  // namespace alderspur::cluster

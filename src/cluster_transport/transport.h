// The transport of the cluster membership: UDP for probes and gossip, TCP for full state exchanges
// and channels, on one address. What a message means is up to Membership; FrameAuthenticator
// protects all of it.
//
// Every frame on a connection has its length before it (32 bits, big-endian).
//
// A full state exchange: the called side draws a nonce and sends it in an empty snapshot; the
// caller sends its snapshot with that nonce echoed and one of its own; the called side sends its
// snapshot with the caller's nonce echoed; the caller closes.
//
// A channel carries frames from one member to another, for what builds on membership: a connection
// to the same address, opened by a Handshake in place of a snapshot, one for each direction, kept
// open while it is used. Frames arrive in order or not at all: a member that does not read, or
// whose connection makes no progress for kStallTimeout, loses what waits for it, and delays no
// other channel. The frames of a channel have a sender id of their own.
//
// Bounds: datagrams of kMaxDatagramBytes bytes and kMaxDatagramsPerTurn of them a turn of the loop;
// kMaxExchanges exchanges of kExchangeTimeout each and frames of kMaxSnapshotFrameBytes;
// kMaxChannels channels. One thread: the loop's. What cannot be used is dropped, counted and
// reported once in ten seconds a kind.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/codec.h"
#include "cluster/frame_authenticator.h"
#include "cluster/membership.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/loop.h"

namespace alderspur::cluster_transport {

using core::Time;

constexpr std::size_t kMaxDatagramsPerTurn = 64;
constexpr std::size_t kMaxExchanges = 16;
constexpr std::size_t kMaxChannels = 1024;
constexpr std::size_t kMaxChannelFrame = 4 << 20;  // bytes
constexpr std::size_t kMaxWaitingBytes = 6 << 20;  // of one channel
constexpr std::size_t kMaxWaitingFrames = 512;     // of a channel that is not open yet
constexpr Time kExchangeTimeout = 3'000'000;       // microseconds, as all times here
constexpr Time kStallTimeout = 3'000'000;
constexpr Time kIdleTimeout = 30'000'000;    // then an unused channel is closed
constexpr Time kReconnectBackoff = 200'000;  // between two connects to one member

struct TransportSettings {
  std::string cluster;  // its name
  std::string secret;
  std::string listen;
  std::string advertise;  // where others reach us; empty: where we listen
  std::vector<std::string> seeds;
  cluster::MembershipSettings membership;
};

struct TransportCounters {
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t exchanges = 0;  // completed
  std::uint64_t dropped = 0;    // datagrams and frames
  std::uint64_t frames_in = 0;  // of channels, as the following
  std::uint64_t frames_out = 0;
  std::uint64_t frames_lost = 0;
};

class ClusterTransport {
 public:
  /// Called on the loop's thread.
  struct Hooks {
    std::function<void(const cluster::MemberChanged&)> on_member_changed;
    std::function<void(const cluster::NameConflict&)> on_name_conflict;
    std::function<void(const cluster::Superseded&)> on_superseded;
    /// What was dropped and whose; limited in rate.
    std::function<void(const char* kind, const std::string& from)> on_dropped;
    /// A frame of a channel.
    std::function<void(const std::string& from, std::string_view frame)> on_frame;
  };

  /// Throws std::runtime_error where the address cannot be used. With port 0 the identity gets the
  /// port that was assigned. `now` gives Unix time in microseconds.
  ClusterTransport(net::Loop& loop, core::Deadlines& deadlines, std::function<Time()> now,
                   const TransportSettings& settings, cluster::Identity self, std::uint64_t seed,
                   Hooks hooks);
  ~ClusterTransport();

  /// Writes what the turn of the loop has produced and closes what is done.
  void end_turn();
  /// Tells the others that we leave; has_left() once that is done.
  void leave();
  bool has_left() const { return has_left_; }
  /// On the channel to that member; lost where the member is unknown or its channel is full.
  void send_frame(const std::string& to, std::string_view frame);
  const cluster::Membership& membership() const { return *membership_; }
  const TransportCounters& counters() const { return counters_; }
  sockaddr_in address() const { return listener_->address(); }

 private:
  struct Peer;

  // Membership and datagrams (transport.cpp)
  void open_udp_socket(const sockaddr_in& address);
  void handle(const cluster::Event& event);
  void carry_out(const cluster::Action& action);
  void schedule_tick();
  void send_datagram(const std::string& address, const cluster::Message& message);
  void receive_datagrams();
  void handle_datagram(std::string_view datagram, const std::string& from);
  void report_dropped(const char* kind, const std::string& from);

  // Connections and full state exchanges (exchanges.cpp)
  net::Connection::Handler handler_for(Peer& peer);
  Peer& add_exchange(std::unique_ptr<Peer> peer);
  void accept(net::Fd fd);
  void begin_exchange(const std::string& address);
  void send_snapshot(Peer& peer, std::uint64_t echoed_nonce,
                     std::vector<cluster::GossipUpdate> members);
  std::ptrdiff_t read_frame(Peer& peer, std::string_view bytes);
  const char* handle_frame(Peer& peer, std::string_view frame);
  bool handle_exchange_frame(Peer& peer, std::string_view payload);
  void write_frame(Peer& peer, std::string_view frame);
  void close(Peer& peer);
  void mark_touched(Peer& peer);
  void finish_writes(Peer& peer);
  void remove(Peer& peer);

  // Channels (channels.cpp)
  std::size_t channel_count() const { return peers_.size() - exchange_count_; }
  bool has_max_channels() const { return channel_count() >= kMaxChannels; }
  Peer* channel_to(const std::string& member);
  Peer* open_channel(const std::string& member, const std::string& address);
  bool accept_channel(Peer& peer, std::string_view payload);
  bool send_handshake(Peer& peer, std::uint64_t nonce);
  void schedule_progress_check(Peer& peer);
  void check_progress(Peer& peer);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  std::function<Time()> now_;
  cluster::FrameAuthenticator authenticator_;  // of datagrams and exchanges
  std::mt19937_64 random_;
  Hooks hooks_;
  std::unique_ptr<cluster::Membership> membership_;
  net::Fd udp_socket_;
  sockaddr_in source_address_{};  // of our connects: the called side can tell who calls
  std::unique_ptr<net::IoWatcher> udp_watcher_;
  std::unique_ptr<net::Listener> listener_;
  std::map<Peer*, std::unique_ptr<Peer>> peers_;
  std::size_t exchange_count_ = 0;  // of peers_; the others are channels
  std::map<std::string, Peer*, std::less<>> outgoing_channels_;  // by member
  std::map<std::string, Time, std::less<>> last_connect_at_;     // by member
  std::vector<Peer*> touched_peers_;                             // in this turn
  cluster::FrameAuthenticator channel_authenticator_;            // of incoming channels
  std::optional<core::Deadlines::Key> tick_;
  std::map<std::string, Time> report_dropped_after_;  // by kind
  bool has_left_ = false;
  TransportCounters counters_;
};

}  // namespace alderspur::cluster_transport

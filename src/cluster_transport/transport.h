// The network transport of the cluster membership. It uses UDP for probes and gossip, and TCP for
// full state exchanges and channels, on the same address and port. Membership interprets the
// messages; FrameAuthenticator authenticates all of them. A ClusterTransport is used on the thread
// of its event loop only.
//
// Each frame on a TCP connection is preceded by its length as a 32-bit big-endian integer.
//
// A full state exchange has these steps: the accepting side draws a nonce and sends it in an empty
// snapshot; the initiator sends its snapshot, which echoes that nonce and contains a nonce of its
// own; the accepting side sends its snapshot, which echoes the initiator's nonce; the initiator
// closes the connection.
//
// A channel carries frames from one member to another for the components that build on the
// membership. It is a TCP connection to the same address that is opened by a Handshake in place of
// a snapshot. There is one channel per direction, which stays open while it is used. Frames arrive
// in order or not at all: if a member does not read, or its connection makes no progress for
// kStallTimeout, the frames that wait for this member are lost, and no other channel is delayed.
// The frames of a channel are signed with a sender id of their own.
//
// Limits: kMaxDatagramBytes per datagram and kMaxDatagramsPerTurn datagrams per loop turn;
// kMaxExchanges concurrent exchanges of kExchangeTimeout each, with frames of up to
// kMaxSnapshotFrameBytes; kMaxChannels channels. Datagrams and frames that cannot be used are
// dropped, counted and reported at most once in ten seconds for each kind of reason.
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
constexpr std::size_t kMaxWaitingBytes = 6 << 20;  // unsent bytes per channel
constexpr std::size_t kMaxWaitingFrames = 512;     // per channel that is not open yet
constexpr Time kExchangeTimeout = 3'000'000;       // microseconds, as all times here
constexpr Time kStallTimeout = 3'000'000;
constexpr Time kIdleTimeout = 30'000'000;    // after which an unused channel is closed
constexpr Time kReconnectBackoff = 200'000;  // between connection attempts to one member

/// Configuration of the transport.
struct TransportSettings {
  std::string cluster;             // name of the cluster
  std::string secret;              // shared by all members
  std::string listen;              // IPv4 address and port
  std::string advertise;           // address that other members use; if empty, the listen address
  std::vector<std::string> seeds;  // addresses of members to contact at the start
  cluster::MembershipSettings membership;
};

/// Event counts since the start.
struct TransportCounters {
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t exchanges = 0;  // completed full state exchanges
  std::uint64_t dropped = 0;    // datagrams and frames
  std::uint64_t frames_in = 0;  // frames of channels, as the following
  std::uint64_t frames_out = 0;
  std::uint64_t frames_lost = 0;  // could not be queued for sending
};

/// Runs one Membership over the network. See the head of this file.
class ClusterTransport {
 public:
  /// Callbacks, which run on the loop's thread.
  struct Hooks {
    std::function<void(const cluster::MemberChanged&)> on_member_changed;
    std::function<void(const cluster::NameConflict&)> on_name_conflict;
    std::function<void(const cluster::Superseded&)> on_superseded;
    /// A datagram or frame was dropped for the reason `kind`. `from` is the address of the other
    /// side, or a description of the dropped frame's source. The rate of calls is limited.
    std::function<void(const char* kind, const std::string& from)> on_dropped;
    /// A frame has arrived on a channel from the member `from`. May be empty.
    std::function<void(const std::string& from, std::string_view frame)> on_frame;
  };

  /// Opens the sockets and starts the membership. If the listen port is 0, the identity contains
  /// the port that the system assigned. `now` returns Unix time in microseconds. Throws
  /// std::runtime_error if the listen address is not valid or cannot be used.
  ClusterTransport(net::Loop& loop, core::Deadlines& deadlines, std::function<Time()> now,
                   const TransportSettings& settings, cluster::Identity self, std::uint64_t seed,
                   Hooks hooks);
  ~ClusterTransport();

  /// Writes the output of this loop turn and closes the connections that are done.
  void end_turn();
  /// Notifies the other members that this process leaves. has_left() returns true once that is
  /// done.
  void leave();
  bool has_left() const { return has_left_; }
  /// Sends a frame on the channel to the member `to`. The frame is lost, and counted as lost, if
  /// the member is unknown or has left, or if its channel is full or cannot be opened.
  void send_frame(const std::string& to, std::string_view frame);
  const cluster::Membership& membership() const { return *membership_; }
  const TransportCounters& counters() const { return counters_; }
  sockaddr_in address() const { return listener_->address(); }

 private:
  struct Peer;

  // Membership and datagrams (transport.cpp)
  void open_udp_socket(const sockaddr_in& address);
  void handle(const cluster::Event& event);
  void execute(const cluster::Action& action);
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
  // Outgoing connections are bound to this address, so that the accepting side can identify them.
  sockaddr_in source_address_{};
  std::unique_ptr<net::IoWatcher> udp_watcher_;
  std::unique_ptr<net::Listener> listener_;
  std::map<Peer*, std::unique_ptr<Peer>> peers_;
  std::size_t exchange_count_ = 0;  // exchanges in peers_; the other peers are channels
  std::map<std::string, Peer*, std::less<>> outgoing_channels_;  // by member
  std::map<std::string, Time, std::less<>> last_connect_at_;     // by member
  std::vector<Peer*> touched_peers_;                             // peers with events in this turn
  cluster::FrameAuthenticator channel_authenticator_;            // verifies incoming channels
  std::optional<core::Deadlines::Key> tick_;                     // the timer of the next Tick
  std::map<std::string, Time> report_dropped_after_;             // by kind
  bool has_left_ = false;
  TransportCounters counters_;
};

}  // namespace alderspur::cluster_transport

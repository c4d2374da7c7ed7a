// The set-up of ClusterTransport, the events and actions of its Membership, and datagrams.
#include "cluster_transport/transport.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "cluster_transport/peer.h"

namespace alderspur::cluster_transport {
namespace {

using cluster::FrameStatus;
using cluster::kMaxDatagramBytes;
using cluster::kNever;

constexpr Time kDropReportInterval = 10'000'000;            // microseconds, for each kind
constexpr cluster::FrameRate kChannelRate{20'000, 20'000};  // frames per second of one channel
constexpr int kReceiveBuffer = 256 << 10;  // bytes; holds the datagrams until the next loop turn
// Mixed into the seed, so that nonces do not repeat the random numbers of the membership.
constexpr std::uint64_t kNonceSeed = 0x636c7573746572ULL;

std::runtime_error socket_error(const char* what, const sockaddr_in& address) {
  return std::runtime_error(std::string(what) + " " + net::to_string(address) + ": " +
                            std::strerror(errno));
}

sockaddr_in parse_listen_address(const std::string& text) {
  const auto address = net::parse_address(text);
  if (!address) {
    throw std::runtime_error("'" + text +
                             "' is not a valid listen address for the cluster: expected an IPv4 "
                             "address and a port");
  }
  return *address;
}

}  // namespace

ClusterTransport::ClusterTransport(net::Loop& loop, core::Deadlines& deadlines,
                                   std::function<Time()> now, const TransportSettings& settings,
                                   cluster::Identity self, std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      deadlines_(deadlines),
      now_(std::move(now)),
      authenticator_(settings.cluster, settings.secret, seed),
      random_(seed ^ kNonceSeed),
      hooks_(std::move(hooks)),
      channel_authenticator_(authenticator_.with_sender(seed ^ 1, kChannelRate)) {
  listener_ = std::make_unique<net::Listener>(
      loop, deadlines, parse_listen_address(settings.listen),
      [this] { return exchange_count_ < kMaxExchanges && !has_max_channels(); },
      [this](net::Fd fd) { accept(std::move(fd)); });
  const sockaddr_in address = listener_->address();
  open_udp_socket(address);
  self.address = settings.advertise.empty() ? net::to_string(address) : settings.advertise;
  source_address_ = address;
  source_address_.sin_port = 0;
  membership_ = std::make_unique<cluster::Membership>(settings.membership, std::move(self), seed);
  udp_watcher_ = std::make_unique<net::IoWatcher>(loop.raw(), udp_socket_.get(),
                                                  [this](int) { receive_datagrams(); });
  udp_watcher_->want(EV_READ);
  handle(cluster::Start{settings.seeds});
}

ClusterTransport::~ClusterTransport() {
  if (tick_) deadlines_.cancel(*tick_);
  for (auto& [raw, peer] : peers_) close(*peer);
}

// Opens the UDP socket on the address and port of the TCP listener.
void ClusterTransport::open_udp_socket(const sockaddr_in& address) {
  udp_socket_ = net::Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (udp_socket_.get() < 0 || ::bind(udp_socket_.get(), generic, sizeof address) < 0) {
    throw socket_error("cannot listen for the cluster on", address);
  }
  setsockopt(udp_socket_.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
}

// ---- Membership

void ClusterTransport::schedule_tick() {
  const Time next = membership_->next_tick();
  if (tick_ && tick_->at == next) return;
  if (tick_) {
    deadlines_.cancel(*tick_);
    tick_.reset();
  }
  if (next == kNever) return;
  tick_ = deadlines_.set(next, [this] {
    tick_.reset();
    handle(cluster::Tick{});
  });
}

void ClusterTransport::handle(const cluster::Event& event) {
  std::vector<cluster::Action> actions;
  membership_->handle(now_(), event, actions);
  for (const auto& action : actions) execute(action);
  schedule_tick();
}

void ClusterTransport::execute(const cluster::Action& action) {
  if (const auto* send = std::get_if<cluster::SendMessage>(&action)) {
    send_datagram(send->address, send->message);
  } else if (const auto* exchange = std::get_if<cluster::ExchangeFullState>(&action)) {
    begin_exchange(exchange->address);
  } else if (const auto* changed = std::get_if<cluster::MemberChanged>(&action)) {
    hooks_.on_member_changed(*changed);
  } else if (const auto* conflict = std::get_if<cluster::NameConflict>(&action)) {
    hooks_.on_name_conflict(*conflict);
  } else if (const auto* superseded = std::get_if<cluster::Superseded>(&action)) {
    hooks_.on_superseded(*superseded);
  } else {
    has_left_ = true;
  }
}

void ClusterTransport::leave() {
  handle(cluster::Leave{});
  // A membership that was superseded before returns no LeaveCompleted.
  if (membership_->next_tick() == kNever) has_left_ = true;
}

// ---- Datagrams

void ClusterTransport::send_datagram(const std::string& address, const cluster::Message& message) {
  const auto to = net::parse_address(address);
  if (!to) return;
  const auto frame = authenticator_.sign(encode(message));
  if (frame.size() > kMaxDatagramBytes) return report_dropped("oversized", address);
  ++counters_.datagrams_out;
  counters_.bytes_out += frame.size();
  // If the socket buffer is full, the datagram is lost, as it may be on the network.
  (void)!::sendto(udp_socket_.get(), frame.data(), frame.size(), MSG_NOSIGNAL | MSG_DONTWAIT,
                  reinterpret_cast<const sockaddr*>(&*to), sizeof *to);
}

void ClusterTransport::receive_datagrams() {
  std::array<char, kMaxDatagramBytes + 1> buffer;  // one extra byte detects oversized datagrams
  for (std::size_t i = 0; i < kMaxDatagramsPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof from;
    const ssize_t received =
        ::recvfrom(udp_socket_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                   reinterpret_cast<sockaddr*>(&from), &from_size);
    if (received < 0 && errno == EINTR) continue;
    if (received < 0) return;
    ++counters_.datagrams_in;
    counters_.bytes_in += static_cast<std::uint64_t>(received);
    handle_datagram({buffer.data(), static_cast<std::size_t>(received)}, net::to_string(from));
  }
}

void ClusterTransport::handle_datagram(std::string_view datagram, const std::string& from) {
  if (datagram.size() > kMaxDatagramBytes) return report_dropped("oversized", from);
  const auto verified = authenticator_.verify(datagram, now_());
  if (verified.status != FrameStatus::valid) {
    return report_dropped(cluster::to_string(verified.status), from);
  }
  auto message = cluster::decode_message(verified.payload);
  if (!message) return report_dropped("unreadable", from);
  handle(cluster::MessageReceived{std::move(*message), from});
}

void ClusterTransport::report_dropped(const char* kind, const std::string& from) {
  ++counters_.dropped;
  Time& report_after = report_dropped_after_[kind];
  if (now_() < report_after) return;
  report_after = now_() + kDropReportInterval;
  hooks_.on_dropped(kind, from);
}

}  // namespace alderspur::cluster_transport

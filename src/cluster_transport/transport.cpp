#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <stdexcept>
#include <utility>

#include "cluster_transport/peer.h"

namespace alderspur::cluster {
namespace {

constexpr Time kTellEvery = 10'000'000;
constexpr double kFrameRate = 20'000;  // frames a second of one channel
constexpr int kBuffer = 256 << 10;     // of datagrams that wait for the next turn

std::runtime_error cannot(const char* what, const sockaddr_in& at) {
  return std::runtime_error(std::string(what) + " " + net::to_string(at) + ": " +
                            std::strerror(errno));
}
sockaddr_in parsed(const std::string& text) {
  const auto at = net::parse_address(text);
  if (!at) throw std::runtime_error("no usable address for the cluster: '" + text + "'");
  return *at;
}

}  // namespace

ClusterTransport::ClusterTransport(net::Loop& loop, core::Deadlines& deadlines,
                                   std::function<Time()> now, const TransportSettings& settings,
                                   Identity self, std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      deadlines_(deadlines),
      now_(std::move(now)),
      seal_(settings.cluster, settings.secret, seed),
      random_(seed ^ 0x636c7573746572ULL),
      hooks_(std::move(hooks)),
      frames_seal_(seal_.under(seed ^ 1, kFrameRate, kFrameRate)) {
  listener_ = std::make_unique<net::Listener>(
      loop, deadlines, parsed(settings.listen),
      [this] { return exchanges_ < kExchangesMost && !channels_full(); },
      [this](net::Fd fd) { accept(std::move(fd)); });
  const sockaddr_in at = listener_->address();  // UDP takes the same port
  udp_ = net::Fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (udp_.get() < 0 || ::bind(udp_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) < 0)
    throw cannot("cannot listen for the cluster on", at);
  setsockopt(udp_.get(), SOL_SOCKET, SO_RCVBUF, &kBuffer, sizeof kBuffer);
  self.address = settings.advertise.empty() ? net::to_string(at) : settings.advertise;
  source_ = at;
  source_.sin_port = 0;
  membership_ = std::make_unique<Membership>(settings.membership, std::move(self), seed);
  watcher_ = std::make_unique<net::IoWatcher>(loop.raw(), udp_.get(), [this](int) { receive(); });
  watcher_->want(EV_READ);
  handle(Start{settings.seeds});
}
ClusterTransport::~ClusterTransport() {
  if (due_) deadlines_.cancel(*due_);
  for (auto& [raw, p] : peers_) drop(*p);
}

void ClusterTransport::arm() {
  const Time next = membership_->next();
  if (due_ && due_->at == next) return;
  if (due_) deadlines_.cancel(*due_), due_.reset();
  if (next == std::numeric_limits<Time>::max()) return;
  due_ = deadlines_.set(next, [this] {
    due_.reset();
    handle(Tick{});
  });
}

void ClusterTransport::handle(const Event& event) {
  std::vector<Action> actions;
  membership_->handle(now_(), event, actions);
  for (auto& a : actions) carry_out(a);
  arm();
}

void ClusterTransport::carry_out(Action& action) {
  if (const auto* s = std::get_if<Send>(&action)) return send(s->address, s->message);
  if (const auto* e = std::get_if<Exchange>(&action)) return call(e->address);
  if (const auto* c = std::get_if<Changed>(&action)) return hooks_.changed(*c);
  if (const auto* c = std::get_if<Conflict>(&action)) return hooks_.conflict(*c);
  if (const auto* s = std::get_if<Superseded>(&action)) return hooks_.superseded(*s);
  left_ = true;
}

void ClusterTransport::leave() {
  handle(Leave{});
  // Where nobody is there to be told, or we are out already, nothing more comes.
  if (membership_->next() == std::numeric_limits<Time>::max()) left_ = true;
}

// ---- Datagrams

void ClusterTransport::send(const std::string& address, const Message& message) {
  const auto to = net::parse_address(address);
  if (!to) return;
  const auto frame = seal_.seal(encode(message));
  if (frame.size() > kDatagramMost) return drop("oversized", address);
  ++counts_.datagrams_out;
  counts_.bytes_out += frame.size();
  // A full socket loses it, as the network may.
  (void)!::sendto(udp_.get(), frame.data(), frame.size(), MSG_NOSIGNAL | MSG_DONTWAIT,
                  reinterpret_cast<const sockaddr*>(&*to), sizeof *to);
}

void ClusterTransport::receive() {
  char buffer[kDatagramMost + 1];
  for (std::size_t i = 0; i < kAtOnce; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n = ::recvfrom(udp_.get(), buffer, sizeof buffer, MSG_DONTWAIT,
                                 reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return;
    ++counts_.datagrams_in;
    counts_.bytes_in += static_cast<std::uint64_t>(n);
    const auto address = net::to_string(from);
    if (static_cast<std::size_t>(n) > kDatagramMost) {
      drop("oversized", address);
      continue;
    }
    std::string_view payload;
    const auto opened = seal_.open({buffer, static_cast<std::size_t>(n)}, now_(), payload);
    if (opened != Opened::good) {
      drop(word(opened), address);
      continue;
    }
    auto message = decode_message(payload);
    if (!message) {
      drop("unreadable", address);
      continue;
    }
    handle(Received{std::move(*message), address});
  }
}

void ClusterTransport::drop(const char* kind, const std::string& from) {
  ++counts_.dropped;
  Time& next = told_[kind];
  if (now_() < next) return;
  next = now_() + kTellEvery;
  hooks_.dropped(kind, from);
}

// ---- Exchanges

net::Connection::Handler ClusterTransport::handler(Peer& peer) {
  net::Connection::Handler h;
  h.on_data = [this, &peer](std::string_view bytes) { return touch(peer), take(peer, bytes); };
  h.on_written = [this, &peer] { touch(peer); };
  h.on_close = [this, &peer](net::Closed) { drop(peer); };
  return h;
}

ClusterTransport::Peer& ClusterTransport::keep(std::unique_ptr<Peer> peer) {
  Peer& kept = *peer;
  peers_.emplace(&kept, std::move(peer));
  ++exchanges_;
  kept.drawn = random_();
  kept.timeout = deadlines_.set(now_() + kExchangeTime, [this, &kept] { drop(kept); });
  return kept;
}

void ClusterTransport::accept(net::Fd fd) {
  auto peer = std::make_unique<Peer>();
  peer->connection = std::make_unique<net::Connection>(loop_, std::move(fd), false, handler(*peer));
  say(keep(std::move(peer)), {});
}

void ClusterTransport::call(const std::string& address) {
  const auto to = net::parse_address(address);
  if (!to || exchanges_ >= kExchangesMost) return;
  auto peer = std::make_unique<Peer>();
  peer->caller = true;
  peer->connection = net::connect(loop_, *to, handler(*peer), nullptr, &source_);
  if (peer->connection) touch(keep(std::move(peer)));
}

void ClusterTransport::say(Peer& peer, const MembershipSnapshot& picture) {
  MembershipSnapshot p = picture;
  p.ask = peer.drawn;
  const auto frame = seal_.seal(encode(p));
  if (frame.size() > kPictureMost) return drop("oversized", "our own picture"), drop(peer);
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(frame.size()));
  counts_.bytes_out += frame.size();
  peer.connection->write({reinterpret_cast<const char*>(&size), sizeof size}, frame);
}

std::ptrdiff_t ClusterTransport::take(Peer& peer, std::string_view bytes) {
  std::uint32_t size = 0;
  if (bytes.size() < sizeof size) return 0;
  std::memcpy(&size, bytes.data(), sizeof size);
  size = ntohl(size);
  if (size > (peer.is_channel ? kFrameMost : kPictureMost))
    return drop("oversized", "an exchange"), -1;
  if (bytes.size() < sizeof size + size) return 0;
  counts_.bytes_in += size;
  std::string_view payload;
  Seal& seal = peer.is_channel ? frames_seal_ : seal_;
  const auto opened = seal.open(bytes.substr(sizeof size, size), now_(), payload);
  if (opened != Opened::good) return drop(word(opened), "an exchange"), -1;
  if (peer.is_channel && !peer.caller) {
    ++counts_.frames_in;
    peer.used = now_();
    if (hooks_.frame) hooks_.frame(peer.name, payload);
  } else if (!frame(peer, payload)) {
    return drop("unreadable", "an exchange"), -1;
  }
  return static_cast<std::ptrdiff_t>(sizeof size + size);
}

// The called one's first word, the caller's picture, the called one's.
bool ClusterTransport::frame(Peer& peer, std::string_view payload) {
  auto picture = decode_picture(payload);
  if (!picture) return open(peer, payload);
  if (peer.is_channel) return answer(peer, picture->ask);
  if (peer.caller && !std::exchange(peer.said, true)) {
    say(peer, {picture->ask, 0, membership_->picture()});
    return true;
  }
  if (picture->asked != peer.drawn) return false;  // kept from another exchange
  if (!peer.caller) {
    if (std::exchange(peer.said, true)) return false;
    say(peer, {picture->ask, 0, membership_->picture()});
  }
  peer.finished = true;
  ++counts_.exchanges;
  handle(Exchanged{std::move(picture->members)});
  return true;
}

void ClusterTransport::drop(Peer& peer) {
  if (std::exchange(peer.dead, true)) return;
  deadlines_.cancel(peer.timeout);
  peer.connection->close();
  touch(peer);
}

void ClusterTransport::touch(Peer& peer) {
  if (std::exchange(peer.touched, true)) return;
  touched_.push_back(&peer);
}

void ClusterTransport::end_turn() {
  for (std::size_t i = 0; i < touched_.size(); ++i) {
    Peer* p = touched_[i];
    if (p->dead) continue;
    p->connection->end_turn();
    if (p->connection->feed_again()) p->connection->end_turn();
    if (p->dead || !p->finished || p->connection->unwritten() > 0) continue;
    // The caller has all it wanted; the called one lets the caller end, so that its last word is
    // read.
    if (p->caller) drop(*p);
  }
  for (Peer* p : std::exchange(touched_, {})) {
    p->touched = false;
    if (!p->dead) continue;
    if (const auto it = out_.find(p->name); it != out_.end() && it->second == p) out_.erase(it);
    if (!p->is_channel) --exchanges_;
    peers_.erase(p);
  }
}

}  // namespace alderspur::cluster

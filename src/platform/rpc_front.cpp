#include "platform/rpc_front.h"

#include <algorithm>

#include "platform/rpc.h"

namespace platform {
namespace {

constexpr std::size_t kQueuePause = 1 << 20, kQueueMost = 12 << 20;  // 32 open requests of 240,000 bytes
constexpr std::size_t kOpenMost = 256;  // on one connection; the platform's clients keep to 32

}  // namespace

struct RpcFront::Client {
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::uint64_t, core::Ticket> open;
  bool dead = false, ending = false;
};

RpcFront::RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                   const sockaddr_in& listen, const std::vector<std::string>& classes,
                   std::size_t most_clients, std::size_t memory)
    : loop_(loop),
      engine_(engine),
      most_clients_(most_clients),
      memory_(memory),
      listener_(
          loop, deadlines, listen,
          [this] {
            const bool may = clients_.size() < most_clients_;
            if (!may) ++engine_.counters().accepts_put_off;
            return may;
          },
          [this](net::Fd fd) { accept(std::move(fd)); }) {
  for (std::size_t i = 0; i < classes.size(); ++i) classes_[classes[i]] = static_cast<std::uint32_t>(i);
}
RpcFront::~RpcFront() = default;

void RpcFront::accept(net::Fd fd) {
  auto client = std::make_unique<Client>();
  Client* raw = client.get();
  net::Connection::Handler handler;
  handler.half_close = true;
  handler.on_data = [this, raw](std::string_view bytes) { return take(*raw, bytes); };
  handler.on_written = [raw] { raw->connection->pause_reading(raw->connection->unwritten() > kQueuePause); };
  handler.on_close = [this, raw](net::Closed why) { lost(*raw, why == net::Closed::by_peer); };
  raw->connection = std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  clients_.push_back(std::move(client));
}

std::ptrdiff_t RpcFront::take(Client& client, std::string_view bytes) {
  const auto before = bytes.size();
  while (!client.dead) {
    Call c;
    std::string_view rest = bytes;
    const auto parsed = next_call(rest, c);
    if (parsed == Parsed::partial) break;
    if (parsed == Parsed::unreadable || !call(client, c)) {
      ++engine_.counters().bad_frames;
      return -1;
    }
    bytes = rest;
  }
  return static_cast<std::ptrdiff_t>(before - bytes.size());
}

bool RpcFront::call(Client& client, const Call& c) {
  if (c.notification) {
    if (c.method != "withdraw" || !c.well_formed) return true;  // nothing can be answered to it
    const auto it = client.open.find(c.id);
    if (it == client.open.end()) return true;  // the answer crossed it
    engine_.withdraw(it->second);
    asked_.erase(it->second);
    client.open.erase(it);
    return true;
  }
  // A number that is still open makes every answer under it ambiguous.
  if (client.open.contains(c.id)) return false;
  if (c.method == "status") {
    client.connection->write(encode_status(c.id));
    return true;
  }
  core::Demand demand;
  const auto cls = classes_.find(std::string(c.method));
  if (cls == classes_.end() || !to_demand(c, demand)) {
    ++engine_.counters().bad_requests;
    reply(client, c.id, {core::Verdict::failed, false, 0, {}, {}, false});
    return true;
  }
  // Bounds of this process, not of the service: nothing ran, so trying again is harmless.
  if (client.open.size() >= kOpenMost || engine_.held_bytes() > memory_) {
    reply(client, c.id, {core::Verdict::refused, false, 0, {}, {}, false});
    return true;
  }
  demand.cls = cls->second;
  const core::Ticket ticket = engine_.take(*this, demand);
  client.open[c.id] = ticket;
  asked_[ticket] = {&client, c.id};
  return true;
}

void RpcFront::answer(core::Ticket ticket, const core::Answer& answer) {
  const auto it = asked_.find(ticket);
  if (it == asked_.end()) return;  // withdrawn, or its connection is gone
  const auto [client, id] = it->second;
  asked_.erase(it);
  client->open.erase(id);
  reply(*client, id, answer);
}

void RpcFront::reply(Client& client, std::uint64_t id, const core::Answer& answer) {
  if (client.dead) return;
  const auto encoded = encode_answer(id, answer);
  client.connection->write(encoded.head, answer.body, encoded.tail);
  const auto queued = client.connection->unwritten();
  if (queued > kQueuePause) client.connection->pause_reading(true);
  if (queued > kQueueMost) {  // a reader this slow would take the memory of all others
    ++engine_.counters().slow_readers;
    drop(client);
  }
}

// A client may end its side and still wait for answers; after a reset nobody waits.
void RpcFront::lost(Client& client, bool half) {
  client.ending = true;
  if (!half) drop(client);
}

void RpcFront::drop(Client& client) {
  if (client.dead) return;
  client.dead = true;
  client.connection->close();
  for (const auto& [id, ticket] : client.open) {
    asked_.erase(ticket);
    engine_.withdraw(ticket);
  }
  client.open.clear();
}

void RpcFront::end_turn() {
  for (auto& c : clients_) {
    if (c->dead) continue;
    c->connection->end_turn();
    if (c->ending && c->open.empty() && c->connection->unwritten() == 0) drop(*c);
  }
  std::erase_if(clients_, [](auto& c) { return c->dead; });
}

void RpcFront::stop_listening() { listener_.stop(); }

bool RpcFront::idle() const {
  return asked_.empty() && std::all_of(clients_.begin(), clients_.end(),
                                       [](auto& c) { return c->dead || c->connection->unwritten() == 0; });
}

}  // namespace platform

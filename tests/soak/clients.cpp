#include "soak/clients.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "net/loop.h"
#include "support/rpc_messages.h"

namespace soak {
namespace {

using loopback::TestSocket;

constexpr std::size_t kSteadyClients = 5;
constexpr std::size_t kImpatientClients = 2;
constexpr std::size_t kSlowReaders = 1;
constexpr Time kSendInterval = 12 * kMillisecond;       // of each client
constexpr Time kSlowSendInterval = 400 * kMillisecond;  // of a slow reader
constexpr Time kReadInterval = 60 * kMillisecond;       // of a slow reader: 64 KB each time
constexpr std::size_t kMaxOpenRequests = 32;            // on one connection
constexpr std::uint64_t kCancelEvery = 15;              // of an impatient client's turns
constexpr std::uint64_t kLeaveEvery = 60;
constexpr std::uint64_t kObjects = 48;
/// A request that crosses the close of its connection is sent again.
constexpr Time kCrossingTime = 50 * kMillisecond;
/// Up to so long after its time an answer only earns nothing; later the request is lost.
constexpr Time kAnswerGrace = 500 * kMillisecond;

const char* name_of(ClientKind kind) {
  switch (kind) {
    case ClientKind::steady:
      return "a steady client";
    case ClientKind::impatient:
      return "an impatient client";
    case ClientKind::slow_reader:
      return "a slow reader";
  }
  return "";
}

std::string hex_id(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
  return text.data();
}

}  // namespace

std::unique_ptr<TestSocket> try_connect(const sockaddr_in& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<TestSocket>(fd);
}

Clients::Clients(Violations& violations, CacheServers& caches, const sockaddr_in& router,
                 std::uint64_t seed, bool has_crowd)
    : violations_(violations),
      caches_(caches),
      router_(router),
      random_(seed),
      has_crowd_(has_crowd),
      transaction_base_(seed << 32) {
  clients_.resize(kSteadyClients + kImpatientClients + kSlowReaders);
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    if (i >= kSteadyClients) clients_[i].kind = ClientKind::impatient;
    if (i >= kSteadyClients + kImpatientClients) clients_[i].kind = ClientKind::slow_reader;
  }
}

void Clients::step(const StepTimes& times) {
  for (auto& client : clients_) {
    read(client, times);
    check_deadlines(client, times);
    if (is_sending_ && times.now >= client.next_send_at) act(client, times.now);
  }
  for (auto& socket : crowd_) socket->poll();
  std::erase_if(crowd_, [](const auto& socket) { return socket->is_closed; });
}

// ---- Answers

void Clients::read(Client& client, const StepTimes& times) {
  if (!client.socket) return;
  bool has_read_all = true;
  if (client.kind == ClientKind::slow_reader) {
    if (times.now < client.next_read_at) return;
    client.next_read_at = times.now + kReadInterval;
    has_read_all = !client.socket->poll_once();
  } else {
    client.socket->poll();
  }
  if (has_read_all && !client.socket->is_closed) client.drained_at = times.now;
  take_answers(client, times);
  if (client.socket->is_closed) handle_close(client, times);
}

void Clients::take_answers(Client& client, const StepTimes& times) {
  std::size_t consumed = 0;
  for (const auto& response : loopback::decode_responses(client.socket->received, consumed)) {
    take_answer(client, response.id, response.error, response.body, times);
  }
  client.socket->received.erase(0, consumed);
}

void Clients::take_answer(Client& client, std::uint64_t id, const std::string& error,
                          const std::string& body, const StepTimes& times) {
  const auto request = client.open.find(id);
  if (request == client.open.end()) {
    const auto earlier = client.answered.find(id);
    const bool is_second = earlier != client.answered.end();
    // An answer may cross the client's own cancel.
    if (is_second && earlier->second == "cancelled") return;
    violations_.add(times.now, is_second ? "a second answer for " + earlier->second
                                         : "an answer that nobody asked for");
    return;
  }
  if (error.empty() && body != body_of(request->second.object)) {
    violations_.add(times.now, "a served answer with other bytes, " + std::to_string(body.size()) +
                                   ", for " + request->second.transaction);
  }
  client.has_been_served = true;
  ++(error.empty() ? counts_.served : error == "Busy" ? counts_.refused : counts_.failed);
  client.answered[id] = request->second.transaction;
  client.open.erase(request);
}

void Clients::check_deadlines(Client& client, const StepTimes& times) {
  // The time that a client takes to read is not counted.
  if (client.kind == ClientKind::slow_reader) return;
  for (auto request = client.open.begin(); request != client.open.end();) {
    const Time lost_at = request->second.sent_at + kRequestTimeout + kAnswerGrace + kSocketSlack;
    if (times.previous <= lost_at) {
      ++request;
      continue;
    }
    violations_.add(times.now, "no answer in time for " + request->second.transaction);
    client.answered[request->first] = request->second.transaction;
    request = client.open.erase(request);
  }
}

// ---- Closes

void Clients::handle_close(Client& client, const StepTimes& times) {
  std::vector<OpenRequest> to_repeat;
  for (const auto& [id, request] : std::exchange(client.open, {})) {
    judge_unanswered(client, request, times, to_repeat);
  }
  client.socket.reset();
  for (auto& request : to_repeat) {
    if (!connect(client)) return;  // unreachable: nothing was taken
    ++counts_.sent_again;
    request.is_repeated = true;
    send(client, request, times.now);
  }
}

void Clients::judge_unanswered(Client& client, const OpenRequest& request, const StepTimes& times,
                               std::vector<OpenRequest>& to_repeat) {
  const bool is_killed = killed_at_ > 0 && request.sent_at <= killed_at_;
  // An answer that has begun and cannot be finished has failed; the client can tell.
  const bool has_begun = !client.socket->received.empty();
  const bool is_shut_unread = has_crowd_ && !client.has_been_served;
  if (is_killed || has_begun || is_shut_unread) {
    ++counts_.forgiven;
    if (!is_killed) client.socket->received.clear();  // one answer at most has begun
    return;
  }
  const bool has_crossed = client.drained_at - request.sent_at <= kCrossingTime;
  if (has_crossed && !request.is_repeated) {
    to_repeat.push_back(request);
    return;
  }
  const Time waited = (client.drained_at - request.sent_at) / kMillisecond;
  const Time age = (times.now - client.connected_at) / kMillisecond;
  violations_.add(times.now, "closed without an answer for " + request.transaction + ", sent " +
                                 std::to_string(waited) + " ms before" +
                                 (request.is_repeated ? ", a second time" : "") +
                                 (client.socket->was_reset ? ", by a reset" : "") + "; " +
                                 std::to_string(client.answered.size()) + " answered in " +
                                 std::to_string(age) + " ms of the connection of " +
                                 name_of(client.kind));
}

// ---- Requests

void Clients::act(Client& client, Time now) {
  const bool is_slow = client.kind == ClientKind::slow_reader;
  client.next_send_at = now + (is_slow ? kSlowSendInterval : kSendInterval);
  if (client.kind == ClientKind::impatient) lose_patience(client, now);
  if (client.open.size() >= kMaxOpenRequests) return;
  if (!client.socket && !connect(client)) return;
  ++counts_.sent;
  send(client, next_request(client, now), now);
}

void Clients::lose_patience(Client& client, Time now) {
  if (!client.socket) return;
  if (!client.open.empty() && random_() % kCancelEvery == 0) {
    const auto request = client.open.begin();
    client.socket->write(loopback::encode_cancel(static_cast<unsigned>(request->first)));
    caches_.on_client_gone(request->second.transaction, now);
    client.answered[request->first] = "cancelled";
    client.open.erase(request);
  }
  if (random_() % kLeaveEvery == 0) leave(client, now);
}

void Clients::leave(Client& client, Time now) {
  if (random_() % 2 == 0) {
    client.socket->reset();
  } else {
    client.socket->close();
  }
  for (const auto& [id, request] : std::exchange(client.open, {})) {
    caches_.on_client_gone(request.transaction, now);
  }
  client.socket.reset();
}

bool Clients::connect(Client& client) {
  if (client.socket) return true;
  if (!may_connect_) return false;
  client.socket = try_connect(router_);
  client.next_id = 1;
  client.answered.clear();
  client.has_been_served = false;
  client.connected_at = alderspur::net::unix_now();
  client.drained_at = client.connected_at;
  return client.socket != nullptr;
}

Clients::OpenRequest Clients::next_request(const Client& client, Time now) {
  std::string object = hex_id(1 + random_() % kObjects);
  object.back() = client.kind == ClientKind::slow_reader ? 'f' : "01234567"[random_() % 8];
  return {hex_id(transaction_base_ + ++transactions_), object, now, false};
}

void Clients::send(Client& client, OpenRequest request, Time now) {
  const auto id = client.next_id++;
  request.sent_at = now;
  client.socket->write(
      loopback::encode_request(static_cast<unsigned>(id), "asset",
                               {{"txn", request.transaction},
                                {"item", request.object},
                                {"limit", std::to_string(kRequestTimeout / kMillisecond)},
                                {"ram", is_large(request.object) ? "200" : "1"}}));
  client.open[id] = std::move(request);
}

// ---- The crowd, and the end

void Clients::open_crowd(std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) {
    auto socket = try_connect(router_);
    if (socket) crowd_.push_back(std::move(socket));
  }
}

void Clients::close_all() {
  crowd_.clear();
  for (auto& client : clients_) client.socket.reset();
}

bool Clients::has_open_requests() const {
  return std::any_of(clients_.begin(), clients_.end(),
                     [](const Client& client) { return !client.open.empty(); });
}

}  // namespace soak

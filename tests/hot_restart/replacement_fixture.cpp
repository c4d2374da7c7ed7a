#include "hot_restart/replacement_fixture.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <utility>

namespace alderspur::hot_restart {
namespace {

using loopback::CacheCommand;
using loopback::FakeCache;

// A request may cross the close of its connection on the way to the router and is then sent again.
// This takes up to 50 ms; the rest is a margin for a slow machine.
constexpr core::Time kCrossingTime = 100'000;
// The time between two requests of one client.
constexpr core::Time kSendInterval = 8'000;
// Spreads the ids over all values.
constexpr std::uint64_t kIdMultiplier = 0x9e3779b97f4a7c15ULL;

std::string hex_id(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
  return text.data();
}

std::string member_json(const std::string& id, const FakeCache& cache) {
  return R"({"id":")" + id + R"(","host_port":")" + cache.address() +
         R"(","locality":"edge","flavor":"small","phase":"in_service","size":4})";
}

}  // namespace

ReplacementTest::ReplacementTest() : address(loopback::free_address()) {
  std::string name = "/tmp/alderspur-test-XXXXXX";
  directory = ::mkdtemp(name.data());
}

ReplacementTest::~ReplacementTest() {
  if (board_listener >= 0) ::close(board_listener);
  std::filesystem::remove_all(directory);
}

void ReplacementTest::listen_as_board() {
  board_listener = loopback::bind_socket(board_address);
  ::listen(board_listener, 8);
  ::fcntl(board_listener, F_SETFL, O_NONBLOCK);
}

std::string ReplacementTest::path_of(const std::string& suffix) const {
  std::string key = net::to_string(address);
  std::replace(key.begin(), key.end(), ':', '-');
  return directory + "/alderspur-" + key + suffix;
}

std::string ReplacementTest::config() const {
  return R"({"limits":{"sockets":)" + std::to_string(max_sockets) + R"(,"memory_mb":)" +
         std::to_string(memory_mb) + R"(},"listen":")" + net::to_string(address) +
         R"(","board":")" + (board_listener < 0 ? "" : net::to_string(board_address)) +
         R"(","known":{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,
      "members":[)" +
         member_json("s-0", caches[0]) + "," + member_json("s-1", caches[1]) +
         R"(]}}]},"settings":{"azs":["edge"],"zone":0,"shapes":["small"],
      "ceilings":{"max-attempts":3,"may-cancel":true,"retry-after":true,"max-retry-after":500000},
      "classes":[{"name":"asset","target":5000000,"give-up":3000000,"points":1,"repeat":"safe"}],"domain":{"stream-kb-per-s":9000,"lifetime-by-class":[60000000],"purge-settles":6000000}}})";
}

ReplacementTest::Process ReplacementTest::start() {
  constexpr std::string_view kAnnouncement = "operators on ";
  const std::string listen = net::to_string(address);
  Process process;
  process.program = std::make_unique<loopback::RouterProcess>(
      config(), directory, listen.substr(0, listen.find(':')) + ":0");
  for (std::string line = process.program->read_log_line(); !line.empty();
       line = process.program->read_log_line()) {
    if (line.starts_with(kAnnouncement)) {
      process.admin_address =
          net::parse_address(line.substr(kAnnouncement.size())).value_or(sockaddr_in{});
      break;
    }
  }
  EXPECT_TRUE(process.admin_address.sin_port);
  EXPECT_TRUE(
      run_until([&] { return call(process, "GET /control/ready").starts_with("HTTP/1.1 200"); }));
  return process;
}

std::string ReplacementTest::call(const Process& process, const std::string& method_and_path) {
  auto socket = loopback::connect_to(process.admin_address);
  socket->write(method_and_path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  run_until([&] {
    socket->poll();
    return socket->is_closed;
  });
  return socket->received;
}

std::uint64_t ReplacementTest::metric(const std::string& text, const std::string& name) {
  const auto begin = text.find("\n" + name + ' ');
  return begin == std::string::npos ? 0 : std::stoull(text.substr(begin + name.size() + 2));
}

int ReplacementTest::connect() const {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

std::string ReplacementTest::encode_request(unsigned number, const std::string& id) {
  return loopback::encode_request(number, "asset",
                                  {{"txn", id}, {"item", id}, {"limit", "3000"}, {"ram", "90"}});
}

std::string ReplacementTest::id_of(std::uint64_t number) { return hex_id(number + 1); }

void ReplacementTest::send(Client& client, const std::string& id) {
  if (!client.socket) {
    const int fd = connect();
    if (fd < 0) {
      ++lost;
      return;
    }
    client.socket = std::make_unique<loopback::TestSocket>(fd);
    client.next_number = 1;
  }
  const auto number = static_cast<unsigned>(client.next_number++);
  client.open[number] = {id, net::unix_now()};
  client.socket->write(encode_request(number, id));
}

void ReplacementTest::read(Client& client) {
  if (!client.socket) return;
  client.socket->poll();
  for (const auto& response : loopback::decode_responses(client.socket->received)) {
    const auto request = client.open.find(response.id);
    if (request == client.open.end()) continue;  // counted by an earlier call
    ++(response.error.empty() ? served : response.error == "Busy" ? busy : failed);
    client.open.erase(request);
  }
  if (!client.socket->is_closed) return;
  client.socket.reset();
  for (const auto& [number, request] : std::exchange(client.open, {})) {
    if (net::unix_now() - request.sent_at > kCrossingTime) {
      ++lost;
    } else {
      ++resent;
      send(client, request.id);
    }
  }
}

void ReplacementTest::step_board() {
  if (board_listener >= 0) {
    for (int fd = ::accept(board_listener, nullptr, nullptr); fd >= 0;
         fd = ::accept(board_listener, nullptr, nullptr)) {
      board_connections.push_back(std::make_unique<loopback::TestSocket>(fd));
    }
  }
  for (auto& connection : board_connections) connection->poll();
}

// Returns whether the command is complete, so that it can be removed.
bool ReplacementTest::respond_if_due(std::size_t index, CacheCommand& command) {
  if (command.verb == "stats") {
    FakeCache::respond(command, "green");
    return true;
  }
  if (command.verb != "fetch") return true;
  const core::Time now = net::unix_now();
  const auto [due, is_new] = fetch_due_at.try_emplace(command.id, now + cache_latency);
  if (now < due->second) return false;
  fetch_due_at.erase(due);
  ++completed_fetches[index];
  const auto item = command.fields["name"];
  if (!command.fields["agelim"].empty()) age_limits[item] = command.fields["agelim"];
  const auto body = large_items.contains(item) ? std::string(kLargeResponseBytes, 'x') : "bytes";
  FakeCache::respond(command, "served", body);
  return true;
}

void ReplacementTest::step_cache(std::size_t index) {
  caches[index].poll();
  std::erase_if(caches[index].commands,
                [&](CacheCommand& command) { return respond_if_due(index, command); });
}

void ReplacementTest::step() {
  const core::Time now = net::unix_now();
  step_board();
  for (std::size_t i = 0; i < caches.size(); ++i) step_cache(i);
  for (auto& client : clients) {
    read(client);
    if (!is_sending || now < client.next_send_at) continue;
    client.next_send_at = now + kSendInterval;
    ++sent;
    send(client, hex_id(++last_request * kIdMultiplier));
  }
}

bool ReplacementTest::run_until(const std::function<bool()>& condition, core::Time timeout) {
  for (const core::Time end = net::unix_now() + timeout; net::unix_now() < end;) {
    step();
    if (condition()) return true;
    ::usleep(500);
  }
  return false;
}

void ReplacementTest::run_for(core::Time duration) {
  run_until([] { return false; }, duration);
}

void ReplacementTest::finish() {
  is_sending = false;
  EXPECT_TRUE(run_until([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const Client& client) { return client.open.empty(); });
  }));
  EXPECT_EQ(served + busy + failed + lost, sent);
}

}  // namespace alderspur::hot_restart

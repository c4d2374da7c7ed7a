#include "consensus/router_fleet.h"

#include <cctype>
#include <cstdio>

namespace fleet {
namespace {

namespace net = alderspur::net;
namespace consensus = alderspur::consensus;

constexpr Time kRequestInterval = 15'000;  // microseconds
constexpr std::size_t kResponsesPerConnection = 100;
constexpr int kProposalAttempts = 4;

// Returns true if the text is the final result of a proposal.
bool is_final(const std::string& result) {
  return result.starts_with("yes") || result.starts_with("no");
}

}  // namespace

// ---- DiscoveryServer

DiscoveryServer::DiscoveryServer() : listener_(loopback::bind_socket(address_)) {
  ::listen(listener_, 8);
  ::fcntl(listener_, F_SETFL, O_NONBLOCK);
}

DiscoveryServer::~DiscoveryServer() { ::close(listener_); }

std::string DiscoveryServer::address() const { return net::to_string(address_); }

void DiscoveryServer::poll() {
  for (int socket = 0; (socket = ::accept(listener_, nullptr, nullptr)) >= 0;) {
    watcher_ = std::make_unique<loopback::TestSocket>(socket);
  }
  if (watcher_) watcher_->poll();
}

// ---- Start

std::string RouterFleet::endpoint_list(const std::string& servers, int generation) const {
  std::string text = "format = 1\ngeneration = " + std::to_string(generation) +
                     "\nservers = " + std::to_string(servers.size()) +
                     "\n[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge\"\nhub = \"hub\"\n";
  const std::string weight = std::to_string(server_weight);
  for (const char server : servers) {
    text += "[[server]]\nid = \"s-";
    if (server == 'p' || server == 'q') {
      text += server;
      text += "\"\nrole = \"parent\"\nhub = \"hub\"\naddress = \"127.0.0.1:";
      text += server == 'p' ? "9" : "10";
      text += "\"\nweight = " + weight + "\nstate = \"in_service\"\ncell = 0\n";
      continue;
    }
    const bool is_draining = std::isupper(static_cast<unsigned char>(server)) != 0;
    const auto cache = static_cast<std::size_t>(server - (is_draining ? 'A' : 'a'));
    text += std::to_string(cache);
    text += "\"\nrole = \"cache\"\npoint = \"edge\"\naddress = \"" + caches.at(cache).address();
    text += "\"\nweight = " + weight + "\nstate = \"";
    text += is_draining ? "draining" : "in_service";
    text += "\"\ncell = 0\n";
  }
  return text;
}

bool RouterFleet::start(std::size_t routers, std::vector<std::size_t> voters) {
  cluster = std::make_unique<Rig>(routers);
  cluster->on_step = [this] { step(); };
  clients.resize(routers);
  rig::Setup setup;
  setup.voters = std::move(voters);
  setup.servers = endpoint_list(initial_servers);
  setup.routers = routers;
  setup.obligations = obligations;
  setup.without_consensus = has_no_consensus;
  setup.domain = domain;
  for (std::size_t i = 0; i < routers; ++i) {
    if (has_discovery) setup.board = discovery_servers.emplace_back().address();
    cluster->configure(i, setup);
  }
  cluster->start_all();
  if (!cluster->until([&] { return cluster->whole(cluster->all()); })) return false;
  return has_no_consensus || cluster->until([&] { return leader() < routers; });
}

// ---- Status of the routers

RouterFleet::Status RouterFleet::status(std::size_t router) {
  Status status;
  if (!cluster->runs(router)) return status;
  rapidjson::Document json;
  json.Parse(cluster->get(router, "/control/versions").c_str());
  if (json.HasParseError() || !json.IsObject() || !json.HasMember("acting")) return status;
  status.has_answered = true;
  status.is_leader = json["leads"].GetBool();
  status.active_number = json["acting"]["number"].GetUint64();
  status.is_conservative = std::string(json["acting"]["state"].GetString()) == "careful";
  status.newer_versions = json["heard"].GetUint64();
  status.role = json["part"].GetString();
  status.leader = json["leader"].GetString();
  status.total_share = json["share_all"].GetDouble();
  return status;
}

std::size_t RouterFleet::leader() {
  for (const std::size_t router : cluster->all()) {
    if (status(router).is_leader) return router;
  }
  return ~std::size_t{0};
}

bool RouterFleet::all_use(std::uint64_t number, const std::vector<std::size_t>& routers) {
  return std::all_of(routers.begin(), routers.end(), [&](std::size_t router) {
    const Status current = status(router);
    return current.active_number == number && !current.is_conservative;
  });
}

std::vector<std::size_t> RouterFleet::all_except(std::size_t router) const {
  auto routers = cluster->all();
  std::erase(routers, router);
  return routers;
}

// ---- Proposals

std::string RouterFleet::proposal_result(std::size_t router, const std::string& nonce) {
  const std::string line = nonce.substr(0, nonce.find('\n'));
  return cluster->get(router, "/control/versions/proposals/" + line);
}

std::uint64_t RouterFleet::propose(std::size_t router, const std::string& servers,
                                   const std::string& query) {
  const auto body = consensus::encode({{"servers", endpoint_list(servers)}});
  const auto nonce = cluster->put(router, "/control/versions" + query, body);
  last_result.clear();
  cluster->until([&] {
    last_result = proposal_result(router, nonce);
    return is_final(last_result);
  });
  return last_result.starts_with("yes") ? std::stoull(last_result.substr(4)) : 0;
}

std::uint64_t RouterFleet::propose_with_retries(std::size_t router, const std::string& servers) {
  for (int i = 0; i < kProposalAttempts; ++i) {
    if (const auto number = propose(router, servers)) return number;
  }
  return 0;
}

// ---- Fake servers and clients

void RouterFleet::step() {
  const Time now = net::unix_now();
  for (std::size_t cache = 0; cache < kCacheCount; ++cache) serve(cache, now);
  for (auto& server : discovery_servers) server.poll();
  if (!is_sending) return;
  for (std::size_t router = 0; router < clients.size(); ++router) {
    receive_responses(router, now);
    send_request(router, now);
  }
}

void RouterFleet::serve(std::size_t cache, Time now) {
  loopback::FakeCache& fake_cache = caches.at(cache);
  fake_cache.poll();
  for (auto& command : fake_cache.commands) {
    if (command.verb == "stats") loopback::FakeCache::respond(command, "green");
    if (command.verb == "fetch") respond_to_fetch(cache, command, now);
  }
  fake_cache.commands.clear();
}

void RouterFleet::respond_to_fetch(std::size_t cache, loopback::CacheCommand& command, Time now) {
  last_request_at.at(cache) = now;
  ++requests_received.at(cache);
  auto& fields = command.fields;
  if (fields.contains("agelim")) age_limits[fields["name"]] = fields["agelim"];
  const auto next = fields.find("next");
  const bool is_from_second_parent =
      next != fields.end() && (next->second == "s-q" || next->second == "127.0.0.1:10");
  if (is_from_second_parent) ++fills_from_second_parent;
  loopback::FakeCache::respond(command, is_cache_broken.at(cache) ? "crashed" : "served", "bytes");
}

void RouterFleet::receive_responses(std::size_t router, Time now) {
  Client& client = clients[router];
  if (!client.socket) return;
  client.socket->poll();
  const auto responses = loopback::decode_responses(client.socket->received);
  for (std::size_t i = client.responses_seen; i < responses.size(); ++i) {
    const bool is_served = responses[i].error.empty();
    ++(is_served ? served_count : rejected_count);
    if (on_response) on_response(router, now - client.sent_at[responses[i].id], is_served);
  }
  client.responses_seen = responses.size();
  // The next request opens a new connection.
  if (client.socket->is_closed || client.responses_seen > kResponsesPerConnection) client = {};
}

bool RouterFleet::connect(std::size_t router) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const auto address = cluster->client_address(router);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    ::close(socket);
    return false;
  }
  clients[router].socket = std::make_unique<loopback::TestSocket>(socket);
  return true;
}

void RouterFleet::send_request(std::size_t router, Time now) {
  Client& client = clients[router];
  if (now < client.next_request_at) return;
  client.next_request_at = now + (request_interval ? request_interval(router) : kRequestInterval);
  if (!client.socket && !connect(router)) return;
  // Each request is for a different object. Fibonacci hashing spreads the ids.
  ++requests_sent;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(requests_sent * 0x9e3779b97f4a7c15ULL));
  ++client.last_id;
  client.sent_at[client.last_id] = now;
  client.socket->write(
      loopback::encode_request(static_cast<unsigned>(client.last_id), "asset",
                               {{"txn", id}, {"item", id}, {"limit", "3000"}, {"ram", "90"}}));
}

}  // namespace fleet

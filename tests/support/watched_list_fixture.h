// A fixture for tests of the watched server list of a running router.
#pragma once

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/config.h"
#include "control/endpoint_controller.h"
#include "support/fake_cache.h"
#include "support/rpc_messages.h"
#include "support/test_socket.h"

namespace watched_list {

using namespace alderspur;
namespace fs = std::filesystem;
using loopback::FakeCache;

/// Runs a router whose servers come from a watched path, three fake caches, a fake origin, and a
/// client that sends requests continuously.
class WatchedListTest : public ::testing::Test {
 protected:
  /// The maximum delay from a write of the list until it is active, in microseconds.
  static constexpr core::Time kMaxDelay = 1'000'000;

  void SetUp() override {
    char name[] = "/tmp/alderspur-watch-XXXXXX";
    folder = ::mkdtemp(name);
    path = folder + "/servers.toml";
    settings.list = path;
    settings.endpoint_set.damping.is_enabled = false;
    settings.change_limits.max_lost_fraction = 0.7;
  }
  void TearDown() override {
    stop();
    ::chmod(path.c_str(), 0600);
    fs::remove_all(folder);
  }
  struct Entry {
    std::string id;
    const FakeCache* cache;
    std::string state = "in_service";
    std::string address = {};  // empty: use the address of the cache
  };
  /// Returns the text of a list with these caches and the origin.
  std::string list(std::uint64_t generation, const std::vector<Entry>& entries,
                   const std::string& head = "") {
    std::string text = "format = 1\ngeneration = " + std::to_string(generation) +
                       "\nservers = " + std::to_string(entries.size() + 1) + "\n" + head +
                       "[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge\"\nhub = \"hub\"\n";
    for (const auto& entry : entries) text += server(entry, "cache", "point = \"edge\"");
    return text + server({"o", &origin, "in_service", {}}, "origin", "hub = \"hub\"");
  }
  static std::string server(const Entry& entry, const char* role, const char* location) {
    return "[[server]]\nid = \"" + entry.id + "\"\nrole = \"" + role + "\"\n" + location +
           "\naddress = \"" + (entry.address.empty() ? entry.cache->address() : entry.address) +
           "\"\nweight = 4.0\nstate = \"" + entry.state + "\"\ncell = 0\n";
  }
  static void write(const std::string& to, const std::string& text) {
    std::ofstream(to, std::ios::binary | std::ios::trunc) << text;
  }
  /// Replaces the list atomically by renaming a new file to its path.
  void replace_list(const std::string& text) {
    write(path + ".next", text);
    fs::rename(path + ".next", path);
  }

  std::string known_events;  // events of the discovery server in the initial configuration
  void start() {
    auto config = config::read(
        R"({"name":"n","seed":"7","listen":"127.0.0.1:0","known":{"rev":1,"notices":[)" +
        known_events +
        R"(]},"settings":{"azs":["hub","edge"],"zone":1,"shapes":["small","origin"],"replicas-of-me":1,
      "ceilings":{"dial-timeout":5000000,"idle-close":30000000,"max-attempts":4,"may-cancel":true,
        "streams-per-conn":32},
      "classes":[{"name":"asset","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"}],
      "domain":{"lifetime-by-class":[60000000],"stale-for":[0],"uncached":[false],"source-kind":1,
        "upper-kind":-1,"instances-by-zone":[0,1],"purge-settles":6000000,"stream-kb-per-s":9000}}})");
    log = std::make_unique<log::Log>(log::Settings{},
                                     [this](const std::string& line) { lines.push_back(line); });
    router = std::make_unique<edge_router::EdgeRouter>(
        std::move(config), [](auto&, auto&) {},
        [&](edge_router::EdgeRouter& edge_router) {
          auto created = std::make_unique<control::EndpointController>(edge_router, settings, *log);
          controller = created.get();
          return created;
        });
    controller->start();
    router->loop().on_turn([this] { router->turn(); });
    client = loopback::connect_to(router->front().address());
  }
  void stop() {
    client.reset();
    if (controller) controller->finish();
    controller = nullptr;
    router.reset();
    log.reset();
  }
  /// Runs the router and its peers until the condition holds. Meanwhile the client sends requests,
  /// each for a new object. Returns false after the timeout, in microseconds.
  bool run_until(const std::function<bool()>& condition, core::Time timeout = 20'000'000) {
    for (const core::Time end = net::unix_now() + timeout; net::unix_now() < end;) {
      ev_run(router->loop().raw(), EVRUN_NOWAIT);
      poll_peers();
      if (condition()) return true;
      ::usleep(200);
    }
    return false;
  }
  void run_for(core::Time time) {
    run_until([] { return false; }, time);
  }
  void poll_peers() {
    client->poll();
    // A request is served, or rejected while the policy still measures the capacity of the caches.
    for (const std::string mark : {"bytes of", "Busy"}) {
      for (auto at = client->received.find(mark); at != std::string::npos;
           at = client->received.find(mark)) {
        client->received.replace(at, mark.size(), mark.size(), '#');
        ++responses;
      }
    }
    if (client->received.size() > 4096) client->received.erase(0, client->received.size() - 64);
    if (is_sending && requests - responses < 8 && net::unix_now() > next_request_at) {
      ++requests;
      next_request_at = net::unix_now() + 1'000;
      char txn[17];
      char item[17];
      std::snprintf(txn, sizeof txn, "%016zx", requests);
      std::snprintf(item, sizeof item, "%016zx", requests * 7919);
      client->write(loopback::encode_request(static_cast<unsigned>(requests), "asset",
                                             {{"txn", txn}, {"item", item}}));
    }
    for (auto* cache : {&caches[0], &caches[1], &caches[2], &origin, &unlisted}) {
      cache->poll();
      for (; served[cache] < cache->commands.size(); ++served[cache]) {
        const auto& command = cache->commands[served[cache]];
        if (command.verb == "fetch") {
          FakeCache::respond(command, "served", "bytes of " + command.id,
                             loopback::fresh_copy_fields("t"));
        }
      }
    }
  }
  /// Checks that each request receives exactly one response.
  void expect_all_responses() {
    is_sending = false;
    EXPECT_TRUE(run_until([&] { return responses == requests; }))
        << responses << " of " << requests;
    run_for(100'000);
    EXPECT_EQ(responses, requests);
    is_sending = true;
  }
  bool has_logged(const std::string& text) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](auto& line) { return line.find(text) != std::string::npos; });
  }
  bool is_active(std::uint64_t generation) {
    return controller->endpoints().current_list()->generation == generation;
  }
  /// Makes a change and waits until the list of this generation is active. Returns the time that
  /// this took, in microseconds.
  core::Time time_until_active(const std::function<void()>& make_change, std::uint64_t generation) {
    const core::Time started_at = net::unix_now();
    make_change();
    EXPECT_TRUE(run_until([&] { return is_active(generation); }))
        << generation << (lines.empty() ? "" : lines.back());
    return net::unix_now() - started_at;
  }

  std::string folder;
  std::string path;
  settings::Membership settings;
  std::array<FakeCache, 3> caches;
  FakeCache origin;
  FakeCache unlisted;  // a server that no active list contains
  std::unique_ptr<log::Log> log;
  std::unique_ptr<edge_router::EdgeRouter> router;
  control::EndpointController* controller = nullptr;
  std::unique_ptr<loopback::TestSocket> client;
  std::vector<std::string> lines;
  std::map<FakeCache*, std::size_t> served;
  bool is_sending = true;
  std::size_t requests = 0;
  std::size_t responses = 0;
  core::Time next_request_at = 0;
};

}  // namespace watched_list

// The edge router: wires configuration, core, fronts, caches and board together.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <string>

#include "config/config.h"
#include "core/engine.h"
#include "net/loop.h"
#include "platform/board.h"
#include "platform/caches.h"
#include "platform/rpc_front.h"
#include "signed/http_front.h"
#include "xds/server.h"

using namespace alderspur;

namespace {

constexpr core::Time kLinger = 700'000;  // after SIGTERM clients still come and ask for this long

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

sockaddr_in address(const std::string& text, const char* what) {
  const auto at = net::parse_address(text);
  if (!at) throw config::Error(std::string("no usable ") + what + " address: '" + text + "'");
  return *at;
}

void print(const core::Counters& c) {
  const auto n = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
  std::fprintf(
      stderr,
      "counters: taken %llu sent %llu probes %llu | served %llu (unchanged %llu) refused %llu failed %llu "
      "withdrawn %llu | attempts ok %llu miss %llu full %llu error %llu timeout %llu unconnected %llu "
      "reset %llu cancelled %llu | late %llu stale %llu purges %llu fleet %llu | bad frames %llu requests "
      "%llu answers %llu tokens %llu, accepts put off %llu, slow readers %llu, silent links %llu, silent "
      "clients %llu, idle clients %llu, over their share %llu\n",
      n(c.taken), n(c.sent), n(c.probes), n(c.served), n(c.unchanged), n(c.refused), n(c.failed),
      n(c.withdrawn), n(c.attempts_ok), n(c.attempts_miss), n(c.attempts_full), n(c.attempts_error),
      n(c.attempts_timeout), n(c.attempts_unconnected), n(c.attempts_reset), n(c.attempts_cancelled),
      n(c.late_answers), n(c.stale_answers), n(c.purges), n(c.fleet_updates), n(c.bad_frames),
      n(c.bad_requests), n(c.bad_answers), n(c.bad_tokens), n(c.accepts_put_off), n(c.slow_readers),
      n(c.silent_links), n(c.silent_clients), n(c.idle_clients), n(c.too_much));
}

// Danger: an operator's half-written file must not end a router under load. Only the board's address can
// change while it runs; the rest describes the process itself and is named so that nobody waits for it.
void reload(const std::string& path, const config::Config& running, platform::Board& board) {
  try {
    const auto renewed = config::read_file(path);
    if (!board.move(renewed)) throw config::Error("no usable board address: '" + renewed.board + "'");
    std::fprintf(stderr, "settings read anew, board at %s\n", renewed.board.c_str());
    if (renewed.memory_mb != running.memory_mb || renewed.sockets != running.sockets ||
        renewed.names.classes != running.names.classes)
      std::fprintf(stderr, "limits and classes have changed too: they hold from the next start\n");
  } catch (const std::exception& e) {
    std::fprintf(stderr, "reload: %s; the settings stay as they were\n", e.what());
  }
}

int serve() {
  const std::string path = variable("RELAY_CONFIG");
  if (path.empty()) throw config::Error("RELAY_CONFIG names no configuration");
  auto config = config::read_file(path);
  if (const auto listen = variable("RELAY_LISTEN"); !listen.empty()) config.listen = listen;
  const std::string signed_path = variable("ALDERSPUR_SIGNED");
  const auto signed_settings = config::read_signed(
      config::read_text(signed_path.empty() ? "deploy/signed.json" : signed_path), config);
  if (signed_settings.enabled) address(signed_settings.listen, "signed front's listen");
  const std::string xds_path = variable("ALDERSPUR_XDS");
  const auto xds_settings =
      config::read_xds(config::read_text(xds_path.empty() ? "deploy/xds.json" : xds_path));
  if (xds_settings.enabled) address(xds_settings.listen, "xDS server's listen");

  core::Deadlines deadlines;
  net::Loop loop(deadlines);
  core::Engine engine(config.settings, config.seed, deadlines, net::unix_now);
  platform::Caches caches(loop, deadlines, engine, config);
  engine.attach(caches);
  platform::Board board(loop, deadlines, engine, caches, config);
  engine.run();  // what is known comes before the first status
  platform::RpcFront front(loop, deadlines, engine, address(config.listen, "listen"), config);
  std::unique_ptr<signed_urls::HttpFront> links;
  if (signed_settings.enabled)
    links = std::make_unique<signed_urls::HttpFront>(loop, deadlines, engine, config, signed_settings,
                                                     net::unix_now);
  std::unique_ptr<xds::Server> discovery;
  if (xds_settings.enabled)
    discovery = std::make_unique<xds::Server>(loop, deadlines, engine, caches, xds_settings, 32);
  std::fprintf(stderr, "platform clients on %s\n", net::to_string(front.address()).c_str());
  if (links) std::fprintf(stderr, "signed links on %s\n", net::to_string(links->address()).c_str());
  if (discovery) std::fprintf(stderr, "xDS on %s\n", net::to_string(discovery->address()).c_str());

  core::Time leave_at = 0;
  const auto print_counters = [&] {
    std::fprintf(stderr, "open %zu, connections to servers %zu; ", engine.held(), caches.links());
    print(engine.counters());
  };
  loop.on_signal(SIGTERM, [&] {
    if (leave_at) return;
    leave_at = engine.now() + kLinger;
    deadlines.set(leave_at, [&] {
      if (links) links->begin_leaving(), links->stop_listening();
    });
  });
  loop.on_signal(SIGHUP, [&] { reload(path, config, board); });
  loop.on_signal(SIGINT, [&] { loop.stop(); });
  loop.on_signal(SIGUSR1, print_counters);
  loop.on_turn([&] {
    deadlines.sweep(engine.now());
    engine.run();
    front.end_turn();
    if (links) links->end_turn();
    if (discovery) discovery->end_turn();
    caches.end_turn();
    board.end_turn();
    engine.run();  // clients and servers let go of just now
    if (!leave_at || engine.now() < leave_at || engine.held() > 0 || !front.idle()) return;
    if (links && !links->idle()) return;
    loop.stop();
  });
  loop.run();
  print_counters();
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the loop watches for it
  try {
    return serve();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "alderspur: %s\n", e.what());
    return 1;
  }
}

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

#include "app/cluster_service.h"
#include "app/commands.h"
#include "app/consensus_service.h"
#include "app/endpoint_controller.h"
#include "app/replication_service.h"
#include "app/routes.h"
#include "platform/edge_router.h"
#include "settings/settings.h"
#include "signed_url/http_front.h"
#include "xds/server.h"

namespace alderspur::app {
namespace {

constexpr std::size_t kProxiesMost = 32;

int refuse(const diagnostics::Findings& findings) {
  for (const auto& f : findings.list()) {
    std::fprintf(stderr, "%s\n", diagnostics::to_string(f).c_str());
  }
  return kFinding;
}

void serve(const settings::Settings& settings, config::Config config, log::Log& log) {
  const auto say = [&log](const std::string& event, const std::string& text) {
    log.record("router", log::Level::info, event, {{"text", text}});
  };
  EndpointController* keeper = nullptr;
  platform::EdgeRouter::MakeEndpointSink make_sink;
  if (settings.membership) {
    make_sink = [&](platform::EdgeRouter& node) {
      auto made = std::make_unique<EndpointController>(node, *settings.membership, log);
      keeper = made.get();
      return made;
    };
  }
  platform::EdgeRouter node(std::move(config), say, make_sink);
  node.set_config_path(settings.config);
  node.on_counters([&] {
    std::vector<log::Field> fields{{"open", node.engine().open_request_count()},
                                   {"links", node.upstream_pool().connection_count()}};
    for (const auto& [name, value] : core::named_counters(node.engine().counters())) {
      fields.emplace_back(name, value);
    }
    log.record("router", log::Level::info, "counters", fields);
  });
  std::unique_ptr<Routes> routes;
  if (!settings.routes_file.empty()) {
    routes = std::make_unique<Routes>(node, settings.routes_file, log);
  }
  std::unique_ptr<signed_url::HttpFront> links;
  if (settings.links) {
    links = std::make_unique<signed_url::HttpFront>(node.loop(), node.deadlines(), node.engine(),
                                                    node.config(), *settings.links, net::unix_now,
                                                    routes.get());
    node.add({[&] { links->end_turn(); }, [&] { links->leave(); }, [&] { return links->idle(); }});
    log.record("signed", log::Level::info, "listening",
               {{"address", net::to_string(links->address())}});
  }
  std::unique_ptr<xds::Server> discovery;
  if (settings.xds) {
    discovery = std::make_unique<xds::Server>(node.loop(), node.deadlines(), node.engine(),
                                              node.upstream_pool(), *settings.xds, kProxiesMost);
    node.add({[&] { discovery->end_turn(); }, [&] { discovery->stop_listening(); }, {}});
    log.record("xds", log::Level::info, "listening",
               {{"address", net::to_string(discovery->address())}});
  }
  std::unique_ptr<ClusterService> cluster;
  if (settings.cluster) cluster = std::make_unique<ClusterService>(node, *settings.cluster, log);
  std::unique_ptr<ReplicationService> replica;
  if (cluster && settings.cluster->replicate) {
    replica = std::make_unique<ReplicationService>(node, *cluster, *settings.cluster, log);
  }
  std::unique_ptr<ConsensusService> versions;
  if (cluster && settings.cluster->agreement) {
    ConsensusService::Files files{
        settings.membership ? settings.membership->list : std::string(), settings.routes_file,
        [&] {
          if (keeper) keeper->look();
          if (routes) routes->reload();
        },
        [&]() -> std::uint64_t {
          const auto list = keeper ? keeper->fleet().current_list() : nullptr;
          return list ? list->generation : 0;
        }};
    versions = std::make_unique<ConsensusService>(node, *cluster, *settings.cluster,
                                                  std::move(files), log);
  }
  if (keeper) {
    keeper->start();
  }
  node.on_reload([&] {
    if (keeper) keeper->look();
    if (routes) routes->reload();
  });
  node.loop().on_signal(SIGUSR1, [&] {
    if (keeper) {
      log.record("membership", log::Level::info, "standing", {{"text", keeper->summary()}});
    }
    log.flush();
  });
  node.run();
  if (!node.settle() || (versions && !versions->settle()) ||
      (replica && !replica->settle())) {  // a disk that hangs must not hold the end of the process
    log.record("router", log::Level::warning, "shared_folder",
               {{"reason", "hangs, ending without it"}});
    log.flush();
    ::_exit(kYes);
  }
  if (keeper) {
    keeper->finish();
    log.record("membership", log::Level::info, "standing", {{"text", keeper->summary()}});
  }
}

}  // namespace

int run(const std::string& file) {
  std::signal(SIGPIPE, SIG_IGN);
  net::hold_signals();
  try {
    diagnostics::Findings findings;
    const auto folder = std::filesystem::path(file).parent_path().string();
    auto settings = settings::read(config::read_text(file), file, folder, findings);
    if (!findings.good()) return refuse(findings);
    auto config = config::read_file(settings.config);
    if (!settings.listen.empty()) config.listen = settings.listen;
    if (!settings.operators.empty()) config.operator_listen = settings.operators;
    if (const char* shared = std::getenv("TMPDIR")) config.state_folder = shared;
    settings::resolve(settings, config, findings);
    if (!findings.good()) return refuse(findings);
    log::Log log(settings.log);
    try {
      serve(settings, std::move(config), log);
    } catch (const std::exception& e) {
      log.record("router", log::Level::error, "cannot_start", {{"reason", e.what()}});
      return kFinding;
    }
    return kYes;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "alderspur: %s\n", e.what());
    return kFinding;
  }
}

}  // namespace alderspur::app

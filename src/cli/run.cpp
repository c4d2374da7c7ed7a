// `alderspur run`: reads the settings, creates the router with all subsystems that they enable, and
// runs it on this thread until its graceful shutdown is complete.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.h"
#include "cli/printing.h"
#include "control/cluster_service.h"
#include "control/consensus_service.h"
#include "control/endpoint_controller.h"
#include "control/replication_service.h"
#include "control/routes.h"
#include "edge_router/edge_router.h"
#include "settings/settings.h"
#include "signed_url/http_front.h"
#include "xds/server.h"

namespace alderspur::cli {
namespace {

/// Maximum number of proxies that are connected to the discovery service at the same time.
constexpr std::size_t kMaxProxies = 32;

/// A router with all subsystems that its settings enable. The members are constructed in the order
/// of their declaration and destroyed in the reverse order; each member uses only those declared
/// before it.
class RunningRouter {
 public:
  /// Throws std::exception if a subsystem cannot start, with the reason in one line.
  RunningRouter(const settings::Settings& settings, config::Config config, log::Log& log);
  RunningRouter(const RunningRouter&) = delete;
  RunningRouter& operator=(const RunningRouter&) = delete;

  /// Runs the router. Returns after a stop has been requested and the graceful shutdown is
  /// complete.
  void run();

 private:
  edge_router::EdgeRouter::LogSink log_sink();
  edge_router::EdgeRouter::MakeEndpointSink endpoint_sink_factory();
  void create_routes();
  void create_signed_url_front();
  void create_discovery_server();
  void create_cluster();
  void create_replication();
  void create_consensus();
  void handle_signals();
  void log_counters();
  void log_endpoint_summary();
  void reload_files();
  std::uint64_t endpoint_list_generation() const;
  bool stop_workers();
  void shut_down();

  const settings::Settings& settings_;
  log::Log& log_;
  /// Owned by router_; null without membership.
  control::EndpointController* endpoint_controller_ = nullptr;
  edge_router::EdgeRouter router_;
  std::unique_ptr<control::Routes> routes_;
  std::unique_ptr<signed_url::HttpFront> signed_url_front_;
  std::unique_ptr<xds::Server> discovery_server_;
  std::unique_ptr<control::ClusterService> cluster_;
  std::unique_ptr<control::ReplicationService> replication_;
  std::unique_ptr<control::ConsensusService> consensus_;
};

RunningRouter::RunningRouter(const settings::Settings& settings, config::Config config,
                             log::Log& log)
    : settings_(settings),
      log_(log),
      router_(std::move(config), log_sink(), endpoint_sink_factory()) {
  router_.set_config_path(settings_.config_file);
  router_.set_counters_report([this] { log_counters(); });
  create_routes();
  create_signed_url_front();
  create_discovery_server();
  create_cluster();
  create_replication();
  create_consensus();
  if (endpoint_controller_) endpoint_controller_->start();
  handle_signals();
}

edge_router::EdgeRouter::LogSink RunningRouter::log_sink() {
  return [&log = log_](const std::string& event, const std::string& text) {
    log.record("router", log::Level::info, event, {{"text", text}});
  };
}

edge_router::EdgeRouter::MakeEndpointSink RunningRouter::endpoint_sink_factory() {
  if (!settings_.membership) return {};
  return [this](edge_router::EdgeRouter& router) {
    auto controller =
        std::make_unique<control::EndpointController>(router, *settings_.membership, log_);
    endpoint_controller_ = controller.get();
    return controller;
  };
}

void RunningRouter::create_routes() {
  if (settings_.routes_file.empty()) return;
  routes_ = std::make_unique<control::Routes>(router_, settings_.routes_file, log_);
}

void RunningRouter::create_signed_url_front() {
  if (!settings_.signed_url) return;
  signed_url_front_ = std::make_unique<signed_url::HttpFront>(
      router_.loop(), router_.deadlines(), router_.engine(), router_.config(),
      *settings_.signed_url, net::unix_now, routes_.get());
  router_.add({[this] { signed_url_front_->end_turn(); }, [this] { signed_url_front_->drain(); },
               [this] { return signed_url_front_->is_drained(); }});
  log_.record("signed", log::Level::info, "listening",
              {{"address", net::to_string(signed_url_front_->address())}});
}

void RunningRouter::create_discovery_server() {
  if (!settings_.xds) return;
  discovery_server_ =
      std::make_unique<xds::Server>(router_.loop(), router_.deadlines(), router_.engine(),
                                    router_.upstream_pool(), *settings_.xds, kMaxProxies);
  router_.add({[this] { discovery_server_->end_turn(); },
               [this] { discovery_server_->stop_listening(); },
               {}});
  log_.record("xds", log::Level::info, "listening",
              {{"address", net::to_string(discovery_server_->address())}});
}

void RunningRouter::create_cluster() {
  if (!settings_.cluster) return;
  cluster_ = std::make_unique<control::ClusterService>(router_, *settings_.cluster, log_);
}

void RunningRouter::create_replication() {
  if (!cluster_ || !settings_.cluster->replicates_bans) return;
  replication_ =
      std::make_unique<control::ReplicationService>(router_, *cluster_, *settings_.cluster, log_);
}

void RunningRouter::create_consensus() {
  if (!cluster_ || !settings_.cluster->agrees_on_versions) return;
  control::VersionFiles files{settings_.membership ? settings_.membership->list : std::string(),
                              settings_.routes_file, [this] { reload_files(); },
                              [this] { return endpoint_list_generation(); }};
  consensus_ = std::make_unique<control::ConsensusService>(router_, *cluster_, *settings_.cluster,
                                                           std::move(files), log_);
}

void RunningRouter::handle_signals() {
  router_.on_reload([this] { reload_files(); });
  router_.loop().on_signal(SIGUSR1, [this] {
    log_endpoint_summary();
    log_.flush();
  });
}

void RunningRouter::log_counters() {
  std::vector<log::Field> fields{{"open", router_.engine().open_request_count()},
                                 {"links", router_.upstream_pool().connection_count()}};
  for (const auto& [name, value] : core::named_counters(router_.engine().counters())) {
    fields.emplace_back(name, value);
  }
  log_.record("router", log::Level::info, "counters", fields);
}

void RunningRouter::log_endpoint_summary() {
  if (!endpoint_controller_) return;
  log_.record("membership", log::Level::info, "standing",
              {{"text", endpoint_controller_->summary()}});
}

void RunningRouter::reload_files() {
  if (endpoint_controller_) endpoint_controller_->reload();
  if (routes_) routes_->reload();
}

/// Returns the generation of the active endpoint list; 0 if there is none.
std::uint64_t RunningRouter::endpoint_list_generation() const {
  if (!endpoint_controller_) return 0;
  const auto list = endpoint_controller_->endpoints().current_list();
  return list ? list->generation : 0;
}

/// Stops the worker threads, after their last saves. Returns false if one of them is blocked by its
/// disk; only _exit() can then end the process.
bool RunningRouter::stop_workers() {
  // The others are stopped, and save, even if one of them is blocked.
  bool have_stopped = router_.stop_workers();
  if (consensus_) have_stopped = consensus_->stop_workers() && have_stopped;
  if (replication_) have_stopped = replication_->stop_worker() && have_stopped;
  if (endpoint_controller_) have_stopped = endpoint_controller_->finish() && have_stopped;
  return have_stopped;
}

void RunningRouter::run() {
  router_.run();
  shut_down();
}

void RunningRouter::shut_down() {
  if (!stop_workers()) {
    log_.record("router", log::Level::warning, "shared_folder",
                {{"reason", "a worker is blocked by its disk; exiting without stopping it"}});
    log_.flush();
    ::_exit(kSuccess);
  }
  log_endpoint_summary();
}

/// The settings and the configuration file that they refer to, with the overrides applied.
struct LoadedSettings {
  settings::Settings settings;
  config::Config config;
};

/// Loads the settings and the configuration. Returns nullopt if the findings contain errors. Throws
/// config::Error if a file cannot be read or the configuration is invalid.
std::optional<LoadedSettings> load_settings(const std::string& file,
                                            diagnostics::Findings& findings) {
  LoadedSettings loaded;
  const auto folder = std::filesystem::path(file).parent_path().string();
  loaded.settings = settings::read(config::read_text(file), file, folder, findings);
  if (!findings.is_ok()) return std::nullopt;
  loaded.config = config::read_file(loaded.settings.config_file);
  config::Config& config = loaded.config;
  if (!loaded.settings.listen.empty()) config.listen = loaded.settings.listen;
  if (!loaded.settings.operators_address.empty()) {
    config.operators_address = loaded.settings.operators_address;
  }
  if (const char* shared = std::getenv("TMPDIR")) config.shared_directory = shared;
  settings::resolve(loaded.settings, config, findings);
  if (!findings.is_ok()) return std::nullopt;
  return loaded;
}

/// Runs the router until it stops and returns the exit code.
int run_router(LoadedSettings loaded) {
  log::Log log(loaded.settings.log);
  try {
    RunningRouter router(loaded.settings, std::move(loaded.config), log);
    router.run();
  } catch (const std::exception& error) {
    log.record("router", log::Level::error, "cannot_start", {{"reason", error.what()}});
    return kFinding;
  }
  return kSuccess;
}

}  // namespace

int run(const std::string& file) {
  std::signal(SIGPIPE, SIG_IGN);
  net::hold_signals();
  try {
    diagnostics::Findings findings;
    auto loaded = load_settings(file, findings);
    if (!loaded) {
      print_findings(stderr, findings);
      return kFinding;
    }
    return run_router(std::move(*loaded));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "alderspur: %s\n", error.what());
    return kFinding;
  }
}

}  // namespace alderspur::cli

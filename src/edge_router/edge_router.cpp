#include "edge_router/edge_router.h"

#include <algorithm>
#include <csignal>

#include "admin/process_memory.h"

namespace alderspur::edge_router {
namespace {

/// The longest time that a shutdown allows for a client's request.
constexpr core::Time kMaxClientWait = 3'000'000;
/// For this time after SIGTERM, new clients are accepted and new requests are forwarded as before.
constexpr core::Time kLameDuckTime = 700'000;
/// The time reserved for sending the last responses before the process may be killed.
constexpr core::Time kFinalResponseMargin = 200'000;
/// Remaining client connections are closed this time after the last responses.
constexpr core::Time kCloseAllDelay = 100'000;

/// Parses a listen address. Throws config::Error if it is malformed.
sockaddr_in listen_address(const std::string& text) {
  const auto address = net::parse_address(text);
  if (!address) throw config::Error("'" + text + "' is not a valid listen address");
  return *address;
}

}  // namespace

EdgeRouter::EdgeRouter(config::Config config, LogSink log, const MakeEndpointSink& make_sink)
    : config_(std::move(config)),
      log_(std::move(log)),
      loop_(deadlines_),
      engine_(config_.settings, config_.seed, deadlines_, net::unix_now),
      upstream_pool_(loop_, deadlines_, engine_, config_),
      sink_(make_sink ? make_sink(*this)
                      : std::make_unique<discovery::DirectEndpointSink>(upstream_pool_, engine_)),
      discovery_client_(loop_, deadlines_, engine_, *sink_, config_),
      hot_restart_(make_hot_restart()),
      front_(loop_, deadlines_, start_engine(), listen_address(config_.listen), config_) {
  engine_.invalid_input_log().set_sink(log_);
  log_("platform_front", "platform clients on " + net::to_string(front_.address()));
  if (hot_restart_) start_admin();
}

std::unique_ptr<hot_restart::HotRestartCoordinator> EdgeRouter::make_hot_restart() {
  using hot_restart::HotRestartCoordinator;
  if (config_.operators_address.empty()) return nullptr;
  HotRestartCoordinator::Callbacks callbacks{
      [this] {
        return HotRestartCoordinator::Load{engine_.counters().admitted,
                                           engine_.concurrency_limit()};
      },
      [this](const hot_restart::BanChange& change) { apply_ban(change); },
      [this](const hot_restart::PeerSummary& peers, double share) { update_peers(peers, share); }};
  return std::make_unique<HotRestartCoordinator>(
      loop_, deadlines_, [this] { return engine_.now(); }, config_.shared_directory, config_.listen,
      log_, std::move(callbacks));
}

// The endpoints and bans of the configuration and the shared directory must be in effect before the
// front accepts its first client.
core::Engine& EdgeRouter::start_engine() {
  engine_.attach(upstream_pool_);
  engine_.run();
  return engine_;
}

void EdgeRouter::start_admin() {
  admin::RouterAdminHandler::RouterState state{
      [this] { return drain_starts_at_ > 0; },
      [this](std::string_view server) {
        return upstream_pool_.is_listed(config::server_id(server));
      }};
  admin_handler_ = std::make_unique<admin::RouterAdminHandler>(
      deadlines_, engine_, *hot_restart_, config_.names.classes, std::move(state));
  admin_server_ = std::make_unique<admin::AdminServer>(
      loop_, deadlines_, listen_address(config_.operators_address), *admin_handler_,
      [this] { return engine_.now(); });
  is_constructed_ = true;
  log_("operator_front", "operators on " + net::to_string(admin_server_->address()));
  if (hot_restart_->peers().count > 0) {
    update_peers(hot_restart_->peers(), hot_restart_->share());
  }
  hot_restart_->start_serving();
}

// The processes of this router share its budgets and limits. A successor takes over this process's
// clients once the shutdown of this process has begun.
void EdgeRouter::update_peers(const hot_restart::PeerSummary& peers, double share) {
  engine_.set_budget_share({share, peers.concurrency_limit, share_of_all_, share_of_location_});
  upstream_pool_.set_process_count(peers.count + 1);
  if (!is_constructed_) return;  // the front does not exist yet
  front_.set_process_count(peers.count + 1);
  if (!drain_starts_at_) return;
  if (peers.has_successor) {
    front_.start_handoff(drain_starts_at_ - kLameDuckTime + drain_time());
  } else {
    front_.cancel_handoff();
  }
}

// ---- Operators' calls ----

void EdgeRouter::set_cluster_view(std::function<std::string()> view) {
  if (admin_handler_) admin_handler_->set_cluster_view(std::move(view));
}

void EdgeRouter::set_versions_handler(admin::RouterAdminHandler::VersionsHandler handler,
                                      std::size_t max_body_bytes) {
  if (admin_handler_) admin_handler_->set_versions_handler(std::move(handler), max_body_bytes);
}

void EdgeRouter::set_readiness_condition(std::function<bool()> may_be_ready) {
  if (admin_handler_) admin_handler_->set_readiness_condition(std::move(may_be_ready));
}

void EdgeRouter::set_ban_replication(
    std::function<admin::BanReplication(const std::string& server)> replication) {
  if (admin_handler_) admin_handler_->set_ban_replication(std::move(replication));
}

// ---- Bans and shares ----

void EdgeRouter::apply_ban(const hot_restart::BanChange& change) {
  const auto server = config::server_id(change.server);
  engine_.set_ban(server, change.is_banned);
  if (change.is_banned) upstream_pool_.return_unsent(server);
  if (ban_callback_) ban_callback_(change);
}

void EdgeRouter::ban(const hot_restart::BanChange& change) {
  if (hot_restart_) {
    hot_restart_->change_ban(change,
                             [](const std::optional<hot_restart::SharedDirectoryError>&) {});
  } else {
    engine_.set_ban(config::server_id(change.server), change.is_banned);
  }
}

std::vector<std::string> EdgeRouter::bans() const {
  if (!hot_restart_) return {};
  const auto& names = hot_restart_->saved_bans();
  return {names.begin(), names.end()};
}

void EdgeRouter::set_cluster_share(double of_all, double of_location) {
  share_of_all_ = of_all;
  share_of_location_ = of_location;
  const double process_share = hot_restart_ ? hot_restart_->share() : 1;
  const double peers_limit = hot_restart_ ? hot_restart_->peers().concurrency_limit : 0;
  engine_.set_budget_share({process_share, peers_limit, of_all, of_location});
}

// ---- Shutdown ----

// Returns the time from the start of a shutdown until all requests must have finished. The platform
// kills the process no earlier than kLameDuckTime plus the longest time that a client waits (at
// most kMaxClientWait) after the start of the shutdown.
core::Time EdgeRouter::drain_time() const {
  core::Time longest = 0;
  for (const core::Time limit : config_.names.request_timeouts) {
    longest = std::max(longest, limit > 0 ? limit : kMaxClientWait);
  }
  return std::min(longest, kMaxClientWait) + kLameDuckTime - kFinalResponseMargin;
}

// The first two deadlines guard against a cache that does not respond, and against clients that
// keep sending requests after the successor has died. Without these deadlines, requests could still
// be open when the process is killed with SIGKILL.
void EdgeRouter::start_shutdown() {
  if (drain_starts_at_) return;
  drain_starts_at_ = engine_.now() + kLameDuckTime;
  if (hot_restart_) {
    hot_restart_->start_draining();
    update_peers(hot_restart_->peers(), hot_restart_->share());
  }
  const core::Time drain_until = drain_starts_at_ - kLameDuckTime + drain_time();
  deadlines_.set(drain_until, [this] {
    engine_.finish_all_now();
    front_.finish_all_now();
  });
  deadlines_.set(drain_until + kCloseAllDelay, [this] {
    front_.close_all();
    is_drain_time_over_ = true;
  });
  deadlines_.set(drain_starts_at_, [this] {
    for (auto& component : components_) {
      if (component.stop_accepting) component.stop_accepting();
    }
  });
}

// A client's connection is closed once all its responses have been sent, and idle connections do
// not delay the shutdown. With an operators' address, which every hot restart needs, clients that
// keep sending requests are served until the drain time is over.
void EdgeRouter::stop_when_drained() {
  const bool is_idle = engine_.open_request_count() == 0 && front_.is_idle();
  if (!hot_restart_ || is_idle) front_.drain();
  const auto is_done = [](const Component& component) {
    return !component.is_idle || component.is_idle();
  };
  if (is_drain_time_over_ || (is_idle && front_.is_drained() &&
                              std::all_of(components_.begin(), components_.end(), is_done))) {
    loop_.stop();
  }
}

// ---- Operation ----

// An unreadable file must not terminate a running router. Only the address of the discovery server
// can change while the router runs. The other settings describe the process itself. A change of its
// limits or classes is logged, so that operators do not wait for it to take effect.
void EdgeRouter::reload() {
  try {
    const auto new_config = config::read_file(config_path_);
    if (!discovery_client_.reconfigure(new_config)) {
      throw config::Error("'" + new_config.discovery_address + "' is not a valid board address");
    }
    log_("reload", "configuration reloaded, board at " + new_config.discovery_address);
    if (new_config.memory_mb != config_.memory_mb ||
        new_config.max_descriptors != config_.max_descriptors ||
        new_config.names.classes != config_.names.classes) {
      log_("reload", "changed limits or classes take effect only after a restart");
    }
  } catch (const std::exception& error) {
    log_("reload",
         std::string("reload: ") + error.what() + "; the current settings remain in effect");
  }
  if (reload_callback_) reload_callback_();
}

// Compares the bytes that the limits count with the memory that the process uses.
void EdgeRouter::report_memory() {
  const net::BufferAccount& buffers = loop_.buffers();
  const auto anonymous = admin::anonymous_memory();
  log_("memory", "limits count " + std::to_string(front_.limited_bytes()) +
                     " bytes, buffers hold " + std::to_string(buffers.held) + " for " +
                     std::to_string(buffers.unsent) + " unsent and " +
                     std::to_string(buffers.unread) + " unread, " +
                     std::to_string(engine_.remembered_requests()) +
                     " requests are remembered, anonymous memory " +
                     (anonymous ? std::to_string(*anonymous) : "unknown"));
}

void EdgeRouter::report_counters() {
  report_memory();
  if (counters_report_) return counters_report_();
  log_("counters", "open " + std::to_string(engine_.open_request_count()) +
                       ", connections to servers " +
                       std::to_string(upstream_pool_.connection_count()) + "; " +
                       core::to_line(engine_.counters()));
}

void EdgeRouter::turn() {
  deadlines_.run_due(engine_.now());
  engine_.run();
  front_.end_turn();
  for (auto& component : components_) {
    if (component.end_turn) component.end_turn();
  }
  if (admin_server_) admin_server_->end_turn();
  upstream_pool_.end_turn();
  discovery_client_.end_turn();
  engine_.run();  // processes the connections that end_turn() has closed
  if (drain_starts_at_ && engine_.now() >= drain_starts_at_) stop_when_drained();
}

void EdgeRouter::run() {
  loop_.on_signal(SIGTERM, [this] { start_shutdown(); });
  loop_.on_signal(SIGHUP, [this] { reload(); });
  loop_.on_signal(SIGINT, [this] { loop_.stop(); });
  loop_.on_signal(SIGUSR1, [this] { report_counters(); });
  loop_.on_turn([this] { turn(); });
  loop_.run();
  report_counters();
}

}  // namespace alderspur::edge_router

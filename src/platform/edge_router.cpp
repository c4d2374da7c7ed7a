#include "platform/edge_router.h"

#include <algorithm>
#include <csignal>

namespace alderspur::platform {
namespace {

constexpr core::Time kLongest = 3'000'000;
constexpr core::Time kLastWord = 200'000;  // before it is killed, its last answer must be out,
constexpr core::Time kCut = 100'000;       // and so much later clients that still stay are cut off
constexpr core::Time kLinger = 700'000;    // after SIGTERM clients still come and ask for this long

sockaddr_in listen_address(const std::string& text) {
  const auto at = net::parse_address(text);
  if (!at) throw config::Error("no usable listen address: '" + text + "'");
  return *at;
}

}  // namespace

EdgeRouter::EdgeRouter(config::Config config, LogSink say, const MakeEndpointSink& make_sink)
    : config_(std::move(config)),
      say_(std::move(say)),
      loop_(deadlines_),
      engine_(config_.settings, config_.seed, deadlines_, net::unix_now),
      upstream_pool_(loop_, deadlines_, engine_, config_),
      sink_(make_sink ? make_sink(*this)
                      : std::make_unique<DirectEndpointSink>(upstream_pool_, engine_)),
      discovery_client_(loop_, deadlines_, engine_, *sink_, config_),
      hot_restart_(config_.operator_listen.empty()
                       ? nullptr
                       : std::make_unique<hot_restart::HotRestartCoordinator>(
                             loop_, deadlines_, [this] { return engine_.now(); },
                             config_.state_folder, config_.listen, say_,
                             hot_restart::HotRestartCoordinator::Hooks{
                                 [this] {
                                   return hot_restart::HotRestartCoordinator::Load{
                                       engine_.counters().admitted, engine_.concurrency_limit()};
                                 },
                                 [this](const hot_restart::BanChange& change) {
                                   const auto id = config::server_id(change.name);
                                   engine_.set_ban(id, change.out);
                                   if (change.out) upstream_pool_.return_unsent(id);
                                   if (banned_) banned_(change);
                                 },
                                 [this](const hot_restart::PeerSummary& o, double share) {
                                   others(o, share);
                                 }})),
      // What is known comes before the first status.
      front_(loop_, deadlines_, (engine_.attach(upstream_pool_), engine_.run(), engine_),
             listen_address(config_.listen), config_) {
  engine_.invalid_input_log().set_sink(say_);
  say_("platform_front", "platform clients on " + net::to_string(front_.address()));
  if (hot_restart_) begin_operation();
}

void EdgeRouter::begin_operation() {
  desk_ = std::make_unique<admin::RouterAdminHandler>(deadlines_, engine_, upstream_pool_,
                                                      *hot_restart_, config_.names.classes,
                                                      [this] { return leave_at_ > 0; });
  operators_ = std::make_unique<admin::AdminServer>(loop_, deadlines_,
                                                    listen_address(config_.operator_listen), *desk_,
                                                    [this] { return engine_.now(); });
  complete_ = true;
  say_("operator_front", "operators on " + net::to_string(operators_->address()));
  if (hot_restart_->others().count > 0) others(hot_restart_->others(), hot_restart_->share());
  hot_restart_->serving();
}

// Who else acts as this router: budgets and limits are shared, and whoever comes after us takes our
// clients once our end is planned.
void EdgeRouter::others(const hot_restart::PeerSummary& others, double share) {
  engine_.set_budget_share({share, others.door, all_, here_});
  upstream_pool_.set_process_count(others.count + 1);
  if (!complete_) return;  // still in the constructor: the front is not there yet
  front_.share(others.count + 1);
  if (!leave_at_) return;
  if (others.successor) {
    front_.hand_over(leave_at_ - kLinger + killed_after());
  } else {
    front_.take_back();
  }
}

void EdgeRouter::ban(const hot_restart::BanChange& change) {
  if (hot_restart_) {
    hot_restart_->change(change, [](const std::string&) {});
  } else {
    engine_.set_ban(config::server_id(change.name), change.out);
  }
}
std::vector<std::string> EdgeRouter::bans() const {
  if (!hot_restart_) return {};
  const auto& names = hot_restart_->bans();
  return {names.begin(), names.end()};
}

void EdgeRouter::cluster_share(double all, double here) {
  all_ = all, here_ = here;
  engine_.set_budget_share({hot_restart_ ? hot_restart_->share() : 1,
                            hot_restart_ ? hot_restart_->others().door : 0, all, here});
}

// A planned end is cut off no sooner than this after it began: the longest time a client waits, 3 s
// at most, and 0.7 s.
core::Time EdgeRouter::killed_after() const {
  core::Time longest = 0;
  for (const core::Time t : config_.names.give_up) {
    longest = std::max(longest, t > 0 ? t : kLongest);
  }
  return std::min(longest, kLongest) + kLinger - kLastWord;
}

void EdgeRouter::leave() {
  if (leave_at_) return;
  leave_at_ = engine_.now() + kLinger;
  if (hot_restart_) {
    hot_restart_->leaving();
    others(hot_restart_->others(), hot_restart_->share());
  }
  // Danger: a cache that hangs holds its requests longer than we live, and with the successor dead
  // clients go on asking us, until SIGKILL finds something open.
  deadlines_.set(leave_at_ - kLinger + killed_after(), [this] {
    engine_.finish_all_now();
    front_.end();
  });
  deadlines_.set(leave_at_ - kLinger + killed_after() + kCut, [this] {
    front_.cut();
    over_ = true;
  });
  deadlines_.set(leave_at_, [this] {
    for (auto& p : parts_) {
      if (p.leave) p.leave();
    }
  });
}

// Danger: an operator's half-written file must not end a router under load. Only the board's
// address can change while it runs; the rest describes the process itself and is named so that
// nobody waits for it.
void EdgeRouter::reload() {
  try {
    const auto renewed = config::read_file(config_path);
    if (!discovery_client_.move(renewed)) {
      throw config::Error("no usable board address: '" + renewed.board + "'");
    }
    say_("reload", "settings read anew, board at " + renewed.board);
    if (renewed.memory_mb != config_.memory_mb || renewed.sockets != config_.sockets ||
        renewed.names.classes != config_.names.classes) {
      say_("reload", "limits and classes have changed too: they hold from the next start");
    }
  } catch (const std::exception& e) {
    say_("reload", std::string("reload: ") + e.what() + "; the settings stay as they were");
  }
  if (reloaded_) reloaded_();
}

void EdgeRouter::say_counters() {
  if (counted_) return counted_();
  say_("counters", "open " + std::to_string(engine_.open_request_count()) +
                       ", connections to servers " +
                       std::to_string(upstream_pool_.connection_count()) + "; " +
                       core::to_line(engine_.counters()));
}

void EdgeRouter::turn() {
  deadlines_.run_due(engine_.now());
  engine_.run();
  front_.end_turn();
  for (auto& p : parts_) {
    if (p.end_turn) p.end_turn();
  }
  if (operators_) operators_->end_turn();
  upstream_pool_.end_turn();
  discovery_client_.end_turn();
  engine_.run();  // clients and servers let go of just now
  if (leave_at_ && engine_.now() >= leave_at_) end_when_idle();
}

// Clients hear of our end by a close, each once it has its answers; those that rest until then hold
// nothing up. With another process to take over, or its operators, busy ones are served until our
// time is over.
void EdgeRouter::end_when_idle() {
  const bool idle = engine_.open_request_count() == 0 && front_.idle();
  if (!hot_restart_ || idle) front_.leave();
  const auto done = [](auto& part) { return !part.idle || part.idle(); };
  if (over_ || (idle && front_.gone() && std::all_of(parts_.begin(), parts_.end(), done))) {
    loop_.stop();
  }
}

void EdgeRouter::run() {
  loop_.on_signal(SIGTERM, [this] { leave(); });
  loop_.on_signal(SIGHUP, [this] { reload(); });
  loop_.on_signal(SIGINT, [this] { loop_.stop(); });
  loop_.on_signal(SIGUSR1, [this] { say_counters(); });
  loop_.on_turn([this] { turn(); });
  loop_.run();
  say_counters();
}

}  // namespace alderspur::platform

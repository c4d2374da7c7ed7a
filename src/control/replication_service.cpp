#include "control/replication_service.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <random>
#include <utility>

#include "replication/stored_bans.h"
#include "store/state_file.h"

namespace alderspur::control {
namespace {

constexpr const char* kLogModule = "replica";
constexpr std::size_t kMaxFileBytes = 1 << 20;
/// A purge older than the propagation time plus this margin is not applied, because by then the
/// caches have dropped the objects themselves. In microseconds.
constexpr core::Time kPurgeAgeMargin = 10'000'000;
/// The minimum delay of the next tick, in microseconds, so that a replica with an overdue tick does
/// not keep the event loop busy.
constexpr core::Time kMinTickDelay = 1'000;
constexpr core::Time kMicrosecondsPerMillisecond = 1'000;
constexpr std::chrono::milliseconds kStopTimeout(200);
constexpr std::chrono::milliseconds kFinalSaveTimeout(500);

std::string file_path(const std::string& state_folder) {
  return state_folder.empty() ? std::string() : state_folder + "/replica.bans";
}

std::uint64_t random_seed() {
  std::random_device random;
  return (static_cast<std::uint64_t>(random()) << 32) ^ random();
}

}  // namespace

ReplicationService::ReplicationService(edge_router::EdgeRouter& router, ClusterService& cluster,
                                       const settings::Cluster& settings, log::Log& log)
    : router_(router),
      cluster_(cluster),
      log_(log),
      path_(file_path(settings.state_directory)),
      purge_propagation_time_(router.config().settings.purge_propagation_time),
      wakeup_(router.loop()) {
  replication::ReplicaSettings replica_settings;
  const auto& self = cluster.transport().membership().self();
  epoch_ = self.epoch;
  replica_settings.self = {self.name, self.epoch};
  replica_ = std::make_unique<replication::Replica>(replica_settings, random_seed());
  subscribe_to_router();
  subscribe_to_cluster();
  if (path_.empty()) {
    start_replica(std::nullopt, {});
  } else {
    load_stored_bans();
  }
}

ReplicationService::~ReplicationService() {
  if (tick_timer_) router_.deadlines().cancel(*tick_timer_);
}

bool ReplicationService::stop_worker() {
  save_final_state();
  return writer_.stop(kStopTimeout);
}

void ReplicationService::subscribe_to_router() {
  router_.on_ban([this](const hot_restart::BanChange& change) { handle_local_ban(change); });
  router_.set_ban_replication(
      [this](const std::string& server) { return ban_replication(server); });
  router_.set_readiness_condition([this] { return has_started_ && replica_->is_caught_up(); });
  router_.engine().on_purge([this](const core::PurgeNotice& notice) {
    if (notice.covers_everything) return;  // apply_global_purge() has issued this purge
    handle(replication::PurgeObserved{
        {notice.object.has_value(), notice.object.value_or(notice.group), notice.unix_time}});
  });
}

void ReplicationService::subscribe_to_cluster() {
  cluster_.on_replication_frame([this](const std::string& from, std::string_view bytes) {
    if (has_started_) handle(replication::FrameReceived{from, std::string(bytes)});
  });
  cluster_.on_members_changed([this](const std::vector<std::string>& names) {
    peers_ = names;
    if (has_started_) handle(replication::PeersChanged{names});
  });
  cluster_.set_view_extension([this](json::Writer& writer) { write_view(writer); });
}

void ReplicationService::load_stored_bans() {
  writer_.submit([this, path = path_] {
    auto loaded = store::load_file(path, kMaxFileBytes);
    const bool has_failed = loaded.error && !loaded.is_absent;
    wakeup_.post([this, payload = std::move(loaded.payload),
                  error = has_failed ? to_string(*loaded.error) : std::string()] {
      start_replica(payload, error);
    });
  });
}

// Bans that are in effect at the router but missing from the file are replicated as new bans. If
// the file was unreadable, this may restore a ban that another router has lifted in the meantime;
// without it, bans that are still wanted would be lost.
void ReplicationService::start_replica(const std::optional<std::string>& stored_payload,
                                       const std::string& error) {
  const auto stored =
      stored_payload ? replication::decode_stored_bans(*stored_payload, cluster_.previous_epoch())
                     : std::nullopt;
  if (!error.empty() || (stored_payload && !stored)) {
    log_.record(kLogModule, log::Level::warning, "not_read",
                {{"reason", error.empty() ? "the file does not contain a valid ban set" : error}});
  }
  has_started_ = true;
  handle(replication::BansLoaded{stored.value_or(replication::BanSet())});
  saved_digest_ = stored ? replica_->bans().digest() : 0;
  handle(replication::PeersChanged{peers_});
  apply_replicated_bans();
  for (const auto& server : router_.bans()) {
    if (!replica_->bans().is_banned(server)) handle_local_ban({server, true});
  }
  for (const auto& change : std::exchange(pending_changes_, {})) handle_local_ban(change);
}

void ReplicationService::apply_replicated_bans() {
  is_applying_ban_ = true;
  for (const auto& server : replica_->bans().banned_servers()) router_.ban({server, true});
  is_applying_ban_ = false;
}

// Replicates a change that an operator made at this router. Changes made at other routers arrive as
// SetBan actions.
void ReplicationService::handle_local_ban(const hot_restart::BanChange& change) {
  if (is_applying_ban_) return;
  if (!has_started_) {
    pending_changes_.push_back(change);
    return;
  }
  unreplicated_bans_.erase(change.server);
  if (change.is_banned) {
    handle(replication::BanRequested{change.server, "by hand", router_.engine().now()});
  } else {
    handle(replication::LiftRequested{change.server});
  }
}

// Replicates the bans that were refused because the replica was full, when it has room again.
void ReplicationService::retry_unreplicated_bans() {
  if (unreplicated_bans_.empty() || !replica_->has_room_for_ban()) return;
  for (const auto& server : std::exchange(unreplicated_bans_, {})) handle_local_ban({server, true});
}

admin::BanReplication ReplicationService::ban_replication(const std::string& server) const {
  if (!has_started_) return admin::BanReplication::not_started;
  if (unreplicated_bans_.contains(server)) return admin::BanReplication::limit_reached;
  return replica_->peers_rejecting(server).empty() ? admin::BanReplication::replicated
                                                   : admin::BanReplication::rejected;
}

void ReplicationService::handle(const replication::Event& event) {
  std::vector<replication::Action> actions;
  replica_->handle(net::steady_now(), replication::ClockRead{net::unix_now()}, actions);
  replica_->handle(net::steady_now(), event, actions);
  for (const auto& action : actions) perform(action);
  // A purge does not change the bans. save() is skipped, because it computes a digest of all bans
  // and purges may be frequent.
  if (!std::holds_alternative<replication::PurgeObserved>(event)) save();
  schedule_tick();
}

void ReplicationService::schedule_tick() {
  if (tick_timer_) router_.deadlines().cancel(*tick_timer_);
  const core::Time delay = std::max(kMinTickDelay, replica_->next_tick() - net::steady_now());
  tick_timer_ = router_.deadlines().set(router_.engine().now() + delay, [this] {
    tick_timer_.reset();
    handle(replication::Tick{});
    retry_unreplicated_bans();
  });
}

void ReplicationService::perform(const replication::Action& action) {
  if (const auto* send = std::get_if<replication::SendFrame>(&action)) {
    cluster_.send_replication_frame(send->to, send->bytes);
  } else if (const auto* ban = std::get_if<replication::SetBan>(&action)) {
    apply_ban(*ban);
  } else if (const auto* purge = std::get_if<replication::ApplyGlobalPurge>(&action)) {
    apply_global_purge(purge->at);
  } else if (const auto* refused = std::get_if<replication::ReportRefusedBan>(&action)) {
    unreplicated_bans_.insert(refused->server);
    log_.record(kLogModule, log::Level::error, "ban_not_replicated", {{"server", refused->server}});
  } else if (const auto* skew = std::get_if<replication::ReportClockSkew>(&action)) {
    log_.record(kLogModule, log::Level::warning, "time_too_far_ahead",
                {{"from", skew->from.empty() ? "this router" : skew->from},
                 {"ahead_ms", skew->ahead / kMicrosecondsPerMillisecond}});
  } else if (const auto* rejected = std::get_if<replication::ReportRejectedBan>(&action)) {
    log_.record(kLogModule, log::Level::error, "ban_rejected_by_peer",
                {{"server", rejected->server},
                 {"peer", rejected->peer},
                 {"ahead_ms", rejected->ahead / kMicrosecondsPerMillisecond}});
  } else if (std::holds_alternative<replication::ReportOutdatedBans>(action)) {
    log_.record(kLogModule, log::Level::warning, "stored_bans_outdated",
                {{"effect", "the bans made since the start are replicated again"}});
  } else if (const auto* report = std::get_if<replication::ReportBound>(&action)) {
    log_.record(kLogModule, log::Level::warning, "bound_reached",
                {{"bound", to_string(report->bound)}});
  } else {
    apply_purge(std::get<replication::ApplyPurge>(action).floor);
  }
}

void ReplicationService::apply_ban(const replication::SetBan& ban) {
  log_.record(kLogModule, log::Level::info, ban.is_banned ? "banned" : "lifted",
              {{"server", ban.server}});
  is_applying_ban_ = true;
  router_.ban({ban.server, ban.is_banned});
  is_applying_ban_ = false;
}

bool ReplicationService::may_have_copies_from_before(core::Time purged_at) const {
  return purged_at >= router_.engine().now() - purge_propagation_time_ - kPurgeAgeMargin;
}

void ReplicationService::apply_purge(const replication::PurgeFloor& floor) {
  if (!may_have_copies_from_before(floor.at)) return;
  const auto object = floor.is_object ? std::optional(floor.id) : std::nullopt;
  const auto group = floor.is_object ? 0 : static_cast<std::uint32_t>(floor.id);
  router_.engine().purge({object, group, floor.at});
}

void ReplicationService::apply_global_purge(core::Time at) {
  if (!may_have_copies_from_before(at)) return;
  log_.record(kLogModule, log::Level::info, "purged_everything",
              {{"from_before_ms", at / kMicrosecondsPerMillisecond}});
  core::PurgeNotice notice;
  notice.unix_time = at;
  notice.covers_everything = true;
  router_.engine().purge(notice);
}

void ReplicationService::save() {
  if (path_.empty() || !has_started_ || is_saving_) return;
  const auto digest = replica_->bans().digest();
  if (digest == saved_digest_) return;
  is_saving_ = writer_.submit([this, path = path_, digest, payload = replica_->bans().encode()] {
    const auto error = store::replace_file(path, payload);
    wakeup_.post([this, digest, error] { finish_save(digest, error); });
  });
}

void ReplicationService::finish_save(std::uint64_t digest,
                                     const std::optional<store::FileError>& error) {
  is_saving_ = false;
  const bool was_failing = std::exchange(is_save_failing_, error.has_value());
  if (error) {
    if (was_failing) return;
    log_.record(kLogModule, log::Level::error, "not_written", {{"reason", to_string(*error)}});
    return;
  }
  if (was_failing) log_.record(kLogModule, log::Level::info, "written");
  saved_digest_ = digest;
  save();  // writes the changes made during the write, if there are any
}

// No frame leaves the router any more, so the file may name the last own change. If the disk does
// not respond in time, the next process becomes a new author.
void ReplicationService::save_final_state() {
  if (path_.empty() || !has_started_) return;
  const auto written = std::make_shared<std::promise<void>>();
  const auto payload = replication::encode_final_bans(replica_->bans(), epoch_);
  writer_.submit([path = path_, payload, written] {
    (void)store::replace_file(path, payload);
    written->set_value();
  });
  written->get_future().wait_for(kFinalSaveTimeout);
}

void ReplicationService::write_view(json::Writer& writer) const {
  const auto& counters = replica_->counters();
  writer.Key("replica");
  writer.StartObject();
  writer.Key("caught_up");
  writer.Bool(has_started_ && replica_->is_caught_up());
  writer.Key("bans");
  writer.StartArray();
  for (const auto& [dot, ban] : replica_->bans().bans()) {
    writer.StartObject();
    json::write_text(writer, "server", ban.server);
    json::write_text(writer, "by", dot.author.name);
    json::write_text(writer, "cause", ban.cause);
    writer.Key("at_ms");
    writer.Int64(ban.at / kMicrosecondsPerMillisecond);
    writer.EndObject();
  }
  writer.EndArray();
  json::write_count(writer, "floors", replica_->floors().size());
  json::write_count(writer, "compared", counters.comparisons);
  json::write_count(writer, "same", counters.identical);
  json::write_count(writer, "refused", counters.rejected);
  json::write_count(writer, "clock_skews", counters.clock_skews);
  json::write_count(writer, "full_bans_sent", counters.full_bans_sent);
  json::write_count(writer, "bans_refused", counters.bans_refused);
  json::write_count(writer, "bounds_reached", counters.bounds_reached);
  json::write_count(writer, "rejected_by_peers", counters.rejected_by_peers);
  writer.Key("at_bound");
  writer.StartArray();
  for (const auto bound : replica_->reached_bounds()) writer.String(to_string(bound));
  writer.EndArray();
  writer.EndObject();
}

}  // namespace alderspur::control

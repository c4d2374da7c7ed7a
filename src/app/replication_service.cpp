#include "app/replication_service.h"

#include <chrono>

#include "store/state_file.h"

namespace alderspur::app {
namespace {

using namespace alderspur::replication;
constexpr const char* kName = "replica";
constexpr std::size_t kFileMost = 1 << 20;
constexpr core::Time kOld =
    10'000'000;  // beyond the time in which caches drop what was purged by themselves
constexpr std::chrono::milliseconds kSettle(200);

}  // namespace

ReplicationService::ReplicationService(platform::EdgeRouter& node, ClusterService& cluster,
                                       const settings::Cluster& s, log::Log& log)
    : node_(node),
      cluster_(cluster),
      log_(log),
      path_(s.state.empty() ? std::string() : s.state + "/replica.bans"),
      settles_(node.config().settings.purge_propagation_time),
      wakeup_(node.loop()) {
  ReplicaSettings settings;
  const auto& self = cluster.link().membership().self();
  settings.self = {self.name, self.epoch};
  std::random_device random;
  replica_ =
      std::make_unique<Replica>(settings, (static_cast<std::uint64_t>(random()) << 32) ^ random());
  node_.on_ban([this](const hot_restart::BanChange& change) { called(change); });
  node_.on_ready([this] { return begun_ && replica_->is_caught_up(); });
  node_.engine().on_purge([this](const core::PurgeNotice& notice) {
    handle(PurgeObserved{
        {notice.object.has_value(), notice.object.value_or(notice.group), notice.unix_time}});
  });
  cluster_.on_replica([this](const std::string& from, std::string_view bytes) {
    if (begun_) handle(FrameReceived{from, std::string(bytes)});
  });
  cluster_.on_members([this](const std::vector<std::string>& names) {
    others_ = names;
    if (begun_) handle(PeersChanged{names});
  });
  cluster_.on_view([this](Writer& w) { view(w); });
  if (path_.empty()) {
    begin({}, {});
    return;
  }
  writer_.submit([this, path = path_] {
    auto loaded = store::load_file(path, kFileMost);
    wakeup_.post([this, payload = std::move(loaded.payload),
                  error = loaded.error && !loaded.is_absent ? to_string(*loaded.error) : ""] {
      begin(payload, error);
    });
  });
}
ReplicationService::~ReplicationService() {
  if (due_) node_.deadlines().cancel(*due_);
}
bool ReplicationService::settle() { return writer_.settle(kSettle); }

// Danger: what the file cannot tell is taken from the bans that this router holds, as new ones. So
// a ban may hold that was lifted while it was away, and none is forgotten.
void ReplicationService::begin(std::optional<std::string> kept, const std::string& error) {
  const auto stored = kept ? BanSet::decode(*kept) : std::nullopt;
  if (!error.empty() || (kept && !stored)) {
    log_.record(kName, log::Level::warning, "not_read",
                {{"reason", error.empty() ? "not of this form" : error}});
  }
  begun_ = true;
  handle(BansLoaded{stored.value_or(BanSet())});
  saved_ = stored ? replica_->bans().digest() : 0;
  handle(PeersChanged{others_});
  binding_ = true;
  for (const auto& s : replica_->bans().banned_servers()) node_.ban({s, true});
  binding_ = false;
  for (const auto& s : node_.bans())
    if (!replica_->bans().is_banned(s)) called({s, true});
  for (const auto& change : std::exchange(early_, {})) called(change);
}

// By hand, here; what was made elsewhere comes in by SetBan and is no call.
void ReplicationService::called(const hot_restart::BanChange& change) {
  if (binding_) return;
  if (!begun_) return early_.push_back(change);
  if (change.is_banned)
    handle(BanRequested{change.server, "by hand", node_.engine().now()});
  else
    handle(LiftRequested{change.server});
}

void ReplicationService::handle(const replication::Event& event) {
  std::vector<replication::Action> actions;
  replica_->handle(net::steady_now(), event, actions);
  for (const auto& a : actions) carry_out(a);
  if (!std::holds_alternative<PurgeObserved>(event)) {
    save();  // a purge changes no ban, and there may be many
  }
  arm();
}

void ReplicationService::arm() {
  if (due_) node_.deadlines().cancel(*due_);
  const core::Time in = std::max<core::Time>(1000, replica_->next_tick() - net::steady_now());
  due_ = node_.deadlines().set(node_.engine().now() + in, [this] {
    due_.reset();
    handle(Tick{});
  });
}

void ReplicationService::carry_out(const replication::Action& action) {
  if (const auto* s = std::get_if<replication::SendFrame>(&action)) {
    return cluster_.send_replica(s->to, s->bytes);
  }
  if (const auto* b = std::get_if<SetBan>(&action)) {
    log_.record(kName, log::Level::info, b->is_banned ? "banned" : "lifted",
                {{"server", b->server}});
    binding_ = true;
    node_.ban({b->server, b->is_banned});
    binding_ = false;
    return;
  }
  const PurgeFloor& f = std::get<ApplyPurge>(action).floor;
  if (f.at < node_.engine().now() - settles_ - kOld)
    return;  // caches have dropped it by themselves
  const auto object = f.is_object ? std::optional(f.id) : std::nullopt;
  node_.engine().purge({object, f.is_object ? 0 : static_cast<std::uint32_t>(f.id), f.at});
}

void ReplicationService::save() {
  if (path_.empty() || !begun_ || saving_ || replica_->bans().digest() == saved_) return;
  const auto digest = replica_->bans().digest();
  saving_ = writer_.submit([this, path = path_, digest, text = replica_->bans().encode()] {
    const auto error = store::replace_file(path, text);
    wakeup_.post([this, digest, error] {
      saving_ = false;
      if (!error) {
        saved_ = digest;
      } else {
        log_.record(kName, log::Level::error, "not_written",
                    {{"reason", to_string(*error)}});  // again with the next event
      }
    });
  });
}

void ReplicationService::view(Writer& w) const {
  const auto& c = replica_->counters();
  w.Key("replica"), w.StartObject();
  w.Key("caught_up"), w.Bool(begun_ && replica_->is_caught_up());
  w.Key("bans"), w.StartArray();
  for (const auto& [dot, ban] : replica_->bans().bans()) {
    w.StartObject();
    text(w, "server", ban.server), text(w, "by", dot.author.name), text(w, "cause", ban.cause);
    w.Key("at_ms"), w.Int64(ban.at / 1000);
    w.EndObject();
  }
  w.EndArray();
  w.Key("floors"), w.Uint64(replica_->floors().size());
  w.Key("compared"), w.Uint64(c.comparisons), w.Key("same"), w.Uint64(c.identical),
      w.Key("refused"), w.Uint64(c.rejected);
  w.EndObject();
}

}  // namespace alderspur::app

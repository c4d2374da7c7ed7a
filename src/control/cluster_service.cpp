#include "control/cluster_service.h"

#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "cluster/epoch.h"

namespace alderspur::control {
namespace {

constexpr const char* kLogModule = "cluster";
constexpr std::size_t kMinSecretLength = 32;
/// The first byte of each replication frame. Consensus frames never start with this byte.
constexpr char kReplicationPrefix = '\xc1';

/// Returns the content of the file without trailing line breaks.
std::string read_secret(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  std::string secret = content.str();
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) secret.pop_back();
  if (!file) throw config::Error("cannot read the cluster secret from file " + path);
  if (secret.size() < kMinSecretLength) {
    throw config::Error("the cluster secret in file " + path +
                        " has fewer than 32 characters; use at least 32 random characters");
  }
  return secret;
}

/// Starts a new epoch. If the stored epoch cannot be used, logs the reason.
cluster::EpochResult start_epoch(const settings::Cluster& settings, log::Log& log) {
  auto epoch = cluster::next_epoch(settings.state_directory, net::unix_now());
  if (epoch.error != cluster::EpochError::none) {
    log.record(kLogModule, log::Level::warning, "epoch_unusable", {{"reason", epoch.reason}});
  }
  return epoch;
}

/// Returns the identity of this member, without its epoch.
cluster::Identity make_identity(const settings::Cluster& settings, const std::string& router_name) {
  cluster::Identity self;
  self.name = settings.member_name.empty() ? router_name : settings.member_name;
  self.point = settings.location;
  self.share = settings.share;
  self.version = ALDERSPUR_VERSION;
  if (self.name.empty()) {
    throw config::Error("this router has no member name in the cluster: set member in [cluster]");
  }
  return self;
}

std::uint64_t random_seed() {
  std::random_device random;
  return (static_cast<std::uint64_t>(random()) << 32) ^ random();
}

}  // namespace

ClusterService::ClusterService(edge_router::EdgeRouter& router, const settings::Cluster& settings,
                               log::Log& log)
    : router_(router), log_(log) {
  std::string secret = read_secret(settings.secret_file);
  cluster::Identity self = make_identity(settings, router.config().name);
  const auto epoch = start_epoch(settings, log);
  self.epoch = epoch.epoch;
  previous_epoch_ = epoch.previous;
  create_transport(settings, std::move(secret), self);
  log.record(kLogModule, log::Level::info, "listening",
             {{"address", net::to_string(transport_->address())}, {"name", self.name}});
  router.add({[this] { transport_->end_turn(); }, [this] { transport_->leave(); },
              [this] { return transport_->has_left(); }});
  router.set_cluster_view([this] { return view(); });
}

void ClusterService::create_transport(const settings::Cluster& settings, std::string secret,
                                      const cluster::Identity& self) {
  cluster_transport::TransportSettings transport;
  transport.cluster = settings.name;
  transport.secret = std::move(secret);
  transport.listen = settings.listen;
  transport.seeds = settings.seeds;
  transport.advertise = settings.advertise;
  transport.membership = settings.membership;
  transport_ = std::make_unique<cluster_transport::ClusterTransport>(
      router_.loop(), router_.deadlines(), [&router = router_] { return router.engine().now(); },
      transport, self, random_seed(), transport_hooks());
}

cluster_transport::ClusterTransport::Hooks ClusterService::transport_hooks() {
  cluster_transport::ClusterTransport::Hooks hooks;
  hooks.on_frame = [this](const std::string& from, std::string_view frame) {
    handle_frame(from, frame);
  };
  hooks.on_member_changed = [this](const cluster::MemberChanged& change) {
    handle_member_change(change);
  };
  hooks.on_name_conflict = [this](const cluster::NameConflict& conflict) {
    log_.record(kLogModule, log::Level::error, "two_of_one_name",
                {{"name", conflict.newer.name},
                 {"holds", conflict.newer.address},
                 {"older", conflict.older.address}});
  };
  hooks.on_superseded = [this](const cluster::Superseded& superseded) {
    log_.record(kLogModule, log::Level::error, "superseded",
                {{"name", superseded.by.name}, {"by", superseded.by.address}});
  };
  hooks.on_dropped = [this](const char* kind, const std::string& from) {
    log_.record(kLogModule, log::Level::warning, "dropped", {{"kind", kind}, {"from", from}});
  };
  return hooks;
}

void ClusterService::handle_frame(const std::string& from, std::string_view frame) {
  if (frame.starts_with(kReplicationPrefix)) {
    if (replication_handler_) replication_handler_(from, frame.substr(1));
  } else if (consensus_handler_) {
    consensus_handler_(from, frame);
  }
}

void ClusterService::handle_member_change(const cluster::MemberChanged& change) {
  notify_members();
  const auto& update = change.update;
  const bool has_failed = update.state == cluster::MemberState::failed;
  // The transport reports the first changes from its constructor, before transport_ is set.
  const auto health =
      transport_ ? transport_->membership().health() : cluster::ClusterHealth::isolated;
  log_.record(
      kLogModule, has_failed ? log::Level::warning : log::Level::info, "member",
      {{"name", update.identity.name},
       {"address", update.identity.address},
       {"state", cluster::to_string(update.state)},
       {"before", change.previous_state ? cluster::to_string(*change.previous_state) : "unknown"},
       {"by", update.reported_by},
       {"whole", cluster::to_string(health)}});
}

std::string ClusterService::view() const {
  return cluster_view(transport_->membership(), transport_->counters(), router_.engine().now(),
                      view_extension_);
}

void ClusterService::send_replication_frame(const std::string& to, std::string_view frame) {
  transport_->send_frame(to, kReplicationPrefix + std::string(frame));
}

void ClusterService::on_members_changed(MembersHandler handler) {
  members_handlers_.push_back(std::move(handler));
  notify_members();
}

void ClusterService::notify_members() {
  if (members_handlers_.empty() || !transport_) return;
  std::vector<std::string> names;
  for (const auto& member : transport_->membership().members()) {
    if (cluster::is_live(member.update.state)) names.push_back(member.update.identity.name);
  }
  for (const auto& handler : members_handlers_) handler(names);
}

}  // namespace alderspur::control

#include "control/consensus_service.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>
#include <variant>
#include <vector>

#include "control/version_calls.h"

namespace alderspur::control {
namespace {

constexpr const char* kLogModule = "agreement";
/// The number of proposal results that are kept for operators who poll them.
constexpr std::size_t kMaxFinishedProposals = 16;
constexpr std::size_t kMaxRequestBodyBytes = 4 << 20;
/// The fraction of each quota that all routers without a lease may use together.
constexpr double kUnleasedFraction = 1 - consensus::kLeasedFraction;
/// The unleased fraction is divided among at least this number of routers.
constexpr std::uint32_t kMinRouters = 8;
constexpr std::chrono::milliseconds kStopTimeout(200);  // per worker

constexpr std::string_view kProposalsPath = "/proposals/";
constexpr std::string_view kContentPath = "/content/";
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;

static_assert(settings::kMaxVoters == consensus::kMaxVoters);

/// Returns the fraction of each quota that this router may use without a lease. Divides the
/// unleased fraction by twice the configured number of routers, because more routers may run than
/// configured.
double unleased_share(const config::Config& config) {
  return kUnleasedFraction / 2 / std::max(kMinRouters, config.settings.router_count);
}

consensus::ConsensusSettings consensus_settings(const cluster::Identity& self,
                                                const settings::Cluster& cluster) {
  consensus::ConsensusSettings settings;
  settings.name = self.name;
  settings.location = self.point;
  settings.epoch = self.epoch;
  settings.voters = cluster.voters;
  return settings;
}

}  // namespace

ConsensusService::ConsensusService(edge_router::EdgeRouter& router, ClusterService& cluster,
                                   const settings::Cluster& settings, VersionFiles files,
                                   log::Log& log)
    : router_(router),
      cluster_(cluster),
      log_(log),
      unleased_share_(unleased_share(router.config())),
      random_(std::random_device{}()),
      node_(consensus_settings(cluster.transport().membership().self(), settings), random_()),
      wakeup_(router.loop()),
      storage_(
          settings.state_directory, wakeup_,
          [this](const consensus::Event& event) { handle(event); }, log),
      contents_(std::move(files), settings.state_directory, router.config(), wakeup_, log) {
  subscribe();
  router_.set_cluster_share(unleased_share_, unleased_share_);
  report_load();
  storage_.load();
}

ConsensusService::~ConsensusService() {
  if (timer_) router_.deadlines().cancel(*timer_);
  if (load_timer_) router_.deadlines().cancel(*load_timer_);
}

bool ConsensusService::stop_workers() {
  const bool has_stopped_storage = storage_.stop_workers(kStopTimeout);
  return contents_.stop_worker(kStopTimeout) && has_stopped_storage;
}

void ConsensusService::subscribe() {
  cluster_.on_consensus_frame([this](const std::string& from, std::string_view bytes) {
    handle(consensus::MessageReceived{from, std::string(bytes)});
  });
  cluster_.on_members_changed(
      [this](const std::vector<std::string>& names) { handle(consensus::PeersChanged{names}); });
  router_.set_versions_handler(
      [this](std::string_view path, std::string_view query, const std::string& body) {
        return handle_admin_call(path, query, body);
      },
      kMaxRequestBodyBytes);
}

// ---- Events and actions

void ConsensusService::handle(const consensus::Event& event) {
  std::vector<consensus::Action> actions;
  node_.handle(net::steady_now(), event, actions);
  for (auto& action : actions) {
    std::visit([this](auto& alternative) { perform(std::move(alternative)); }, action);
  }
  schedule_timer();
}

void ConsensusService::schedule_timer() {
  if (timer_) {
    router_.deadlines().cancel(*timer_);
    timer_.reset();
  }
  const core::Time due = node_.next_deadline();
  if (due == std::numeric_limits<core::Time>::max()) return;
  const core::Time delay = std::max<core::Time>(0, due - net::steady_now());
  timer_ = router_.deadlines().set(router_.engine().now() + delay, [this] {
    timer_.reset();
    handle(consensus::TimerFired{});
  });
}

void ConsensusService::perform(const consensus::SendMessage& action) {
  cluster_.send_consensus_frame(action.to, action.bytes);
}

void ConsensusService::perform(consensus::WriteLog action) {
  storage_.write_log(std::move(action));
}

void ConsensusService::perform(consensus::WriteContent action) {
  storage_.write_content(std::move(action));
}

void ConsensusService::perform(const consensus::CheckContent& action) {
  contents_.check(action, [this](const consensus::ContentChecked& result) { handle(result); });
}

void ConsensusService::perform(const consensus::DeleteContent& action) {
  storage_.delete_content(action);
}

void ConsensusService::perform(const consensus::PersistState& action) {
  storage_.persist_state(action);
}

void ConsensusService::perform(const consensus::ProposalFinished& action) {
  finished_proposals_.push_back(action.result);
  if (finished_proposals_.size() > kMaxFinishedProposals) finished_proposals_.pop_front();
}

void ConsensusService::perform(const consensus::LogEvent& action) {
  log_.record(kLogModule, log::Level::info, action.event, {{"text", action.text}});
}

// ---- The active version

void ConsensusService::perform(const consensus::Activate& action) {
  const bool has_changed = differs_from_active(action.active);
  active_ = action.active;
  apply_shares(active_);
  if (!has_changed) return;
  if (active_.version.number != measured_version_) {
    measured_version_ = active_.version.number;
    load_.reset_failure_ratio();
  }
  log_.record(kLogModule, log::Level::info, "acts",
              {{"version", active_.version.number},
               {"careful", active_.is_conservative ? 1 : 0},
               {"heard", active_.newer_contents.size()}});
  contents_.write_files(active_);
}

bool ConsensusService::differs_from_active(const consensus::ActiveVersion& version) const {
  return version.version.number != active_.version.number ||
         version.is_conservative != active_.is_conservative ||
         version.newer_contents != active_.newer_contents;
}

void ConsensusService::apply_shares(const consensus::ActiveVersion& version) {
  if (version.total_share > 0) {
    router_.set_cluster_share(version.total_share, version.location_share);
  } else {
    router_.set_cluster_share(unleased_share_, unleased_share_);
  }
}

void ConsensusService::report_load() {
  handle(load_.measure(router_.engine().counters()));
  load_timer_ = router_.deadlines().set(router_.engine().now() + RequestLoad::kInterval,
                                        [this] { report_load(); });
}

// ---- Admin calls of operators

admin::HttpReply ConsensusService::handle_admin_call(std::string_view path, std::string_view query,
                                                     const std::string& body) {
  return body.empty() ? handle_read(path) : propose(path, query, body);
}

admin::HttpReply ConsensusService::handle_read(std::string_view path) const {
  if (path.empty()) return {kOk, view()};
  if (path.starts_with(kProposalsPath)) {
    return proposal_result(read_number(path.substr(kProposalsPath.size())));
  }
  if (path.starts_with(kContentPath)) {
    return version_content(read_number(path.substr(kContentPath.size())));
  }
  return {kNotFound, "no such call\n"};
}

admin::HttpReply ConsensusService::proposal_result(std::uint64_t nonce) const {
  const auto result =
      std::find_if(finished_proposals_.begin(), finished_proposals_.end(),
                   [nonce](const auto& finished) { return finished.nonce == nonce; });
  if (result == finished_proposals_.end()) return {kAccepted, "under way\n"};
  const std::string verdict = result->is_accepted ? "yes" : "no";
  return {kOk,
          verdict + " " + std::to_string(result->version_number) + " " + result->reason + "\n"};
}

admin::HttpReply ConsensusService::version_content(std::uint64_t number) const {
  const auto content = node_.content(number);
  if (!content) return {kNotFound, "this router does not store the content of that version\n"};
  return {kOk, consensus::encode(*content)};
}

admin::HttpReply ConsensusService::propose(std::string_view path, std::string_view query,
                                           const std::string& body) {
  const std::uint64_t nonce = random_() >> 1 | 1;  // never 0, which means no proposal
  const auto proposal_or_reply = read_proposal(path, query, body, nonce);
  if (const auto* error = std::get_if<admin::HttpReply>(&proposal_or_reply)) return *error;
  const auto& proposal = std::get<consensus::OperatorProposal>(proposal_or_reply);
  handle(proposal);
  return {kAccepted, std::to_string(proposal.nonce) + "\n"};
}

std::string ConsensusService::view() const {
  const core::Time now = net::steady_now();
  return versions_view(node_.status(now), node_.lease_table(), now);
}

}  // namespace alderspur::control

#include "hot_restart/coordinator.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

namespace alderspur::hot_restart {
namespace {

// A process without requests still gets this share, so that it can start to serve.
constexpr double kMinShare = 0.05;
// The share while neither this process nor its peers have requests.
constexpr double kEvenShare = 0.5;
// Weight of the newest measurement in the moving average of the request rate. It gives a time
// constant of about half a second.
constexpr double kRateSmoothing = 0.25;
constexpr std::chrono::milliseconds kStopTimeout(200);  // a poll takes under 1 ms
constexpr std::chrono::milliseconds kRegistrationPause(10);
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(net::Loop& loop, core::Deadlines& deadlines,
                                             std::function<core::Time()> now,
                                             const std::string& directory, std::string_view key,
                                             LogSink log, Callbacks callbacks)
    : deadlines_(deadlines),
      now_(std::move(now)),
      log_(std::move(log)),
      callbacks_(std::move(callbacks)) {
  if (directory.empty()) {
    status_.share = 1;
    return;
  }
  directory_ = std::make_shared<SharedDirectory>(directory, key);
  wakeup_ = std::make_unique<net::Wakeup>(loop);
  worker_ = std::make_unique<file_watch::Worker>();
  run_first_poll();
}

HotRestartCoordinator::~HotRestartCoordinator() {
  if (next_poll_.is_set()) deadlines_.cancel(next_poll_);
  worker_.reset();
}

// Claims a slot, waits until the peers have found this process, and acquires the first share. Runs
// on the worker thread.
HotRestartCoordinator::PollResult HotRestartCoordinator::register_process(
    SharedDirectory& directory) {
  using std::chrono::microseconds;
  using std::chrono::steady_clock;
  PollResult result;
  result.error = directory.claim_slot();
  result.peers = directory.read_peers();
  const auto deadline = steady_clock::now() + microseconds(kRegistrationTimeout);
  while (!result.error && !result.peers.all_have_found_a_peer && steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kRegistrationPause);
    result.peers = directory.read_peers();
  }
  result.bans = directory.read_bans();
  result.published.known_peers = result.peers.count;
  if (result.error) {
    result.published.share = 1;  // without the directory, no peer can be found
  } else {
    result.error = directory.raise_share(result.published, result.peers.count ? kMinShare : 1);
  }
  return result;
}

// Waits for the first poll for at most kStartTimeout. The process does not serve clients yet.
void HotRestartCoordinator::run_first_poll() {
  auto promise = std::make_shared<std::promise<PollResult>>();
  auto future = promise->get_future();
  worker_->submit(
      [directory = directory_, promise] { promise->set_value(register_process(*directory)); });
  if (future.wait_for(std::chrono::microseconds(kStartTimeout)) == std::future_status::ready) {
    apply_poll_result(future.get());
  } else {
    status_.share = 1;
    log_if_new("the shared directory does not respond; starting without its bans and peers",
               last_poll_problem_);
  }
  schedule_poll();
}

void HotRestartCoordinator::schedule_poll() {
  next_poll_ = deadlines_.set(now_() + kPollInterval, [this] {
    start_poll();
    schedule_poll();
  });
}

void HotRestartCoordinator::measure_load() {
  const core::Time now = now_();
  const Load load = callbacks_.measure_load();
  if (measured_at_ && now > measured_at_) {
    const double rate = static_cast<double>(load.admitted_requests - admitted_requests_) *
                        kMicrosecondsPerSecond / static_cast<double>(now - measured_at_);
    request_rate_ += kRateSmoothing * (rate - request_rate_);
  }
  measured_at_ = now;
  admitted_requests_ = load.admitted_requests;
  status_.request_rate = request_rate_;
  status_.concurrency_limit = load.concurrency_limit;
}

// Returns the share in proportion to the request rates, with at least kMinShare for each process.
double HotRestartCoordinator::wanted_share() const {
  if (!peers_.count) return 1;
  const double total_rate = request_rate_ + peers_.request_rate;
  return std::clamp(total_rate > 0 ? request_rate_ / total_rate : kEvenShare, kMinShare,
                    1 - kMinShare * peers_.count);
}

// Publishes the status, raises the share if it is below `wanted_share`, and reads peers and bans.
// Writes the bans to the disk again if the list there is older than `known_bans`. Runs on the
// worker thread.
HotRestartCoordinator::PollResult HotRestartCoordinator::poll(SharedDirectory& directory,
                                                              const ProcessStatus& status,
                                                              double wanted_share,
                                                              const BanList& known_bans) {
  PollResult result;
  result.published = status;
  result.error = directory.publish(status);
  if (wanted_share > status.share && !result.error) {
    result.error = directory.raise_share(result.published, wanted_share);
  }
  result.peers = directory.read_peers();
  result.bans = directory.read_bans();
  if (result.bans.list.serial < known_bans.serial) {
    const auto restore_error = directory.restore_bans(known_bans);
    if (!result.error) result.error = restore_error;
  }
  return result;
}

void HotRestartCoordinator::start_poll() {
  // While the disk does not respond, the share, the peers and the bans stay unchanged.
  if (is_polling_) return;
  for (const auto& change : bans_.retry_failed_changes()) save(change, {});
  measure_load();
  status_.known_peers = peers_.count;
  const double wanted = wanted_share();
  if (wanted < status_.share) {
    status_.share = wanted;
    callbacks_.on_peers_changed(peers_, status_.share);
  }
  is_polling_ = worker_->submit(
      [this, directory = directory_, known_bans = bans_.saved_list(), status = status_, wanted] {
        wakeup_->post([this, result = poll(*directory, status, wanted, known_bans)] {
          is_polling_ = false;
          is_published_ |= result.published.phase == ProcessPhase::serving;
          apply_poll_result(result);
        });
      });
}

void HotRestartCoordinator::apply_poll_result(const PollResult& result) {
  const auto& problem = result.error ? result.error : result.bans.error;
  log_if_new(problem ? to_string(*problem) : std::string(), last_poll_problem_);
  bans_.on_list_read(result.bans.list);
  report_ban_changes();
  const bool count_changed = result.peers.count != peers_.count;
  const bool any_changed = count_changed || result.peers.has_successor != peers_.has_successor ||
                           result.published.share != status_.share;
  peers_ = result.peers;
  status_.share = result.published.share;
  if (count_changed) {
    log_("peer_processes",
         std::to_string(peers_.count) + " other processes of this router are running");
  }
  if (any_changed) callbacks_.on_peers_changed(peers_, status_.share);
  // A new peer waits until this process publishes that it has found the peer.
  if (count_changed && worker_) start_poll();
}

// Logs a problem unless it is the same as the last one. An empty `problem` means that the operation
// succeeded.
void HotRestartCoordinator::log_if_new(const std::string& problem, std::string& last_problem) {
  if (problem == last_problem) return;
  last_problem = problem;
  if (!problem.empty()) log_("shared_folder", problem);
}

void HotRestartCoordinator::report_ban_changes() {
  for (const auto& change : bans_.take_effective_changes()) {
    log_("ban",
         change.server + (change.is_banned ? " is banned manually" : " is no longer banned"));
    callbacks_.on_ban_changed(change);
  }
}

void HotRestartCoordinator::start_serving() {
  status_.phase = ProcessPhase::serving;
  if (!directory_) return;
  is_published_ = false;
  start_poll();
}

void HotRestartCoordinator::start_draining() {
  status_.phase = ProcessPhase::draining;
  if (directory_) start_poll();
}

bool HotRestartCoordinator::stop_worker() { return !worker_ || worker_->stop(kStopTimeout); }

void HotRestartCoordinator::change_ban(const BanChange& change, const SaveCallback& done) {
  bans_.begin_change(change);
  report_ban_changes();
  if (directory_) {
    save(change, done);
    return;
  }
  BanList list = bans_.saved_list();
  ++list.serial;
  apply_change(change, list.servers);
  bans_.on_saved(list);
  done({});
}

void HotRestartCoordinator::finish_save(const BanChangeResult& result, const SaveCallback& done) {
  if (result.error) {
    bans_.on_save_failed();
  } else {
    bans_.on_saved(result.list);
  }
  log_if_new(result.error ? to_string(*result.error) : std::string(), last_save_problem_);
  report_ban_changes();
  if (done) done(result.error);
}

void HotRestartCoordinator::save(const BanChange& change, const SaveCallback& done) {
  const bool is_submitted = worker_->submit(
      [this, directory = directory_, known_bans = bans_.saved_list(), change, done] {
        wakeup_->post([this, result = directory->change_ban(known_bans, change), done] {
          finish_save(result, done);
        });
      });
  if (!is_submitted) finish_save({{}, TooManyPendingChanges{}}, done);
}

}  // namespace alderspur::hot_restart

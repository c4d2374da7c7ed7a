#include "control/endpoint_controller.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <mutex>
#include <utility>

#include "endpoints/check.h"
#include "endpoints/list.h"
#include "store/endpoint_state.h"

namespace alderspur::control {
namespace {

/// The maximum time for which the constructor waits until the files stop changing, in microseconds.
constexpr core::Time kFirstReadTimeout = 2'000'000;
/// The delay between a change and the write of the state, in microseconds. Changes within this time
/// are written together.
constexpr core::Time kSaveDelay = 1'000'000;
constexpr std::chrono::milliseconds kFinalSaveTimeout(500);
constexpr std::chrono::milliseconds kStopTimeout(200);
constexpr core::Time kMicrosecondsPerSecond = 1'000'000;
constexpr const char* kLogModule = "membership";

std::string state_path(const std::string& folder) { return folder + "/membership.state"; }

/// Returns the names of the files that the manifest lists. Ignores errors in the manifest, because
/// ListEvaluator reads it again when the files have stopped changing, and reports them then.
std::vector<std::string> manifest_piece_files(const std::string& manifest,
                                              const endpoints::ListLimits& limits) {
  diagnostics::Findings ignored;
  std::vector<std::string> names;
  const auto read = endpoints::read_list(manifest, "manifest.toml", 0, limits, ignored);
  for (const auto& piece : read.pieces) names.push_back(piece.file);
  return names;
}

const char* status_name(ServerStatus status) {
  if (status == ServerStatus::ready) return "ready";
  return status == ServerStatus::draining ? "draining" : "gone";
}

}  // namespace

EndpointController::EndpointController(edge_router::EdgeRouter& router,
                                       const settings::Membership& settings, log::Log& log)
    : router_(router),
      settings_(settings),
      log_(log),
      endpoints_(settings.endpoint_set),
      evaluator_(std::make_shared<ListEvaluator>(settings, router.config().names.zones)),
      wakeup_(router.loop()) {
  const core::Time now = router_.engine().now();
  if (settings_.list.empty()) return;
  create_watcher();
  load_initial_list(now);
}

EndpointController::~EndpointController() {
  if (advance_timer_) router_.deadlines().cancel(*advance_timer_);
  if (save_timer_) router_.deadlines().cancel(*save_timer_);
}

void EndpointController::create_watcher() {
  const file_watch::WatchSettings watch{settings_.list, settings_.unchanged_time,
                                        settings_.poll_interval, settings_.list_limits.max_bytes};
  const auto list_pieces = [limits = settings_.list_limits](const std::string& text) {
    return manifest_piece_files(text, limits);
  };
  const auto evaluate_files =
      [this, evaluator = evaluator_](file_watch::PollResult&& files) -> file_watch::Apply {
    auto evaluation = std::make_shared<ListEvaluation>(evaluator->evaluate(files));
    return [this, evaluation = std::move(evaluation)] { apply_evaluation(*evaluation); };
  };
  watcher_ = std::make_unique<file_watch::Watcher>(router_.loop(), router_.deadlines(), wakeup_,
                                                   reader_, watch, list_pieces, evaluate_files);
}

// The restored list becomes the active list, so that lists are compared with it as they would have
// been without the restart: a list from the files with a lower generation is rejected, and a server
// that the restored list does not contain starts with a cold cache.
std::optional<endpoints::CandidateList> EndpointController::restore_state(core::Time now) {
  if (settings_.state_directory.empty()) return std::nullopt;
  std::error_code ignored;
  std::filesystem::create_directories(settings_.state_directory, ignored);
  const auto restored = store::load_endpoint_state(state_path(settings_.state_directory));
  if (!restored.state) {
    if (!restored.is_absent) {
      log_.record(kLogModule, log::Level::warning, "state_unusable",
                  {{"reason", to_string(*restored.error)}});
    }
    return std::nullopt;
  }
  const auto& list = restored.state->list;
  endpoints::CandidateList candidate{list, nullptr, difference(nullptr, *list), {}};
  diagnostics::Findings findings;
  candidate.zones = resolve_zones(*list, evaluator_->zones(), findings);
  check_alone(*list, findings);
  if (!findings.is_ok()) {
    log_.record(kLogModule, log::Level::warning, "state_unusable",
                {{"reason", diagnostics::to_string(findings.list()[0])}});
    return std::nullopt;
  }
  endpoints_.restore(restored.state->remembered);
  endpoints_.apply_list(candidate, now);
  return candidate;
}

void EndpointController::load_initial_list(core::Time now) {
  const auto restored = restore_state(now);
  evaluator_->set_active_list(endpoints_.current_list());
  ListEvaluation evaluation;
  if (const auto files = watcher_->poll_until_settled(kFirstReadTimeout)) {
    evaluation = evaluator_->evaluate(*files);
  } else {
    evaluation.rejection = "the files of " + settings_.list + " were still changing after " +
                           std::to_string(kFirstReadTimeout / kMicrosecondsPerSecond) + " s";
  }
  const bool has_list = evaluation.candidate || evaluation.is_unchanged;
  if (!has_list && !restored && settings_.endpoint_set.authority == endpoints::Authority::files) {
    throw config::Error("no usable list of servers: " + evaluation.rejection);
  }
  apply_evaluation(evaluation);  // logs the reason if the list was rejected
  if (!has_list && restored) continue_from_state(*restored->list, evaluation.rejection, now);
  is_serving_ = true;
}

void EndpointController::continue_from_state(const endpoints::Snapshot& list,
                                             const std::string& rejection, core::Time now) {
  const core::Time age = now - list.read_at;
  const core::Time age_seconds = age / kMicrosecondsPerSecond;
  if (age > settings_.max_state_age) {
    throw config::Error("no usable list of servers: " + rejection + "; the last valid list is " +
                        std::to_string(age_seconds) + " s old, which exceeds the limit of " +
                        std::to_string(settings_.max_state_age / kMicrosecondsPerSecond) + " s");
  }
  log_.record(kLogModule, log::Level::warning, "started_from_state",
              {{"generation", list.generation}, {"age_s", age_seconds}});
  publish_changes();
}

void EndpointController::apply_evaluation(const ListEvaluation& evaluation) {
  if (evaluation.is_unchanged) {
    last_rejection_.clear();
  } else if (evaluation.candidate) {
    apply_list(evaluation);
  } else {
    reject_list(evaluation);
  }
}

void EndpointController::reject_list(const ListEvaluation& evaluation) {
  ++counters_.lists_rejected;
  if (evaluation.rejection == last_rejection_) return;  // already logged
  last_rejection_ = evaluation.rejection;
  const auto& active = endpoints_.current_list();
  log_.record(kLogModule, log::Level::error, "list_refused",
              {{"reason", evaluation.rejection},
               {"findings", evaluation.finding_count},
               {"in_force", active ? active->generation : 0}});
}

void EndpointController::apply_list(const ListEvaluation& evaluation) {
  const auto& candidate = *evaluation.candidate;
  const core::Time began_at = net::unix_now();
  const auto before = endpoints_.current_list();
  if (!endpoints_.apply_list(candidate, router_.engine().now())) {
    // Another list became active during the evaluation: evaluate the files against that list.
    watcher_->poll_now();
    return;
  }
  evaluator_->set_active_list(endpoints_.current_list());
  last_rejection_.clear();
  ++counters_.lists_applied;
  publish_changes();
  const core::Time apply_duration = net::unix_now() - began_at;
  if (is_serving_) record_apply_duration(began_at);
  const auto& list = *candidate.list;
  log_.record(kLogModule, log::Level::info, "list_taken",
              {{"generation", list.generation},
               {"servers", list.servers.size()},
               {"change", endpoints::summary(before.get(), list, candidate.difference)},
               {"judged_us", evaluation.duration},
               {"held_us", apply_duration}});
  schedule_save();
}

void EndpointController::update_endpoints(bool complete,
                                          const std::vector<config::Member>& members) {
  if (settings_.endpoint_set.authority == endpoints::Authority::files) return;
  endpoints_.apply_board_update(complete, members, router_.engine().now());
  publish_changes();
}

// Each server is added to the upstream pool before the engine receives the update, so that the
// engine never selects a server without a connection. take_changes() returns removed servers before
// the servers that replace them.
void EndpointController::publish_changes() {
  EndpointUpdate update;
  const auto changes = endpoints_.take_changes();
  update.servers.reserve(changes.size());
  for (const auto& change : changes) {
    const Server& server = change.member.server;
    if (!track_published_server(server)) continue;
    router_.upstream_pool().update_endpoint(change.member);
    update.servers.push_back(server);
    if (is_serving_) log_change(change);
  }
  if (!update.servers.empty()) {
    router_.engine().update_endpoints(std::move(update));
    schedule_save();
  }
  schedule_advance();
}

void EndpointController::log_change(const endpoints::EndpointChange& change) {
  const auto& member = change.member;
  if (change.reason == endpoints::Reason::flapping ||
      change.reason == endpoints::Reason::locations_differ) {
    log_.record(kLogModule, log::Level::warning, "held_out",
                {{"id", member.name}, {"why", endpoints::to_string(change.reason)}});
  }
  if (!log_.enabled(kLogModule, log::Level::debug)) return;
  log_.record(kLogModule, log::Level::debug, "server",
              {{"id", member.name},
               {"status", status_name(member.server.status)},
               {"weight", member.server.weight},
               {"why", endpoints::to_string(change.reason)}});
}

// Reports whether a change of this server must be published, and updates published_servers_. Caches
// of other locations are left out, because this router sends no requests to them. So the costs of
// an engine update and of each sweep do not grow with a list of a hundred thousand servers. The
// removal of a server that was published before is still published.
bool EndpointController::track_published_server(const Server& server) {
  const bool is_local =
      server.role != Role::cache || server.location == router_.config().settings.location;
  if (is_local && server.status != ServerStatus::gone) {
    published_servers_.insert(server.id.value);
    return true;
  }
  return published_servers_.erase(server.id.value) > 0;
}

void EndpointController::record_apply_duration(core::Time began_at) {
  counters_.longest_apply = std::max(counters_.longest_apply, net::unix_now() - began_at);
}

void EndpointController::schedule_advance() {
  const core::Time next = endpoints_.next_wakeup();
  if (advance_timer_ && advance_at_ <= next) return;
  if (advance_timer_) {
    router_.deadlines().cancel(*advance_timer_);
    advance_timer_.reset();
  }
  if (next == std::numeric_limits<core::Time>::max()) return;
  advance_at_ = next;
  advance_timer_ = router_.deadlines().set(next, [this] {
    advance_timer_.reset();
    const core::Time began_at = net::unix_now();
    endpoints_.advance(router_.engine().now());
    publish_changes();
    record_apply_duration(began_at);
  });
}

void EndpointController::start() {
  if (watcher_) watcher_->start();
  schedule_save();
}

void EndpointController::reload() {
  if (watcher_) watcher_->poll_now();
}

void EndpointController::schedule_save() {
  if (settings_.state_directory.empty() || save_timer_ || is_saving_) return;
  save_timer_ = router_.deadlines().set(net::unix_now() + kSaveDelay, [this] {
    save_timer_.reset();
    save();
  });
}

void EndpointController::save() {
  if (is_saving_ || !endpoints_.current_list()) return;
  const core::Time now = net::unix_now();
  store::EndpointState state{endpoints_.current_list(), endpoints_.remembered(now), now};
  is_saving_ = writer_.submit(
      [this, state = std::move(state), path = state_path(settings_.state_directory)] {
        const auto error = store::save_endpoint_state(path, state);
        wakeup_.post([this, error] {
          is_saving_ = false;
          if (!error) {
            ++counters_.saves;
            return;
          }
          ++counters_.failed_saves;
          log_.record(kLogModule, log::Level::error, "state_not_saved",
                      {{"reason", to_string(*error)}});
        });
      });
}

bool EndpointController::finish() {
  if (!settings_.state_directory.empty() && writer_.drain(kFinalSaveTimeout)) {
    is_saving_ = false;
    save();
    writer_.drain(kFinalSaveTimeout);
  }
  const bool has_stopped_writer = writer_.stop(kStopTimeout);
  return reader_.stop(kStopTimeout) && has_stopped_writer;
}

std::string EndpointController::summary() const {
  const auto& changes = endpoints_.counters();
  const auto& list = endpoints_.current_list();
  const auto number = [](std::uint64_t value) { return std::to_string(value); };
  return "generation " + number(list ? list->generation : 0) + ", known " +
         number(endpoints_.known_count()) + " ready " + number(endpoints_.ready_count()) +
         "; lists taken " + number(counters_.lists_applied) + " refused " +
         number(counters_.lists_rejected) + ", changes " + number(changes.changes) +
         " departures " + number(changes.departures) + " weight steps " +
         number(changes.weight_steps) + " held out " + number(changes.suppressed) + " let back " +
         number(changes.reinstated) + ", saved " + number(counters_.saves) + ", longest hold us " +
         std::to_string(counters_.longest_apply);
}

}  // namespace alderspur::control

#include "app/endpoint_controller.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <mutex>
#include <utility>

#include "endpoints/check.h"
#include "endpoints/list.h"
#include "store/endpoint_state.h"

namespace alderspur::app {
namespace {

constexpr core::Time kFirst = 2'000'000, kSaveEvery = 1'000'000;
constexpr const char* kName = "membership";

std::string state_path(const std::string& folder) { return folder + "/membership.state"; }

std::vector<std::string> piece_names(const std::string& manifest,
                                     const endpoints::ListLimits& limits) {
  diagnostics::Findings ignored;  // judged with the rest, once all has settled
  std::vector<std::string> out;
  for (const auto& p : endpoints::read_list(manifest, "manifest.toml", 0, limits, ignored).pieces) {
    out.push_back(p.file);
  }
  return out;
}

}  // namespace

// What the worker judges by. The list in force is written by the loop only, between two looks.
struct EndpointController::Shared {
  settings::Membership settings;
  std::vector<std::string> zones;
  endpoints::SnapshotPtr in_force() const {
    const std::lock_guard lock(mutex);
    return list;
  }
  void bring(endpoints::SnapshotPtr next) {
    const std::lock_guard lock(mutex);
    list = std::move(next);
  }
  mutable std::mutex mutex;
  endpoints::SnapshotPtr list;  // guarded by mutex
};
struct EndpointController::Judged {
  std::optional<endpoints::CandidateList> offer;
  bool unchanged = false;
  std::string refusal;  // the first finding
  std::size_t findings = 0;
  core::Time took = 0;
};

EndpointController::EndpointController(platform::EdgeRouter& node,
                                       const settings::Membership& settings, log::Log& log)
    : node_(node),
      settings_(settings),
      log_(log),
      fleet_(settings.fleet),
      shared_(std::make_shared<Shared>()),
      wakeup_(node.loop()) {
  shared_->settings = settings;
  shared_->settings.limits.threads = endpoints::spare_threads();
  shared_->zones = node.config().names.zones;
  const core::Time now = node_.engine().now();
  if (!settings_.list.empty()) {
    file_watch::WatchSettings w{settings_.list, settings_.settle, settings_.poll,
                                settings_.limits.max_bytes};
    watcher_ = std::make_unique<file_watch::Watcher>(
        node_.loop(), node_.deadlines(), wakeup_, reader_, w,
        [limits = settings_.limits](const std::string& text) { return piece_names(text, limits); },
        [this, shared = shared_](file_watch::LookResult&& look) -> file_watch::Apply {
          return [this, judged = std::make_shared<Judged>(judge(*shared, std::move(look)))] {
            take(*judged);
          };
        });
  }
  begin(now);
}
EndpointController::~EndpointController() {
  if (step_) node_.deadlines().cancel(*step_);
  if (save_) node_.deadlines().cancel(*save_);
}

// What an earlier process had in force counts as in force: a list may not go back behind it, and
// whoever is new against it is cold.
std::optional<endpoints::CandidateList> EndpointController::begin_with_state(core::Time now) {
  if (settings_.state.empty()) return {};
  std::error_code ignored;
  std::filesystem::create_directories(settings_.state, ignored);
  auto restored = store::load_endpoint_state(state_path(settings_.state));
  if (!restored.state) {
    if (!restored.is_absent) {
      log_.record(kName, log::Level::warning, "state_unusable",
                  {{"reason", to_string(*restored.error)}});
    }
    return {};
  }
  endpoints::CandidateList offer{
      restored.state->list, nullptr, difference(nullptr, *restored.state->list), {}};
  diagnostics::Findings findings;
  offer.zones = resolve_zones(*offer.list, shared_->zones, findings);
  check_alone(*offer.list, findings);
  if (!findings.good()) {
    log_.record(kName, log::Level::warning, "state_unusable",
                {{"reason", diagnostics::to_string(findings.list()[0])}});
    return {};
  }
  fleet_.restore(restored.state->remembered);
  fleet_.apply_list(offer, now);
  return offer;
}

void EndpointController::begin(core::Time now) {
  if (!watcher_) return;
  const auto kept = begin_with_state(now);
  shared_->bring(fleet_.current_list());
  const auto look = watcher_->first(kFirst);
  Judged judged;
  if (look) {
    judged = judge(*shared_, file_watch::LookResult(*look));
  } else {
    judged.refusal = settings_.list + " has not settled";
  }
  const bool has_list = judged.offer || judged.unchanged;
  const bool needs_list = settings_.fleet.authority == endpoints::Authority::files;
  if (!has_list && !kept && needs_list) {
    throw config::Error("no usable list of servers: " + judged.refusal);
  }
  take(judged);  // says what is wrong with the files, if anything
  if (!has_list && kept) {
    const core::Time age = now - kept->list->read_at;
    if (age > settings_.oldest) {
      throw config::Error("no usable list of servers: " + judged.refusal +
                          "; the last good one is " + std::to_string(age / 1'000'000) +
                          " s old, over the bound of " +
                          std::to_string(settings_.oldest / 1'000'000) + " s");
    }
    log_.record(kName, log::Level::warning, "started_from_state",
                {{"generation", kept->list->generation}, {"age_s", age / 1'000'000}});
    push();
  }
  serving_ = true;
}

EndpointController::Judged EndpointController::judge(const Shared& shared,
                                                     file_watch::LookResult&& look) {
  Judged out;
  const core::Time begun = net::unix_now();
  if (look.sight == file_watch::Observation::unreadable) {
    out.refusal = look.error;
    return out;
  }
  diagnostics::Findings findings;
  const auto& s = shared.settings;
  auto read = endpoints::read_list(look.texts.text, look.texts.file, begun, s.limits, findings);
  endpoints::SnapshotPtr list = read.list;
  if (list && look.texts.directory) {
    list = endpoints::read_pieces(read, look.texts.pieces, s.limits, findings);
  } else if (list && !read.pieces.empty()) {
    findings.error("L004", {look.texts.file, 0, 0}, "a manifest is given by its directory",
                   "name the directory");
  }
  const auto in_force = shared.in_force();
  if (list && findings.good()) {
    check_alone(*list, findings);
    check_change(in_force.get(), *list, s.bounds, findings);
  }
  if (list && findings.good()) {
    endpoints::CandidateList offer{list, in_force, difference(in_force.get(), *list), {}};
    offer.zones = resolve_zones(*list, shared.zones, findings);
    out.unchanged = in_force && in_force->generation == list->generation;
    if (findings.good() && !out.unchanged) out.offer = std::move(offer);
  }
  if (!findings.good()) {
    out.unchanged = false;
    out.refusal = diagnostics::to_string(findings.list()[0]);
    out.findings = findings.errors();
  }
  out.took = net::unix_now() - begun;
  return out;
}

void EndpointController::take(const Judged& judged) {
  if (judged.unchanged) {
    last_refusal_.clear();
    return;
  }
  if (!judged.offer) {
    ++counters_.refused;
    if (judged.refusal == last_refusal_) return;  // told already
    last_refusal_ = judged.refusal;
    const auto& in_force = fleet_.current_list();
    log_.record(kName, log::Level::error, "list_refused",
                {{"reason", judged.refusal},
                 {"findings", judged.findings},
                 {"in_force", in_force ? in_force->generation : 0}});
    return;
  }
  const core::Time begun = net::unix_now();
  const auto before = fleet_.current_list();
  if (!fleet_.apply_list(*judged.offer, node_.engine().now())) {
    watcher_->look_now();  // something else came into force meanwhile: judge it again
    return;
  }
  shared_->bring(fleet_.current_list());
  last_refusal_.clear();
  ++counters_.taken;
  push();
  const core::Time held = net::unix_now() - begun;
  if (serving_) held_since(begun);
  const auto& list = *judged.offer->list;
  log_.record(kName, log::Level::info, "list_taken",
              {{"generation", list.generation},
               {"servers", list.servers.size()},
               {"change", endpoints::summary(before.get(), list, judged.offer->difference)},
               {"judged_us", judged.took},
               {"held_us", held}});
  save_soon();
}

void EndpointController::update_endpoints(bool complete,
                                          const std::vector<config::Member>& members) {
  if (settings_.fleet.authority == endpoints::Authority::files) return;
  fleet_.apply_board_update(complete, members, node_.engine().now());
  push();
}

// Connections hear of a server before the core does, and departures come before whoever takes their
// place.
void EndpointController::push() {
  auto changes = fleet_.take_changes();
  EndpointUpdate update;
  update.servers.reserve(changes.size());
  for (const auto& c : changes) {
    if (!concerns(c.member.server)) continue;
    node_.upstream_pool().update_endpoint(c.member);
    update.servers.push_back(c.member.server);
    if (serving_ && (c.reason == endpoints::Reason::flapping ||
                     c.reason == endpoints::Reason::locations_differ)) {
      log_.record(kName, log::Level::warning, "held_out",
                  {{"id", c.member.name}, {"why", endpoints::to_string(c.reason)}});
    }
    if (!serving_ || !log_.enabled(kName, log::Level::debug)) continue;
    log_.record(kName, log::Level::debug, "server",
                {{"id", c.member.name},
                 {"status", c.member.server.status == ServerStatus::ready      ? "ready"
                            : c.member.server.status == ServerStatus::draining ? "draining"
                                                                               : "gone"},
                 {"weight", c.member.server.weight},
                 {"why", endpoints::to_string(c.reason)}});
  }
  if (!update.servers.empty()) {
    node_.engine().update_endpoints(std::move(update));
    save_soon();
  }
  arm();
}

// Caches of other points are asked by nobody here: a list of a hundred thousand must not make every
// update of the module's view, and every sweep, as long as itself. One that leaves our point is
// still told of.
bool EndpointController::concerns(const Server& s) {
  const bool ours = s.role != Role::cache || s.location == node_.config().settings.location;
  if (ours && s.status != ServerStatus::gone) return passed_.insert(s.id.value), true;
  return passed_.erase(s.id.value) > 0;
}

void EndpointController::held_since(core::Time begun) {
  counters_.longest_apply = std::max(counters_.longest_apply, net::unix_now() - begun);
}

void EndpointController::arm() {
  const core::Time next = fleet_.next_wakeup();
  if (step_ && step_at_ <= next) return;
  if (step_) node_.deadlines().cancel(*step_), step_.reset();
  if (next == std::numeric_limits<core::Time>::max()) return;
  step_at_ = next;
  step_ = node_.deadlines().set(next, [this] {
    step_.reset();
    const core::Time begun = net::unix_now();
    fleet_.advance(node_.engine().now());
    push();
    held_since(begun);
  });
}

void EndpointController::start() {
  if (watcher_) watcher_->start();
  save_soon();
}
void EndpointController::look() {
  if (watcher_) watcher_->look_now();
}

void EndpointController::save_soon() {
  if (settings_.state.empty() || save_ || saving_) return;
  save_ = node_.deadlines().set(net::unix_now() + kSaveEvery, [this] {
    save_.reset();
    save();
  });
}

void EndpointController::save() {
  if (saving_ || !fleet_.current_list()) return;
  const core::Time now = net::unix_now();
  store::EndpointState state{fleet_.current_list(), fleet_.remembered(now), now};
  saving_ = writer_.submit([this, state = std::move(state), path = state_path(settings_.state)] {
    const auto error = store::save_endpoint_state(path, state);
    wakeup_.post([this, error] {
      saving_ = false;
      ++(!error ? counters_.saved : counters_.save_failed);
      if (error) {
        log_.record(kName, log::Level::error, "state_not_saved", {{"reason", to_string(*error)}});
      }
    });
  });
}

void EndpointController::finish() {
  if (settings_.state.empty()) return;
  writer_.drain();
  saving_ = false;
  save();
  writer_.drain();
}

std::string EndpointController::summary() const {
  const auto& c = fleet_.counters();
  const auto& list = fleet_.current_list();
  return "generation " + std::to_string(list ? list->generation : 0) + ", known " +
         std::to_string(fleet_.known_count()) + " ready " + std::to_string(fleet_.ready_count()) +
         "; lists taken " + std::to_string(counters_.taken) + " refused " +
         std::to_string(counters_.refused) + ", changes " + std::to_string(c.changes) +
         " departures " + std::to_string(c.departures) + " weight steps " +
         std::to_string(c.weight_steps) + " held out " + std::to_string(c.suppressed) +
         " let back " + std::to_string(c.reinstated) + ", saved " +
         std::to_string(counters_.saved) + ", longest hold us " +
         std::to_string(counters_.longest_apply);
}

}  // namespace alderspur::app

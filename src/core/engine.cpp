// Implements the construction and the turns of Engine.
#include "core/engine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/engine_state.h"

namespace alderspur::core {
Engine::Engine(const alderspur::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
               std::function<Time()> clock)
    : settings_(settings),
      router_(settings, seed),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      class_counters_(settings.classes.size()) {}
Engine::~Engine() = default;

Time Engine::now() {
  now_ = std::max(now_, clock_());
  return now_;
}

Engine::OpenRequest* Engine::find_request(RequestHandle request) {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

Engine::Attempt* Engine::find_attempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : &found->second;
}

// ---- Turns ----

void Engine::run() {
  now();
  while (!urgent_events_.empty() || !waiting_events_.empty()) {
    std::vector<Event> batch;
    batch.swap(urgent_events_);
    std::move(waiting_events_.begin(), waiting_events_.end(), std::back_inserter(batch));
    waiting_events_.clear();
    for (const Event& event : batch) process_event(event);
    // An action, such as a connect, may fail immediately. Its outcome is processed in the next
    // batch of the same turn.
    std::vector<Effect> effects;
    effects.swap(effects_);
    for (const Effect& effect : effects) apply_effect(effect);
    remove_finished_requests();
  }
}

void Engine::process_event(const Event& event) {
  if (event.attempt) return process_outcome(event);
  const auto* client_gone = std::get_if<alderspur::ClientGone>(&event.event);
  if (client_gone && !client_gone->response_owed) return process_cancel(event);
  if (const auto* purge = std::get_if<alderspur::Purge>(&event.event)) lower_max_age(*purge);
  pass_to_router(event.event);
}

// The router may reject or fail a request whose response is a later event of the same batch. The
// final answer is therefore fixed when the router decides, although it is sent after the batch.
void Engine::pass_to_router(const alderspur::Event& event) {
  actions_.clear();
  router_.handle(now_, event, actions_);
  for (const auto& action : actions_) {
    if (const auto* reject = std::get_if<alderspur::Reject>(&action)) {
      answer_without_response(reject->id.value, FinalStatus::rejected, reject->retry_after);
    } else if (const auto* fail = std::get_if<alderspur::Fail>(&action)) {
      answer_without_response(fail->id.value, FinalStatus::failed, 0);
    } else {
      effects_.emplace_back(action);
    }
  }
}

void Engine::apply_effect(const Effect& effect) {
  if (const auto* respond = std::get_if<Respond>(&effect)) {
    respond->front->respond(respond->request, respond->response);
    return;
  }
  const auto& action = std::get<alderspur::Action>(effect);
  if (const auto* to_send = std::get_if<alderspur::Send>(&action)) return send(*to_send);
  if (const auto* to_cancel = std::get_if<alderspur::Cancel>(&action)) return cancel(*to_cancel);
  if (const auto* check = std::get_if<alderspur::HealthCheck>(&action)) {
    ++counters_.health_checks;
    upstream_client_->send_health_check(check->server);
  } else if (const auto* set_timer = std::get_if<alderspur::SetTimer>(&action)) {
    deadlines_.set(set_timer->at, [this, timer = set_timer->timer] {
      waiting_events_.push_back({alderspur::TimerExpired{timer}, 0, 0, {}});
    });
  }
}

}  // namespace alderspur::core

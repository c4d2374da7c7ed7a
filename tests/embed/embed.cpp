// The example of the README: creates a router, passes it the endpoint list, a request and the
// outcome of its attempt, and prints the actions.
#include <alderspur/router.h>

#include <cstdio>

namespace al = alderspur;

int main() {
  al::Settings settings;
  al::ClassSettings pages;
  pages.latency_objective = 250'000;
  settings.classes = {pages};
  settings.max_attempts = 3;
  settings.has_fills = settings.can_join_fills = true;
  al::Router router(settings, 42);

  al::Time now = 1'000'000;
  std::vector<al::Action> actions;
  const al::Server cache{{1}, al::Role::cache, {0}, {0}, al::ServerStatus::ready, 1, 0};
  const al::Server origin{{9}, al::Role::origin, {0}, {0}, al::ServerStatus::ready, 1, 0};
  router.handle(now, al::EndpointUpdate{true, false, {cache, origin}}, actions);
  router.handle(now, al::Request{{7}, {1234}, {0}, {0}, 0, 80, 2'500'000, false}, actions);

  int sent = 0;
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<al::Send>(&action)) {
      ++sent;
      std::printf("ask server %llu, fill from %llu\n",
                  static_cast<unsigned long long>(send->server.value),
                  static_cast<unsigned long long>(send->fill ? send->fill->source.value : 0));
    } else if (const auto* timer = std::get_if<al::SetTimer>(&action)) {
      std::printf("wake at %lld us\n", static_cast<long long>(timer->at));
    }
  }
  al::AttemptOutcome outcome;
  outcome.id = {7};
  outcome.server = {1};
  outcome.fill_outcome = al::FillOutcome::hit;
  outcome.response_delivered = true;
  outcome.elapsed = 12'000;
  router.handle(now + 12'000, outcome, actions);
  return sent == 1 ? 0 : 1;
}

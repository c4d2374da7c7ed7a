#include "policy_state/request_state.h"

#include <algorithm>

namespace alderspur::policy {

bool has_not_responded_since(const Upstream& upstream, const AttemptState& attempt) {
  return upstream.last_alive_at < attempt.sent_at;
}

AttemptState make_attempt(const Upstream& upstream, const Upstream* source, Time now) {
  AttemptState attempt;
  attempt.server = upstream.server.id;
  attempt.location = upstream.server.location;
  attempt.cell = upstream.server.cell;
  attempt.sent_at = now;
  if (source) {
    attempt.has_source = true;
    attempt.source = source->server.id;
    attempt.charged_to_source = source->is_warming_up;
  }
  return attempt;
}

bool RequestState::was_sent_to(ServerId server) const {
  return std::ranges::count(attempts, server, &AttemptState::server) > 0;
}

const AttemptState* RequestState::attempt_in_flight() const {
  return !attempts.empty() && attempts.back().in_flight ? &attempts.back() : nullptr;
}

}  // namespace alderspur::policy

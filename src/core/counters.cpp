#include "core/counters.h"

namespace alderspur::core {

std::vector<NamedCounter> named_counters(const Counters& counters) {
  return {{"admitted", counters.admitted},
          {"forwarded", counters.forwarded},
          {"health_checks", counters.health_checks},
          {"served", counters.served},
          {"not_modified", counters.not_modified},
          {"rejected", counters.rejected},
          {"failed", counters.failed},
          {"cancelled", counters.cancelled},
          {"attempts_ok", counters.attempts_ok},
          {"attempts_miss", counters.attempts_miss},
          {"attempts_overloaded", counters.attempts_overloaded},
          {"attempts_error", counters.attempts_error},
          {"attempts_timeout", counters.attempts_timeout},
          {"attempts_connect_failed", counters.attempts_connect_failed},
          {"attempts_reset", counters.attempts_reset},
          {"attempts_cancelled", counters.attempts_cancelled},
          {"late_responses", counters.late_responses},
          {"stale_responses", counters.stale_responses},
          {"purges", counters.purges},
          {"endpoint_updates", counters.endpoint_updates},
          {"invalid_frames", counters.invalid_frames},
          {"invalid_requests", counters.invalid_requests},
          {"invalid_responses", counters.invalid_responses},
          {"invalid_tokens", counters.invalid_tokens},
          {"deferred_accepts", counters.deferred_accepts},
          {"slow_readers", counters.slow_readers},
          {"silent_upstream_connections", counters.silent_upstream_connections},
          {"silent_clients", counters.silent_clients},
          {"idle_clients", counters.idle_clients},
          {"over_limit", counters.over_limit}};
}

std::string to_line(const Counters& counters) {
  std::string line = "counters:";
  for (const NamedCounter& counter : named_counters(counters)) {
    line.append(" ").append(counter.name).append(" ").append(std::to_string(counter.value));
  }
  return line;
}

}  // namespace alderspur::core

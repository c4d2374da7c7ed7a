#include "core/counters.h"

#include <cstdio>

namespace alderspur::core {

std::vector<std::pair<const char*, std::uint64_t>> fields(const Counters& c) {
  return {{"taken", c.admitted},
          {"sent", c.forwarded},
          {"probes", c.health_checks},
          {"served", c.served},
          {"unchanged", c.not_modified},
          {"refused", c.rejected},
          {"failed", c.failed},
          {"withdrawn", c.cancelled},
          {"attempts_ok", c.attempts_ok},
          {"attempts_miss", c.attempts_miss},
          {"attempts_full", c.attempts_overloaded},
          {"attempts_error", c.attempts_error},
          {"attempts_timeout", c.attempts_timeout},
          {"attempts_unconnected", c.attempts_connect_failed},
          {"attempts_reset", c.attempts_reset},
          {"attempts_cancelled", c.attempts_cancelled},
          {"late_answers", c.late_responses},
          {"stale_answers", c.stale_responses},
          {"purges", c.purges},
          {"fleet_updates", c.endpoint_updates},
          {"bad_frames", c.invalid_frames},
          {"bad_requests", c.invalid_requests},
          {"bad_answers", c.invalid_responses},
          {"bad_tokens", c.invalid_tokens},
          {"accepts_put_off", c.deferred_accepts},
          {"slow_readers", c.slow_readers},
          {"silent_links", c.silent_upstream_connections},
          {"silent_clients", c.silent_clients},
          {"idle_clients", c.idle_clients},
          {"too_much", c.over_limit}};
}

std::string text(const Counters& c) {
  const auto n = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
  char out[1024];
  std::snprintf(out, sizeof out,
                "counters: taken %llu sent %llu probes %llu | served %llu (unchanged %llu) refused "
                "%llu failed %llu "
                "withdrawn %llu | attempts ok %llu miss %llu full %llu error %llu timeout %llu "
                "unconnected %llu "
                "reset %llu cancelled %llu | late %llu stale %llu purges %llu fleet %llu | bad "
                "frames %llu requests "
                "%llu answers %llu tokens %llu, accepts put off %llu, slow readers %llu, silent "
                "links %llu, silent "
                "clients %llu, idle clients %llu, over their share %llu",
                n(c.admitted), n(c.forwarded), n(c.health_checks), n(c.served), n(c.not_modified),
                n(c.rejected), n(c.failed), n(c.cancelled), n(c.attempts_ok), n(c.attempts_miss),
                n(c.attempts_overloaded), n(c.attempts_error), n(c.attempts_timeout),
                n(c.attempts_connect_failed), n(c.attempts_reset), n(c.attempts_cancelled),
                n(c.late_responses), n(c.stale_responses), n(c.purges), n(c.endpoint_updates),
                n(c.invalid_frames), n(c.invalid_requests), n(c.invalid_responses),
                n(c.invalid_tokens), n(c.deferred_accepts), n(c.slow_readers),
                n(c.silent_upstream_connections), n(c.silent_clients), n(c.idle_clients),
                n(c.over_limit));
  return out;
}

}  // namespace alderspur::core

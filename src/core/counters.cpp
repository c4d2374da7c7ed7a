#include "core/counters.h"

#include <cstdio>

namespace alderspur::core {

std::vector<std::pair<const char*, std::uint64_t>> fields(const Counters& c) {
  return {{"taken", c.taken},
          {"sent", c.sent},
          {"probes", c.probes},
          {"served", c.served},
          {"unchanged", c.unchanged},
          {"refused", c.refused},
          {"failed", c.failed},
          {"withdrawn", c.withdrawn},
          {"attempts_ok", c.attempts_ok},
          {"attempts_miss", c.attempts_miss},
          {"attempts_full", c.attempts_full},
          {"attempts_error", c.attempts_error},
          {"attempts_timeout", c.attempts_timeout},
          {"attempts_unconnected", c.attempts_unconnected},
          {"attempts_reset", c.attempts_reset},
          {"attempts_cancelled", c.attempts_cancelled},
          {"late_answers", c.late_answers},
          {"stale_answers", c.stale_answers},
          {"purges", c.purges},
          {"fleet_updates", c.fleet_updates},
          {"bad_frames", c.bad_frames},
          {"bad_requests", c.bad_requests},
          {"bad_answers", c.bad_answers},
          {"bad_tokens", c.bad_tokens},
          {"accepts_put_off", c.accepts_put_off},
          {"slow_readers", c.slow_readers},
          {"silent_links", c.silent_links},
          {"silent_clients", c.silent_clients},
          {"idle_clients", c.idle_clients},
          {"too_much", c.too_much}};
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
                n(c.taken), n(c.sent), n(c.probes), n(c.served), n(c.unchanged), n(c.refused),
                n(c.failed), n(c.withdrawn), n(c.attempts_ok), n(c.attempts_miss),
                n(c.attempts_full), n(c.attempts_error), n(c.attempts_timeout),
                n(c.attempts_unconnected), n(c.attempts_reset), n(c.attempts_cancelled),
                n(c.late_answers), n(c.stale_answers), n(c.purges), n(c.fleet_updates),
                n(c.bad_frames), n(c.bad_requests), n(c.bad_answers), n(c.bad_tokens),
                n(c.accepts_put_off), n(c.slow_readers), n(c.silent_links), n(c.silent_clients),
                n(c.idle_clients), n(c.too_much));
  return out;
}

}  // namespace alderspur::core

#include "config/routing_settings.h"

#include <utility>

#include "config/error.h"

namespace alderspur::config {
namespace {

// The words of the settings; each table maps a field's words to an enum of the public interface.

constexpr WireWord<Idempotency> kIdempotencyWords[] = {
    {"safe", Idempotency::idempotent},
    {"keyed", Idempotency::idempotent_with_key},
};

constexpr WireWord<DedupScope> kDedupScopeWords[] = {
    {"all", DedupScope::all},
    {"zone", DedupScope::location},
};

constexpr WireWord<WeightKind> kWeightWords[] = {
    {"nominal", WeightKind::nominal},
    {"rough", WeightKind::rough},
    {"live", WeightKind::live},
};

// The value of "registry-mode" with which a router must subscribe to endpoint updates.
constexpr std::string_view kSubscriptionWord = "ask";

ClassSettings read_class(const JsonValue& value, const JsonValue& domain, std::size_t index) {
  ClassSettings settings;
  settings.latency_objective = to_time(member(value, "target"));
  settings.latency_objective_stretch = to_double(member(value, "aim-stretch"));
  settings.priority_weight = to_double(member(value, "points"), 1);
  settings.idempotency =
      parse_word(kIdempotencyWords, to_text(member(value, "repeat")), Idempotency::not_idempotent);
  settings.dedup_scope =
      parse_word(kDedupScopeWords, to_text(member(value, "dedup-scope")), DedupScope::cell);
  settings.dedup_window = to_time(member(value, "dedup-window"));
  settings.client_timeout = to_time(member(value, "give-up"));
  settings.never_cached = to_bool(element(member(domain, "uncached"), index));
  settings.fresh_time = to_time(element(member(domain, "lifetime-by-class"), index));
  settings.stale_grace_time = to_time(element(member(domain, "stale-for"), index));
  return settings;
}

void read_routers(const JsonValue& value, const JsonValue& domain, alderspur::Settings& settings) {
  settings.location = {to_count(member(value, "zone"))};
  settings.router_count = to_count(member(value, "replicas-of-me"), 1);
  const JsonValue& counts = member(domain, "instances-by-zone");
  for (std::size_t i = 0; i < element_count(counts); ++i) {
    settings.router_count_by_location.push_back(to_count(element(counts, i)));
  }
}

void read_limits(const JsonValue& limits, alderspur::Settings& settings) {
  settings.max_attempts = to_count(member(limits, "max-attempts"), 1);
  settings.can_cancel_attempts = to_bool(member(limits, "may-cancel"));
  settings.health_checks_allowed = to_bool(member(limits, "probing"));
  settings.sends_retry_after = to_bool(member(limits, "retry-after"));
  settings.max_retry_after = to_time(member(limits, "max-retry-after"));
}

void read_slow_start(const JsonValue& rules, const JsonValue& domain,
                     alderspur::Settings& settings) {
  settings.cache_slow_start_fraction = to_double(member(rules, "cold-from"), 1);
  settings.cache_slow_start_time = to_time(member(rules, "cold"));
  settings.overload_window = to_time(member(rules, "fall"));
  settings.parent_slow_start_fraction = to_double(member(domain, "upper-cold-from"), 1);
  settings.parent_slow_start_time = to_time(member(domain, "upper-cold"));
}

void read_fills(const JsonValue& domain, alderspur::Settings& settings) {
  settings.purge_propagation_time = to_time(member(domain, "purge-settles"));
  settings.stream_kb_per_second = to_double(member(domain, "stream-kb-per-s"));
  settings.can_join_fills = to_bool(member(domain, "merges-fills"));
  settings.can_bypass_caches = to_bool(member(domain, "straight"));
  settings.has_fills = to_double(member(domain, "source-kind"), -1) >= 0;
}

alderspur::Settings read_settings(const JsonValue& value) {
  const JsonValue& domain = member(value, "domain");
  alderspur::Settings settings;
  read_routers(value, domain, settings);
  const JsonValue& classes = member(value, "classes");
  for (std::size_t i = 0; i < element_count(classes); ++i) {
    settings.classes.push_back(read_class(element(classes, i), domain, i));
  }
  read_limits(member(value, "ceilings"), settings);
  settings.must_subscribe_to_endpoints =
      to_text(member(value, "registry-mode")) == kSubscriptionWord;
  read_slow_start(member(value, "obligations"), domain, settings);
  settings.weights = parse_word(kWeightWords, to_text(member(value, "weights")), WeightKind::none);
  read_fills(domain, settings);
  return settings;
}

Names read_names(const JsonValue& value) {
  Names names;
  names.zones = to_texts(member(value, "azs"));
  names.server_kinds = to_texts(member(value, "shapes"));
  const JsonValue& classes = member(value, "classes");
  for (std::size_t i = 0; i < element_count(classes); ++i) {
    names.classes.push_back(to_text(member(element(classes, i), "name")));
    names.request_timeouts.push_back(to_time(member(element(classes, i), "give-up")));
  }
  names.report_fields = to_texts(member(member(value, "load-report"), "fields"));
  const JsonValue& domain = member(value, "domain");
  names.parent_kind = static_cast<int>(to_double(member(domain, "upper-kind"), -1));
  names.origin_kind = static_cast<int>(to_double(member(domain, "source-kind"), -1));
  return names;
}

}  // namespace

RoutingSettings read_routing_settings(std::string_view text) {
  const auto document = parse_json(text);
  if (!document.IsObject()) throw Error("the settings are not a JSON object");
  return read_routing_settings(document);
}

RoutingSettings read_routing_settings(const JsonValue& value) {
  RoutingSettings result{read_settings(value), read_names(value)};
  if (result.settings.classes.empty()) {
    throw Error("the settings define no request classes: \"classes\" is missing or empty");
  }
  return result;
}

}  // namespace alderspur::config

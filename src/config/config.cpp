#include "config/config.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace alderspur::config {
namespace al = ::alderspur;
using Json = rapidjson::Value;

namespace {

// Null where the text is no JSON. Iterative: deep nesting must not use up the stack.
rapidjson::Document parse(std::string_view text) {
  rapidjson::Document j;
  j.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (j.HasParseError()) j.SetNull();
  return j;
}
// Looks that never fail: absent or oddly typed fields give the default.
const Json& at(const Json& j, const char* key) {
  static const Json nothing;
  if (!j.IsObject()) return nothing;
  const auto it = j.FindMember(key);
  return it == j.MemberEnd() ? nothing : it->value;
}
const Json& item(const Json& j, std::size_t i) {
  static const Json nothing;
  return j.IsArray() && i < j.Size() ? j[static_cast<rapidjson::SizeType>(i)] : nothing;
}
double real(const Json& j, double absent = 0) { return j.IsNumber() ? j.GetDouble() : absent; }
std::int64_t micros(const Json& j, std::int64_t absent = 0) {
  const double v = real(j, static_cast<double>(absent));
  return std::isfinite(v) ? static_cast<std::int64_t>(std::clamp(v, 0.0, 1e15)) : absent;
}
std::uint32_t count(const Json& j, std::uint32_t absent = 0) {
  return j.IsNumber() ? static_cast<std::uint32_t>(std::clamp(real(j), 0.0, 4e9)) : absent;
}
bool flag(const Json& j) { return j.IsBool() && j.GetBool(); }
std::string word(const Json& j) {
  return j.IsString() ? std::string(j.GetString(), j.GetStringLength()) : std::string();
}
std::vector<std::string> words(const Json& j) {
  std::vector<std::string> out;
  for (std::size_t i = 0; j.IsArray() && i < j.Size(); ++i) out.push_back(word(item(j, i)));
  return out;
}
std::optional<std::uint64_t> hex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

al::ClassSettings read_class(const Json& c, const Json& domain, std::size_t i) {
  al::ClassSettings out;
  out.latency_objective = micros(at(c, "target"));
  out.latency_objective_stretch = real(at(c, "aim-stretch"));
  out.priority_weight = real(at(c, "points"), 1);
  const auto repeat = word(at(c, "repeat"));
  out.idempotency = repeat == "safe"    ? al::Idempotency::idempotent
                    : repeat == "keyed" ? al::Idempotency::idempotent_with_key
                                        : al::Idempotency::not_idempotent;
  const auto scope = word(at(c, "dedup-scope"));
  out.dedup_scope = scope == "all"    ? al::DedupScope::all
                    : scope == "zone" ? al::DedupScope::location
                                      : al::DedupScope::cell;
  out.dedup_window = micros(at(c, "dedup-window"));
  out.never_cached = flag(item(at(domain, "uncached"), i));
  out.fresh_time = micros(item(at(domain, "lifetime-by-class"), i));
  out.stale_grace_time = micros(item(at(domain, "stale-for"), i));
  return out;
}

al::Settings settings_of(const Json& j) {
  const Json &domain = at(j, "domain"), &limits = at(j, "ceilings"), &rules = at(j, "obligations");
  al::Settings s;
  s.location = {count(at(j, "zone"))};
  s.router_count = count(at(j, "replicas-of-me"), 1);
  const Json& routers = at(domain, "instances-by-zone");
  for (std::size_t i = 0; routers.IsArray() && i < routers.Size(); ++i) {
    s.router_count_by_location.push_back(count(item(routers, i)));
  }
  const Json& classes = at(j, "classes");
  for (std::size_t i = 0; classes.IsArray() && i < classes.Size(); ++i) {
    s.classes.push_back(read_class(item(classes, i), domain, i));
  }
  s.max_attempts = count(at(limits, "max-attempts"), 1);
  s.can_cancel_attempts = flag(at(limits, "may-cancel"));
  s.health_checks_allowed = flag(at(limits, "probing"));
  s.sends_retry_after = flag(at(limits, "retry-after"));
  s.max_retry_after = micros(at(limits, "max-retry-after"));
  s.must_subscribe_to_endpoints = word(at(j, "registry-mode")) == "ask";
  s.cache_slow_start_fraction = real(at(rules, "cold-from"), 1);
  s.cache_slow_start_time = micros(at(rules, "cold"));
  s.overload_window = micros(at(rules, "fall"));
  s.parent_slow_start_fraction = real(at(domain, "upper-cold-from"), 1);
  s.parent_slow_start_time = micros(at(domain, "upper-cold"));
  s.purge_propagation_time = micros(at(domain, "purge-settles"));
  s.stream_kb_per_second = real(at(domain, "stream-kb-per-s"));
  const auto weights = word(at(j, "weights"));
  s.weights = weights == "nominal" ? al::WeightKind::nominal
              : weights == "rough" ? al::WeightKind::rough
              : weights == "live"  ? al::WeightKind::live
                                   : al::WeightKind::none;
  s.can_join_fills = flag(at(domain, "merges-fills"));
  s.can_bypass_caches = flag(at(domain, "straight"));
  s.has_fills = real(at(domain, "source-kind"), -1) >= 0;
  return s;
}

Names read_names(const Json& settings) {
  Names n;
  n.zones = words(at(settings, "azs"));
  n.kinds = words(at(settings, "shapes"));
  const Json& classes = at(settings, "classes");
  for (std::size_t i = 0; classes.IsArray() && i < classes.Size(); ++i) {
    n.classes.push_back(word(at(item(classes, i), "name"))),
        n.give_up.push_back(micros(at(item(classes, i), "give-up")));
  }
  n.report_fields = words(at(at(settings, "load-report"), "fields"));
  n.parent_kind = static_cast<int>(real(at(at(settings, "domain"), "upper-kind"), -1));
  n.origin_kind = static_cast<int>(real(at(at(settings, "domain"), "source-kind"), -1));
  return n;
}

// The place of a word in a list; numbers name their place themselves.
std::uint32_t place(const Json& j, const std::vector<std::string>& list) {
  if (j.IsNumber()) return count(j);
  const auto it = std::find(list.begin(), list.end(), word(j));
  return static_cast<std::uint32_t>(it - list.begin());
}

Member read_member(const Json& j, const Names& names) {
  Member m;
  m.name = word(at(j, "id"));
  m.address = word(at(j, "host_port"));
  al::Server& s = m.server;
  s.id = server_id(m.name);
  s.location = {place(at(j, "locality"), names.zones)};
  s.cell = {count(at(j, "cell"))};
  const int kind = static_cast<int>(place(at(j, "flavor"), names.kinds));
  s.role = kind == names.parent_kind   ? al::Role::parent
           : kind == names.origin_kind ? al::Role::origin
                                       : al::Role::cache;
  const auto phase = word(at(j, "phase"));
  s.status = phase == "in_service"    ? al::ServerStatus::ready
             : phase == "terminating" ? al::ServerStatus::draining
                                      : al::ServerStatus::gone;
  s.weight = real(at(j, "size"), 1);
  s.started_at = static_cast<al::Time>(std::clamp(real(at(j, "up_since_ms")), 0.0, 1e14)) * 1000;
  return m;
}

std::optional<Notice> notice_of(const Json& j, const Names& names) {
  if (!j.IsObject() || !at(j, "rev").IsUint64()) return {};
  Notice n;
  n.number = at(j, "rev").GetUint64();
  if (const Json& pool = at(j, "pool"); pool.IsObject()) {
    n.pool = true;
    n.complete = flag(at(pool, "complete"));
    const Json& members = at(pool, "members");
    // Danger: a whole list without its members would empty the one in force.
    if (!members.IsArray()) return {};
    for (std::size_t i = 0; i < members.Size(); ++i) {
      n.members.push_back(read_member(item(members, i), names));
    }
  }
  if (const Json& flush = at(j, "flush"); flush.IsObject()) {
    n.flush = Notice::Flush{};
    n.flush->object = hex(word(at(flush, "asset")));
    n.flush->group = count(at(flush, "collection"));
    n.flush->at = static_cast<std::int64_t>(std::clamp(real(at(flush, "ms")), 0.0, 1e14)) * 1000;
  }
  return n;
}

}  // namespace

std::pair<al::Settings, Names> read_settings(std::string_view text) {
  const auto j = parse(text);
  if (!j.IsObject()) throw Error("the settings are not a JSON object");
  auto settings = settings_of(j);
  if (settings.classes.empty()) throw Error("the settings name no classes");
  return {std::move(settings), read_names(j)};
}

std::optional<Notice> read_notice(std::string_view line, const Names& names) {
  const auto j = parse(line);
  if (j.IsUint64()) {
    Notice n;
    n.number = j.GetUint64();
    return n;
  }
  return notice_of(j, names);
}

Config read(std::string_view text) {
  const auto j = parse(text);
  if (!j.IsObject()) throw Error("the configuration is not a JSON object");
  Config c;
  c.name = word(at(j, "name"));
  c.listen = word(at(j, "listen"));
  c.board = word(at(j, "board"));
  c.operator_listen = word(at(j, "operator"));
  c.seed = hex(word(at(j, "seed"))).value_or(0);
  c.memory_mb = count(at(at(j, "limits"), "memory_mb"), 192);
  c.sockets = static_cast<int>(
      std::clamp<std::uint32_t>(count(at(at(j, "limits"), "sockets"), 1024), 32, 1 << 20));
  const Json& settings = at(j, "settings");
  if (!settings.IsObject()) throw Error("the configuration has no settings");
  c.settings = settings_of(settings);
  if (c.settings.classes.empty()) throw Error("the settings name no classes");
  c.names = read_names(settings);
  const Json& limits = at(settings, "ceilings");
  c.dial_timeout = micros(at(limits, "dial-timeout"), c.dial_timeout);
  c.idle_close = micros(at(limits, "idle-close"), c.idle_close);
  c.streams = std::max(1u, count(at(limits, "streams-per-conn"), 32));
  const Json& known = at(j, "known");
  c.known = at(known, "rev").IsUint64() ? at(known, "rev").GetUint64() : 0;
  const Json& notices = at(known, "notices");
  for (std::size_t i = 0; notices.IsArray() && i < notices.Size(); ++i) {
    if (auto n = notice_of(item(notices, i), c.names)) c.notices.push_back(std::move(*n));
  }
  return c;
}

std::string read_text(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw Error("cannot read the configuration " + path);
  return text.str();
}

Config read_file(const std::string& path) { return read(read_text(path)); }

}  // namespace alderspur::config

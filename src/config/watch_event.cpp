#include "config/watch_event.h"

#include <algorithm>
#include <string>

namespace alderspur::config {
namespace {

constexpr WireWord<ServerStatus> kStatusWords[] = {
    {"in_service", ServerStatus::ready},
    {"terminating", ServerStatus::draining},
};

/// The position of a name in a list, one past the end if it is not there. A number is the position
/// itself.
std::uint32_t position(const JsonValue& value, const std::vector<std::string>& names) {
  if (value.IsNumber()) return to_count(value);
  const auto found = std::find(names.begin(), names.end(), to_text(value));
  return static_cast<std::uint32_t>(found - names.begin());
}

Role role_of(int kind, const Names& names) {
  if (kind == names.parent_kind) return Role::parent;
  if (kind == names.origin_kind) return Role::origin;
  return Role::cache;
}

Member read_member(const JsonValue& value, const Names& names) {
  Member result;
  result.name = to_text(member(value, "id"));
  result.address = to_text(member(value, "host_port"));
  Server& server = result.server;
  server.id = server_id(result.name);
  server.location = {position(member(value, "locality"), names.zones)};
  server.cell = {to_count(member(value, "cell"))};
  server.role =
      role_of(static_cast<int>(position(member(value, "flavor"), names.server_kinds)), names);
  server.status = parse_word(kStatusWords, to_text(member(value, "phase")), ServerStatus::gone);
  server.weight = to_real(member(value, "size"), 1);
  server.started_at = milliseconds_to_time(member(value, "up_since_ms"));
  return result;
}

Purge read_purge(const JsonValue& value) {
  Purge purge;
  purge.object = parse_hex(to_text(member(value, "asset")));
  purge.group = to_count(member(value, "collection"));
  purge.at = milliseconds_to_time(member(value, "ms"));
  return purge;
}

}  // namespace

std::optional<WatchEvent> read_watch_event(std::string_view line, const Names& names) {
  const auto document = parse_json(line);
  if (!document.IsUint64()) return read_watch_event(document, names);
  WatchEvent event;
  event.number = document.GetUint64();
  return event;
}

std::optional<WatchEvent> read_watch_event(const JsonValue& value, const Names& names) {
  const JsonValue& number = member(value, "rev");
  if (!number.IsUint64()) return std::nullopt;
  WatchEvent event;
  event.number = number.GetUint64();
  if (const JsonValue& list = member(value, "pool"); list.IsObject()) {
    event.has_endpoints = true;
    event.is_complete = to_flag(member(list, "complete"));
    const JsonValue& members = member(list, "members");
    // A complete list without an array of servers is invalid: it would empty the active one.
    if (!members.IsArray()) return std::nullopt;
    for (std::size_t i = 0; i < element_count(members); ++i) {
      event.members.push_back(read_member(element(members, i), names));
    }
  }
  if (const JsonValue& purge = member(value, "flush"); purge.IsObject()) {
    event.purge = read_purge(purge);
  }
  return event;
}

}  // namespace alderspur::config

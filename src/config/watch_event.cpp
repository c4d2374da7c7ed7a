#include "config/watch_event.h"

#include <algorithm>
#include <string>
#include <utility>

namespace alderspur::config {
namespace {

constexpr WireWord<ServerStatus> kStatusWords[] = {
    {"in_service", ServerStatus::ready},
    {"terminating", ServerStatus::draining},
};

// Returns the position of a name in a list, or the size of the list if the name is not in it. If
// the value is a number, returns it as the position.
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
  server.weight = to_double(member(value, "size"), 1);
  server.started_at = milliseconds_to_time(member(value, "up_since_ms"));
  return result;
}

// Reads a list of servers. Returns nullopt if an element has no name. Such an element would
// otherwise be treated as a removed server, and a complete list of such elements would empty the
// endpoint list.
std::optional<std::vector<Member>> read_members(const JsonValue& list, const Names& names) {
  if (!list.IsArray()) return std::nullopt;
  std::vector<Member> members;
  for (std::size_t i = 0; i < element_count(list); ++i) {
    members.push_back(read_member(element(list, i), names));
    if (members.back().name.empty()) return std::nullopt;
  }
  return members;
}

// Reads a purge. Returns nullopt if it names neither an object nor a group, since it would
// otherwise purge group 0, or if it has no time, since it would then purge nothing.
std::optional<Purge> read_purge(const JsonValue& value) {
  const JsonValue& object = member(value, "asset");
  const JsonValue& group = member(value, "collection");
  if (!member(value, "ms").IsNumber()) return std::nullopt;
  if (object.IsNull() && !group.IsNumber()) return std::nullopt;
  Purge purge;
  purge.object = parse_hex(to_text(object));
  if (!object.IsNull() && !purge.object) return std::nullopt;
  purge.group = to_count(group);
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
  if (const JsonValue& list = member(value, "pool"); !list.IsNull()) {
    auto members = read_members(member(list, "members"), names);
    if (!members) return std::nullopt;
    event.has_endpoints = true;
    event.is_complete = to_bool(member(list, "complete"));
    event.members = std::move(*members);
  }
  if (const JsonValue& purge = member(value, "flush"); !purge.IsNull()) {
    event.purge = read_purge(purge);
    if (!event.purge) return std::nullopt;
  }
  return event;
}

}  // namespace alderspur::config

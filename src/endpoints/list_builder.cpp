#include "endpoints/list_builder.h"

#include <arpa/inet.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include "core/parsing.h"

namespace alderspur::endpoints {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr unsigned kMaxPort = 65535;
constexpr std::int64_t kMaxCell = 4'000'000'000;
constexpr std::size_t kMaxSuggestedNames = 1000;  // comparing more names is too slow

/// Reports whether a name is a plain word of at most kMaxNameBytes bytes. Names are written into
/// space-separated lines on the wire and into log records.
bool is_valid_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && core::is_plain_word(name);
}

bool check_name(const toml::Table& table, const std::string& name,
                diagnostics::Findings& findings) {
  if (is_valid_name(name)) return true;
  findings.error("L012", table.location(), "'" + name + "' is not a valid name",
                 "use 1 to 64 letters, digits, '-' and '_'");
  return false;
}

/// Reports whether the text is an IPv4 address with a port, such as "127.0.0.1:4201".
bool is_valid_address(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  const auto port = core::parse_number<unsigned>(std::string_view{address}.substr(colon + 1));
  in_addr host{};
  return port && *port > 0 && *port <= kMaxPort &&
         inet_pton(AF_INET, address.substr(0, colon).c_str(), &host) == 1 && host.s_addr != 0;
}

/// Reports L007 for a hub or point whose name is already in use.
void report_duplicate(const toml::Table& table, const char* kind, const std::string& name,
                      diagnostics::Findings& findings) {
  findings.error("L007", table.location(), std::string(kind) + " " + name + " is declared twice",
                 "remove one of the two declarations");
}

Role role_from(std::string_view word) {
  if (word == "parent") return Role::parent;
  if (word == "origin") return Role::origin;
  return Role::cache;
}

}  // namespace

ListBuilder::ListBuilder(Snapshot& list, const ListLimits& limits) : list_(list), limits_(limits) {
  for (std::uint32_t i = 0; i < list.hubs.size(); ++i) hubs_[list.hubs[i]] = i;
  for (std::uint32_t i = 0; i < list.points.size(); ++i) points_[list.points[i].name] = i;
}

void ListBuilder::read_locations(toml::Table& root, diagnostics::Findings& findings) {
  for (auto& table : root.tables("hub")) read_hub(table, findings);
  for (auto& table : root.tables("point")) read_point(table, findings);
}

void ListBuilder::read_hub(toml::Table& table, diagnostics::Findings& findings) {
  const auto name = table.text("name", true);
  table.finish();
  if (!name || !check_name(table, *name, findings)) return;
  if (hubs_.emplace(*name, list_.hubs.size()).second) {
    list_.hubs.push_back(*name);
  } else {
    report_duplicate(table, "hub", *name, findings);
  }
}

void ListBuilder::read_point(toml::Table& table, diagnostics::Findings& findings) {
  const auto name = table.text("name", true);
  const auto hub = table.text("hub", true);
  table.finish();
  if (!name || !hub || !check_name(table, *name, findings)) return;
  const auto hub_index = find_location(table, "hub", hubs_, *hub, findings);
  if (!hub_index) return;
  if (points_.emplace(*name, list_.points.size()).second) {
    list_.points.push_back({*name, *hub_index});
  } else {
    report_duplicate(table, "point", *name, findings);
  }
}

std::vector<ServerEntry> ListBuilder::read_servers(toml::Table& root, std::uint32_t piece_index,
                                                   diagnostics::Findings& findings) const {
  std::vector<ServerEntry> entries;
  auto tables = root.tables("server");
  if (tables.size() > limits_.max_servers) {
    report_too_many(tables.size(), root.location(), findings);
    return entries;
  }
  entries.reserve(tables.size());
  for (auto& table : tables) {
    if (auto entry = read_server(table, piece_index, findings)) {
      entries.push_back(std::move(*entry));
    }
  }
  return entries;
}

std::optional<ServerEntry> ListBuilder::read_server(toml::Table& table, std::uint32_t piece_index,
                                                    diagnostics::Findings& findings) const {
  const auto id = table.text("id", true);
  const auto role = table.keyword("role", {"cache", "parent", "origin"}, true);
  const auto address = table.text("address", true);
  const auto weight = table.real("weight", limits_.min_weight, limits_.max_weight, true);
  const auto state = table.keyword("state", {"in_service", "draining"}, true);
  const auto cell = table.integer("cell", 0, kMaxCell, true);
  const bool is_cache = !role || *role == "cache";
  const char* location_key = is_cache ? "point" : "hub";
  const auto location = table.text(location_key, true);
  table.finish();
  const bool has_all = id && role && address && weight && state && cell && location;
  if (!has_all || !check_name(table, *id, findings)) return {};
  const auto location_index =
      find_location(table, location_key, is_cache ? points_ : hubs_, *location, findings);
  if (!location_index) return {};
  if (!is_valid_address(*address)) {
    findings.error("L011", table.location("address"),
                   "'" + *address + "' is not a valid server address",
                   "use an IPv4 address and a port, such as 127.0.0.1:4201");
    return {};
  }
  ServerEntry entry;
  entry.id_location = table.location("id");
  entry.address_location = table.location("address");
  ListedServer& server = entry.server;
  server.id = server_id(*id);
  server.name = *id;
  server.address = *address;
  server.role = role_from(*role);
  server.location_index = *location_index;
  server.state = *state == "draining" ? ServerState::draining : ServerState::in_service;
  server.cell = static_cast<std::uint32_t>(*cell);
  server.weight = *weight;
  server.line = table.location().line;
  server.piece_index = piece_index;
  return entry;
}

void ListBuilder::add(std::vector<ServerEntry>&& entries, diagnostics::Findings& findings) {
  const std::size_t total = list_.servers.size() + entries.size();
  if (total > limits_.max_servers) {
    report_too_many(total, {list_.source, 0, 0}, findings);
    return;
  }
  list_.servers.reserve(total);
  for (auto& entry : entries) add(std::move(entry), findings);
}

void ListBuilder::add(ServerEntry&& entry, diagnostics::Findings& findings) {
  ListedServer& server = entry.server;
  const auto [earlier_line, is_new_id] = lines_by_id_.emplace(server.id.value, server.line);
  if (!is_new_id) {
    findings.error("L008", entry.id_location,
                   "server " + server.name + " is listed twice, first at line " +
                       std::to_string(earlier_line->second),
                   "remove one of the two entries");
    return;
  }
  if (server.state == ServerState::in_service) {
    const auto [earlier_name, is_new_address] =
        names_by_address_.emplace(server.address, server.name);
    if (!is_new_address) {
      findings.error(
          "L009", entry.address_location,
          "address " + server.address + " is also the address of server " + earlier_name->second,
          "two servers in service cannot share an address: drain or remove the one that "
          "no longer runs");
    }
  }
  list_.servers.push_back(std::move(server));
}

void ListBuilder::report_too_many(std::size_t count, const diagnostics::Location& location,
                                  diagnostics::Findings& findings) const {
  findings.error("L013", location,
                 std::to_string(count) + " servers are listed, more than the limit of " +
                     std::to_string(limits_.max_servers),
                 "list fewer servers");
}

std::optional<std::uint32_t> ListBuilder::find_location(const toml::Table& table,
                                                        std::string_view key,
                                                        const NameIndex& names,
                                                        const std::string& name,
                                                        diagnostics::Findings& findings) {
  const auto it = names.find(name);
  if (it != names.end()) return it->second;
  std::vector<std::string_view> candidates;
  if (names.size() <= kMaxSuggestedNames) {
    candidates.reserve(names.size());
    for (const auto& [known_name, index] : names) candidates.push_back(known_name);
  }
  std::sort(candidates.begin(), candidates.end());
  const auto nearest = diagnostics::closest_match(name, candidates);
  findings.error("L010", table.location(key), std::string(key) + " '" + name + "' is not declared",
                 nearest.empty() ? "declare it with [[" + std::string(key) + "]]"
                                 : "did you mean '" + nearest + "'?");
  return {};
}

void read_parts(const std::vector<ListPart>& parts, ListBuilder& builder, unsigned threads,
                diagnostics::Findings& findings) {
  std::vector<std::vector<ServerEntry>> entries(parts.size());
  std::vector<diagnostics::Findings> part_findings(parts.size());
  std::atomic<std::size_t> next = 0;
  const auto read_remaining = [&] {
    for (std::size_t i = next++; i < parts.size(); i = next++) {
      const ListPart& part = parts[i];
      if (part.text.empty()) continue;
      toml::Document document(part.text, part.file, part_findings[i], "L001", part.lines_before);
      if (!document.is_valid()) continue;
      auto root = document.root();
      entries[i] = builder.read_servers(root, part.piece_index, part_findings[i]);
      root.finish();
    }
  };
  std::vector<std::jthread> workers;
  for (unsigned i = 1; i < threads && i < parts.size(); ++i) workers.emplace_back(read_remaining);
  read_remaining();
  workers.clear();  // joins the threads
  for (std::size_t i = 0; i < parts.size(); ++i) {
    findings.append(part_findings[i]);
    builder.add(std::move(entries[i]), findings);
  }
}

}  // namespace alderspur::endpoints

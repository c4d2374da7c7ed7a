// Builds a Snapshot from the tables of parsed texts. Internal to the reading of lists (list.h has
// the form and the codes). No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "endpoints/list.h"
#include "endpoints/list_text.h"
#include "toml/document.h"

namespace alderspur::endpoints {

/// A server as it was read, with the locations that a later finding may have to name.
struct ServerEntry {
  ListedServer server;
  diagnostics::Location id_location;
  diagnostics::Location address_location;
};

/// Adds to a list, which must outlive it.
class ListBuilder {
 public:
  /// `list` may have hubs and points already. Both references must outlive the builder.
  ListBuilder(Snapshot& list, const ListLimits& limits);

  /// Reads the hubs and points into the list. To be called before any servers are read.
  void read_locations(toml::Table& root, diagnostics::Findings& findings);
  /// Reads the servers of one text. Only looks at the locations: several threads may call it.
  std::vector<ServerEntry> read_servers(toml::Table& root, std::uint32_t piece_index,
                                        diagnostics::Findings& findings) const;
  /// Adds servers to the list; findings for those that clash with earlier ones.
  void add(std::vector<ServerEntry>&& entries, diagnostics::Findings& findings);

 private:
  using NameIndex = std::unordered_map<std::string, std::uint32_t>;

  void read_hub(toml::Table& table, diagnostics::Findings& findings);
  void read_point(toml::Table& table, diagnostics::Findings& findings);
  std::optional<ServerEntry> read_server(toml::Table& table, std::uint32_t piece_index,
                                         diagnostics::Findings& findings) const;
  void add(ServerEntry&& entry, diagnostics::Findings& findings);
  void report_too_many(std::size_t count, const diagnostics::Location& location,
                       diagnostics::Findings& findings) const;
  static std::optional<std::uint32_t> find_location(const toml::Table& table, std::string_view key,
                                                    const NameIndex& names, const std::string& name,
                                                    diagnostics::Findings& findings);

  Snapshot& list_;
  const ListLimits& limits_;
  NameIndex hubs_;
  NameIndex points_;
  std::unordered_map<std::uint64_t, std::uint32_t> lines_by_id_;
  std::unordered_map<std::string, std::string> names_by_address_;  // of servers in service
};

/// Reads the parts, several at once if `threads` allow, and adds their servers in order.
void read_parts(const std::vector<ListPart>& parts, ListBuilder& builder, unsigned threads,
                diagnostics::Findings& findings);

}  // namespace alderspur::endpoints

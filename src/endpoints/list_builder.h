// Builds a Snapshot from parsed TOML tables. Internal to the reading of lists: list.h describes the
// text form and the codes of findings. No I/O.
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

/// A server as it was read, with the locations that findings about duplicates refer to.
struct ServerEntry {
  ListedServer server;
  diagnostics::Location id_location;
  diagnostics::Location address_location;
};

/// Adds hubs, points and servers to a list and detects duplicates. Not thread-safe, except for
/// read_servers().
class ListBuilder {
 public:
  /// `list` may already contain hubs and points. Both arguments must outlive the builder.
  ListBuilder(Snapshot& list, const ListLimits& limits);

  /// Reads the hubs and points into the list. Must be called before any servers are read.
  void read_locations(toml::Table& root, diagnostics::Findings& findings);
  /// Reads the servers of one text, without adding them to the list. Several threads may call it at
  /// the same time, as it does not modify the builder.
  std::vector<ServerEntry> read_servers(toml::Table& root, std::uint32_t piece_index,
                                        diagnostics::Findings& findings) const;
  /// Adds servers to the list. Reports those whose id or address is already in use.
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
  std::unordered_map<std::string, std::string> names_by_address_;  // only servers in service
};

/// Parses the parts on up to `threads` threads, including the calling thread, and adds their
/// servers and findings in the order of the parts.
void read_parts(const std::vector<ListPart>& parts, ListBuilder& builder, unsigned threads,
                diagnostics::Findings& findings);

}  // namespace alderspur::endpoints

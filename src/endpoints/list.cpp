#include "endpoints/list.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "core/parsing.h"
#include "toml/document.h"

namespace alderspur::endpoints {
namespace {

constexpr std::string_view kDigestKey = "digest = \"";
constexpr std::size_t kNameMost = 64;

using Names = std::unordered_map<std::string, std::uint32_t>;

// Danger: names go into lines of words on the wire and into records of logs.
bool good_name(std::string_view name) {
  return !name.empty() && name.size() <= kNameMost && core::is_plain_word(name);
}
bool good_address(const std::string& address) {
  const auto colon = address.rfind(':');
  unsigned port = 0;
  in_addr host{};
  return colon != std::string::npos &&
         core::parse_number(std::string_view(address).substr(colon + 1), port) && port > 0 &&
         port < 65536 && inet_pton(AF_INET, address.substr(0, colon).c_str(), &host) == 1 &&
         host.s_addr != 0;
}
std::optional<std::uint64_t> digest_from(std::string_view text) {
  std::uint64_t value = 0;
  if (!text.starts_with("xxh3:") || !core::is_hex_word(text.substr(5), 16)) return {};
  if (!core::parse_number(text.substr(5), value, 16)) return {};
  return value;
}

// One text through the checks that need no tree. False: nothing more can be said of it.
bool whole(std::string_view text, const std::string& file, std::size_t most,
           diagnostics::Findings& findings) {
  if (text.size() > most) {
    findings.error("L002", {file, 0, 0}, "the file has " + std::to_string(text.size()) + " bytes",
                   "at most " + std::to_string(most) + " are read; split the list into pieces");
    return false;
  }
  // Danger: a last line without its end may be half of it: "weight = 10" of "weight = 100".
  if (text.empty() || text.back() != '\n') {
    const auto line = 1 + std::count(text.begin(), text.end(), '\n');
    findings.error("L003", {file, static_cast<std::uint32_t>(line), 0},
                   text.empty() ? "the file is empty" : "the last line has no end",
                   "it is half written: write it anew and rename it into place");
    return false;
  }
  return true;
}

// A digest in the first line covers what follows it.
bool digest_holds(std::string_view text, const std::string& file, diagnostics::Findings& findings) {
  if (!text.starts_with(kDigestKey)) return true;
  const auto end = text.find('\n');
  const auto quote = text.find('"', kDigestKey.size());
  const auto told = quote < end
                        ? digest_from(text.substr(kDigestKey.size(), quote - kDigestKey.size()))
                        : std::nullopt;
  if (!told) {
    findings.error("L006", {file, 1, 1}, "the digest is not of the form xxh3: and 16 hex digits",
                   "run `alderspur seal` on the file");
    return false;
  }
  const auto is = compute_digest(text.substr(end + 1));
  if (is == *told) return true;
  findings.error(
      "L006", {file, 1, 1},
      "the digest is " + format_digest(*told) + " but the bytes after it give " + format_digest(is),
      "the file is half written, or was edited: run `alderspur seal` on it");
  return false;
}

// A server as it was read, with the places that a later finding may have to name.
struct Entry {
  ListedServer server;
  diagnostics::Place id, address;
};

// Reads places and servers. read() only looks at what is declared already: several threads may call
// it.
class Builder {
 public:
  Builder(Snapshot& list, const ListLimits& limits) : list_(list), limits_(limits) {
    for (std::uint32_t i = 0; i < list.hubs.size(); ++i) hubs_[list.hubs[i]] = i;
    for (std::uint32_t i = 0; i < list.points.size(); ++i) points_[list.points[i].name] = i;
  }

  void places(toml::Table& root, diagnostics::Findings& findings) {
    for (auto& t : root.tables("hub")) {
      const auto name = t.text("name", true);
      t.finish();
      if (!name || !named(t, *name, findings)) continue;
      if (!hubs_.emplace(*name, list_.hubs.size()).second)
        twice(t, "hub", *name, findings);
      else
        list_.hubs.push_back(*name);
    }
    for (auto& t : root.tables("point")) {
      const auto name = t.text("name", true), hub = t.text("hub", true);
      t.finish();
      if (!name || !hub || !named(t, *name, findings)) continue;
      const auto at = known(t, "hub", hubs_, *hub, findings);
      if (!at) continue;
      if (!points_.emplace(*name, list_.points.size()).second)
        twice(t, "point", *name, findings);
      else
        list_.points.push_back({*name, *at});
    }
  }

  std::vector<Entry> read(toml::Table& root, std::uint32_t piece,
                          diagnostics::Findings& findings) const {
    std::vector<Entry> out;
    auto tables = root.tables("server");
    if (tables.size() > limits_.max_servers) {
      too_many(tables.size(), root.place(), findings);
      return out;
    }
    out.reserve(tables.size());
    for (auto& t : tables)
      if (auto e = server(t, piece, findings)) out.push_back(std::move(*e));
    return out;
  }

  void add(std::vector<Entry>&& entries, diagnostics::Findings& findings) {
    if (list_.servers.size() + entries.size() > limits_.max_servers)
      return too_many(list_.servers.size() + entries.size(), {list_.source, 0, 0}, findings);
    list_.servers.reserve(list_.servers.size() + entries.size());
    for (auto& e : entries) add(std::move(e), findings);
  }

 private:
  std::optional<Entry> server(toml::Table& t, std::uint32_t piece,
                              diagnostics::Findings& findings) const {
    const auto id = t.text("id", true);
    const auto role = t.word("role", {"cache", "parent", "origin"}, true);
    const auto address = t.text("address", true);
    const auto weight = t.real("weight", limits_.min_weight, limits_.max_weight, true);
    const auto state = t.word("state", {"in_service", "draining"}, true);
    const auto cell = t.integer("cell", 0, 4'000'000'000, true);
    const bool cache = !role || *role == "cache";
    const char* where = cache ? "point" : "hub";
    const auto place = t.text(where, true);
    t.finish();
    if (!id || !role || !address || !weight || !state || !cell || !place ||
        !named(t, *id, findings))
      return {};
    const auto at = known(t, where, cache ? points_ : hubs_, *place, findings);
    if (!at) return {};
    if (!good_address(*address)) {
      findings.error("L011", t.place("address"), "'" + *address + "' is no address of a server",
                     "write numbers and a port, such as 127.0.0.1:4201");
      return {};
    }
    Entry e;
    ListedServer& s = e.server;
    s.id = server_id(*id);
    s.name = *id;
    s.address = *address;
    s.role = *role == "parent" ? Role::parent : *role == "origin" ? Role::origin : Role::cache;
    s.location_index = *at;
    s.state = *state == "draining" ? ServerState::draining : ServerState::in_service;
    s.cell = static_cast<std::uint32_t>(*cell);
    s.weight = *weight;
    s.line = t.place().line;
    s.piece_index = piece;
    e.id = t.place("id"), e.address = t.place("address");
    return e;
  }

  void add(Entry&& e, diagnostics::Findings& findings) {
    ListedServer& s = e.server;
    if (const auto [it, first] = ids_.emplace(s.id.value, s.line); !first)
      return findings.error(
          "L008", e.id,
          "server " + s.name + " is listed twice, first at line " + std::to_string(it->second),
          "keep one of the two");
    if (s.state == ServerState::in_service)
      if (const auto [it, first] = addresses_.emplace(s.address, s.name); !first)
        return findings.error(
            "L009", e.address, s.address + " is the address of " + it->second + " as well",
            "two servers in service cannot share one: drain or remove the one that has gone");
    list_.servers.push_back(std::move(s));
  }

  void too_many(std::size_t n, const diagnostics::Place& place,
                diagnostics::Findings& findings) const {
    findings.error("L013", place, std::to_string(n) + " servers are too many",
                   "a list may have " + std::to_string(limits_.max_servers));
  }
  static bool named(const toml::Table& t, const std::string& name,
                    diagnostics::Findings& findings) {
    if (good_name(name)) return true;
    findings.error("L012", t.place(), "'" + name + "' cannot be a name",
                   "use 1 to 64 letters, digits, '-' and '_'");
    return false;
  }
  static void twice(const toml::Table& t, const char* what, const std::string& name,
                    diagnostics::Findings& findings) {
    findings.error("L007", t.place(), std::string(what) + " " + name + " is declared twice",
                   "keep one");
  }
  static std::optional<std::uint32_t> known(const toml::Table& t, std::string_view key,
                                            const Names& names, const std::string& name,
                                            diagnostics::Findings& findings) {
    const auto it = names.find(name);
    if (it != names.end()) return it->second;
    std::vector<std::string_view> all;
    if (names.size() <= 1000)
      for (const auto& [n, i] : names) all.push_back(n);
    std::sort(all.begin(), all.end());
    const auto near = diagnostics::nearest(name, all);
    findings.error("L010", t.place(key), "no " + std::string(key) + " is called '" + name + "'",
                   near.empty() ? "declare it with [[" + std::string(key) + "]]"
                                : "did you mean '" + near + "'?");
    return {};
  }

  Snapshot& list_;
  const ListLimits& limits_;
  Names hubs_, points_;
  std::unordered_map<std::uint64_t, std::uint32_t> ids_;
  std::unordered_map<std::string, std::string> addresses_;
};

// A part of the servers' text, read by itself.
struct Part {
  std::string_view text;
  std::string file;
  std::uint32_t piece = 0, before = 0;  // lines of the file before it
};

// Reads the parts, several at once where that pays, and adds what they hold in their order.
void read_parts(const std::vector<Part>& parts, Builder& builder, unsigned threads,
                diagnostics::Findings& findings) {
  std::vector<std::vector<Entry>> entries(parts.size());
  std::vector<diagnostics::Findings> found(parts.size());
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i; (i = next++) < parts.size();) {
      if (parts[i].text.empty()) continue;
      toml::Document document(parts[i].text, parts[i].file, found[i], "L001", parts[i].before);
      if (!document.read()) continue;
      auto root = document.root();
      entries[i] = builder.read(root, parts[i].piece, found[i]);
      root.finish();
    }
  };
  std::vector<std::jthread> beside;
  for (unsigned i = 1; i < threads && i < parts.size(); ++i) beside.emplace_back(work);
  work();
  beside.clear();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    findings.append(found[i]);
    builder.add(std::move(entries[i]), findings);
  }
}

// Cuts a large list in front of its [[server]] lines, so that its parts can be read side by side.
// Nothing where a part might not mean by itself what it means in the whole: other tables behind the
// first server, or texts over several lines.
std::optional<std::pair<std::string_view, std::vector<Part>>> cut(std::string_view text,
                                                                  const std::string& file,
                                                                  const ListLimits& limits) {
  if (!limits.is_read_in_parts(text.size())) return {};
  if (text.find("\"\"\"") != std::string_view::npos || text.find("'''") != std::string_view::npos)
    return {};
  std::vector<Part> parts;
  std::size_t head = std::string_view::npos, begun = 0;
  std::uint32_t line = 0, begun_line = 0;
  for (std::size_t at = 0; at < text.size(); ++line) {
    const auto end = std::min(text.find('\n', at), text.size());
    auto row = text.substr(at, end - at);
    while (!row.empty() && (row.front() == ' ' || row.front() == '\t')) row.remove_prefix(1);
    if (row.starts_with('[')) {
      const bool server = row == "[[server]]";
      if (!server && head != std::string_view::npos) return {};
      if (server && head == std::string_view::npos)
        head = begun = at, begun_line = line;
      else if (server && at - begun >= limits.part_bytes) {
        parts.push_back({text.substr(begun, at - begun), file, 0, begun_line});
        begun = at, begun_line = line;
      }
    }
    at = end + 1;
  }
  if (head == std::string_view::npos) return {};
  parts.push_back({text.substr(begun), file, 0, begun_line});
  return std::pair(text.substr(0, head), std::move(parts));
}

void count(const Snapshot& list, std::uint64_t announced, diagnostics::Findings& findings) {
  if (!findings.good() || list.servers.size() == announced) return;
  findings.error("L005", {list.source, 0, 0},
                 "servers = " + std::to_string(announced) + " but " +
                     std::to_string(list.servers.size()) + " are listed",
                 "the file was cut off, or the count was not changed with the list");
}

std::vector<ManifestPiece> read_manifest_pieces(toml::Table& root,
                                                diagnostics::Findings& findings) {
  std::vector<ManifestPiece> out;
  std::unordered_set<std::string> seen;
  for (auto& t : root.tables("piece")) {
    const auto file = t.text("file", true), digest = t.text("digest", true);
    t.finish();
    if (!file || !digest) continue;
    // Danger: a manifest must not lead to files outside its directory.
    if (file->empty() || file->size() > 255 || file->front() == '.' ||
        file->find('/') != std::string::npos) {
      findings.error("L012", t.place("file"), "'" + *file + "' cannot be the name of a piece",
                     "name a file beside the manifest");
      continue;
    }
    const auto value = digest_from(*digest);
    if (!value) {
      findings.error("L006", t.place("digest"),
                     "the digest is not of the form xxh3: and 16 hex digits",
                     "run `alderspur seal` on the directory");
      continue;
    }
    if (!seen.insert(*file).second) {
      findings.error("L007", t.place("file"), "piece " + *file + " is named twice", "keep one");
      continue;
    }
    out.push_back({*file, *value, t.place().line});
  }
  if (out.size() > 4096)
    findings.error("L013", root.place(), "over 4096 pieces", "use fewer, larger ones");
  return out;
}

}  // namespace

unsigned spare_threads() { return std::clamp(std::thread::hardware_concurrency() / 2, 1U, 4U); }

std::uint64_t compute_digest(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}
std::string format_digest(std::uint64_t digest) {
  char out[32];
  std::snprintf(out, sizeof out, "xxh3:%016llx", static_cast<unsigned long long>(digest));
  return out;
}
std::string with_digest(std::string_view text) {
  if (text.starts_with(kDigestKey)) text.remove_prefix(std::min(text.size(), text.find('\n') + 1));
  std::string rest(text);
  if (rest.empty() || rest.back() != '\n') rest += '\n';
  return std::string(kDigestKey) + format_digest(compute_digest(rest)) + "\"\n" + rest;
}

ListReadResult read_list(std::string_view text, const std::string& file, core::Time taken,
                         const ListLimits& limits, diagnostics::Findings& findings) {
  ListReadResult out;
  if (!whole(text, file, limits.max_bytes, findings) || !digest_holds(text, file, findings))
    return out;
  const std::size_t errors = findings.errors();
  const auto parts = cut(text, file, limits);
  toml::Document document(parts ? parts->first : text, file, findings, "L001");
  if (!document.read()) return out;
  auto root = document.root();
  (void)root.text("digest");
  (void)root.integer("format", 1, 1, true);
  const auto generation = root.integer("generation", 1, 1LL << 53, true);
  const auto servers =
      root.integer("servers", 1, static_cast<std::int64_t>(limits.max_servers), true);
  const auto confirm = root.integer("confirm", 1, 1LL << 53);
  auto list = std::make_shared<Snapshot>();
  list->source = file;
  list->read_at = taken;
  list->generation = static_cast<std::uint64_t>(generation.value_or(0));
  list->confirmed_generation = static_cast<std::uint64_t>(confirm.value_or(0));
  out.announced_servers = static_cast<std::uint64_t>(servers.value_or(0));
  Builder builder(*list, limits);
  builder.places(root, findings);
  const bool manifest = root.has("piece");
  if (manifest)
    out.pieces = read_manifest_pieces(root, findings);
  else if (parts)
    read_parts(parts->second, builder, limits.threads, findings);
  else
    builder.add(builder.read(root, 0, findings), findings);
  if (manifest && root.has("server"))
    findings.error("L004", root.place("server"), "a manifest lists pieces, not servers",
                   "move the servers into a piece");
  root.finish();
  if (!manifest) count(*list, out.announced_servers, findings);
  if (findings.errors() != errors) return {};
  if (!manifest) list->seal();
  out.list = std::move(list);
  return out;
}

SnapshotPtr read_pieces(const ListReadResult& manifest, const std::vector<std::string>& texts,
                        const ListLimits& limits, diagnostics::Findings& findings) {
  if (!manifest.list || texts.size() != manifest.pieces.size()) return nullptr;
  auto list = std::make_shared<Snapshot>(*manifest.list);
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const ManifestPiece& p = manifest.pieces[i];
    bytes += texts[i].size();
    if (bytes > limits.max_bytes) {
      findings.error("L002", {list->source, p.line, 0},
                     "the pieces have over " + std::to_string(limits.max_bytes) + " bytes in all",
                     "list fewer servers");
      return nullptr;
    }
    if (const auto is = compute_digest(texts[i]); is != p.digest)
      findings.error("L006", {list->source, p.line, 0},
                     "piece " + p.file + " has the digest " + format_digest(is) + ", not " +
                         format_digest(p.digest),
                     "the set is half written: write the pieces first and the manifest last");
  }
  if (!findings.good()) return nullptr;
  Builder builder(*list, limits);
  std::vector<Part> parts;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    list->piece_files.push_back(manifest.pieces[i].file);
    parts.push_back({texts[i], manifest.pieces[i].file, static_cast<std::uint32_t>(i), 0});
  }
  read_parts(parts, builder, limits.is_read_in_parts(bytes) ? limits.threads : 1, findings);
  count(*list, manifest.announced_servers, findings);
  if (!findings.good()) return nullptr;
  list->seal();
  return list;
}

}  // namespace alderspur::endpoints

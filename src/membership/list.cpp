#include "membership/list.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <unordered_map>
#include <unordered_set>

#include "core/text.h"
#include "form/document.h"

namespace alderspur::membership {
namespace {

constexpr std::string_view kDigestKey = "digest = \"";
constexpr std::size_t kNameMost = 64;

using Names = std::unordered_map<std::string, std::uint32_t>;

// Danger: names go into lines of words on the wire and into records of logs.
bool good_name(std::string_view name) {
  return !name.empty() && name.size() <= kNameMost && core::plain_word(name);
}
bool good_address(const std::string& address) {
  const auto colon = address.rfind(':');
  unsigned port = 0;
  in_addr host{};
  return colon != std::string::npos &&
         core::parse_number(std::string_view(address).substr(colon + 1), port) && port > 0 && port < 65536 &&
         inet_pton(AF_INET, address.substr(0, colon).c_str(), &host) == 1 && host.s_addr != 0;
}
std::optional<std::uint64_t> digest_from(std::string_view text) {
  std::uint64_t value = 0;
  if (!text.starts_with("xxh3:") || !core::hex_word(text.substr(5), 16)) return {};
  if (!core::parse_number(text.substr(5), value, 16)) return {};
  return value;
}

// One text through the checks that need no tree. False: nothing more can be said of it.
bool whole(std::string_view text, const std::string& file, std::size_t most, form::Findings& findings) {
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
bool digest_holds(std::string_view text, const std::string& file, form::Findings& findings) {
  if (!text.starts_with(kDigestKey)) return true;
  const auto end = text.find('\n');
  const auto quote = text.find('"', kDigestKey.size());
  const auto told =
      quote < end ? digest_from(text.substr(kDigestKey.size(), quote - kDigestKey.size())) : std::nullopt;
  if (!told) {
    findings.error("L006", {file, 1, 1}, "the digest is not of the form xxh3: and 16 hex digits",
                   "run `alderspur seal` on the file");
    return false;
  }
  const auto is = digest_of(text.substr(end + 1));
  if (is == *told) return true;
  findings.error("L006", {file, 1, 1},
                 "the digest is " + digest_text(*told) + " but the bytes after it give " + digest_text(is),
                 "the file is half written, or was edited: run `alderspur seal` on it");
  return false;
}

class Builder {
 public:
  Builder(Snapshot& list, const Limits& limits, form::Findings& findings)
      : list_(list), limits_(limits), findings_(findings) {
    for (std::uint32_t i = 0; i < list.hubs.size(); ++i) hubs_[list.hubs[i]] = i;
    for (std::uint32_t i = 0; i < list.points.size(); ++i) points_[list.points[i].name] = i;
  }

  void places(form::Table& root) {
    for (auto& t : root.tables("hub")) {
      const auto name = t.text("name", true);
      t.finish();
      if (!name || !named(t, *name)) continue;
      if (!hubs_.emplace(*name, list_.hubs.size()).second) twice(t, "hub", *name);
      else list_.hubs.push_back(*name);
    }
    for (auto& t : root.tables("point")) {
      const auto name = t.text("name", true), hub = t.text("hub", true);
      t.finish();
      if (!name || !hub || !named(t, *name)) continue;
      const auto at = known(t, "hub", hubs_, *hub);
      if (!at) continue;
      if (!points_.emplace(*name, list_.points.size()).second) twice(t, "point", *name);
      else list_.points.push_back({*name, *at});
    }
  }

  void servers(form::Table& root, std::uint32_t piece) {
    auto tables = root.tables("server");
    if (list_.servers.size() + tables.size() > limits_.servers) {
      findings_.error("L013", root.place(), std::to_string(tables.size()) + " servers are too many",
                      "a list may have " + std::to_string(limits_.servers));
      return;
    }
    list_.servers.reserve(list_.servers.size() + tables.size());
    for (auto& t : tables) server(t, piece);
  }

 private:
  void server(form::Table& t, std::uint32_t piece) {
    Listed s;
    const auto id = t.text("id", true);
    const auto role = t.word("role", {"cache", "parent", "origin"}, true);
    const auto address = t.text("address", true);
    const auto weight = t.real("weight", limits_.weight_least, limits_.weight_most, true);
    const auto state = t.word("state", {"in_service", "draining"}, true);
    const auto cell = t.integer("cell", 0, 4'000'000'000, true);
    s.role = role == "parent" ? Role::parent : role == "origin" ? Role::origin : Role::cache;
    const bool cache = s.role == Role::cache;
    const auto place = t.text(cache ? "point" : "hub", true);
    t.finish();
    if (!id || !role || !address || !weight || !state || !cell || !place || !named(t, *id)) return;
    const auto at = known(t, cache ? "point" : "hub", cache ? points_ : hubs_, *place);
    if (!at) return;
    if (!good_address(*address)) {
      findings_.error("L011", t.place("address"), "'" + *address + "' is no address of a server",
                      "write numbers and a port, such as 127.0.0.1:4201");
      return;
    }
    s.id = server_id(*id);
    s.name = *id;
    s.address = *address;
    s.place = *at;
    s.state = state == "draining" ? State::draining : State::in_service;
    s.cell = static_cast<std::uint32_t>(*cell);
    s.weight = *weight;
    s.line = t.place().line;
    s.piece = piece;
    if (const auto [it, first] = ids_.emplace(s.id.value, s.line); !first) {
      findings_.error("L008", t.place("id"),
                      "server " + s.name + " is listed twice, first at line " + std::to_string(it->second),
                      "keep one of the two");
      return;
    }
    if (s.state == State::in_service) {
      if (const auto [it, first] = addresses_.emplace(s.address, s.name); !first) {
        findings_.error("L009", t.place("address"),
                        s.address + " is the address of " + it->second + " as well",
                        "two servers in service cannot share one: drain or remove the one that has gone");
        return;
      }
    }
    list_.servers.push_back(std::move(s));
  }

  bool named(const form::Table& t, const std::string& name) {
    if (good_name(name)) return true;
    findings_.error("L012", t.place(), "'" + name + "' cannot be a name",
                    "use 1 to 64 letters, digits, '-' and '_'");
    return false;
  }
  void twice(const form::Table& t, const char* what, const std::string& name) {
    findings_.error("L007", t.place(), std::string(what) + " " + name + " is declared twice", "keep one");
  }
  std::optional<std::uint32_t> known(const form::Table& t, std::string_view key, const Names& names,
                                     const std::string& name) {
    const auto it = names.find(name);
    if (it != names.end()) return it->second;
    std::vector<std::string_view> all;
    if (names.size() <= 1000)
      for (const auto& [n, i] : names) all.push_back(n);
    std::sort(all.begin(), all.end());
    const auto near = form::nearest(name, all);
    findings_.error(
        "L010", t.place(key), "no " + std::string(key) + " is called '" + name + "'",
        near.empty() ? "declare it with [[" + std::string(key) + "]]" : "did you mean '" + near + "'?");
    return {};
  }

  Snapshot& list_;
  const Limits& limits_;
  form::Findings& findings_;
  Names hubs_, points_;
  std::unordered_map<std::uint64_t, std::uint32_t> ids_;
  std::unordered_map<std::string, std::string> addresses_;
};

void count(const Snapshot& list, std::uint64_t announced, form::Findings& findings) {
  if (!findings.good() || list.servers.size() == announced) return;
  findings.error("L005", {list.source, 0, 0},
                 "servers = " + std::to_string(announced) + " but " + std::to_string(list.servers.size()) +
                     " are listed",
                 "the file was cut off, or the count was not changed with the list");
}

std::vector<Piece> read_manifest_pieces(form::Table& root, form::Findings& findings) {
  std::vector<Piece> out;
  std::unordered_set<std::string> seen;
  for (auto& t : root.tables("piece")) {
    const auto file = t.text("file", true), digest = t.text("digest", true);
    t.finish();
    if (!file || !digest) continue;
    // Danger: a manifest must not lead to files outside its directory.
    if (file->empty() || file->size() > 255 || file->front() == '.' || file->find('/') != std::string::npos) {
      findings.error("L012", t.place("file"), "'" + *file + "' cannot be the name of a piece",
                     "name a file beside the manifest");
      continue;
    }
    const auto value = digest_from(*digest);
    if (!value) {
      findings.error("L006", t.place("digest"), "the digest is not of the form xxh3: and 16 hex digits",
                     "run `alderspur seal` on the directory");
      continue;
    }
    if (!seen.insert(*file).second) {
      findings.error("L007", t.place("file"), "piece " + *file + " is named twice", "keep one");
      continue;
    }
    out.push_back({*file, *value, t.place().line});
  }
  if (out.size() > 4096) findings.error("L013", root.place(), "over 4096 pieces", "use fewer, larger ones");
  return out;
}

}  // namespace

std::uint64_t digest_of(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }
std::string digest_text(std::uint64_t digest) {
  char out[32];
  std::snprintf(out, sizeof out, "xxh3:%016llx", static_cast<unsigned long long>(digest));
  return out;
}
std::string with_digest(std::string_view text) {
  if (text.starts_with(kDigestKey)) text.remove_prefix(std::min(text.size(), text.find('\n') + 1));
  std::string rest(text);
  if (rest.empty() || rest.back() != '\n') rest += '\n';
  return std::string(kDigestKey) + digest_text(digest_of(rest)) + "\"\n" + rest;
}

Read read_list(std::string_view text, const std::string& file, core::Time taken, const Limits& limits,
               form::Findings& findings) {
  Read out;
  if (!whole(text, file, limits.bytes, findings) || !digest_holds(text, file, findings)) return out;
  const std::size_t errors = findings.errors();
  form::Document document(text, file, findings, "L001");
  if (!document.read()) return out;
  auto root = document.root();
  (void)root.text("digest");
  (void)root.integer("format", 1, 1, true);
  const auto generation = root.integer("generation", 1, 1LL << 53, true);
  const auto servers = root.integer("servers", 1, static_cast<std::int64_t>(limits.servers), true);
  const auto confirm = root.integer("confirm", 1, 1LL << 53);
  auto list = std::make_shared<Snapshot>();
  list->source = file;
  list->taken = taken;
  list->generation = static_cast<std::uint64_t>(generation.value_or(0));
  list->confirm = static_cast<std::uint64_t>(confirm.value_or(0));
  out.announced = static_cast<std::uint64_t>(servers.value_or(0));
  Builder builder(*list, limits, findings);
  builder.places(root);
  const bool manifest = root.has("piece");
  if (manifest) out.pieces = read_manifest_pieces(root, findings);
  else builder.servers(root, 0);
  if (manifest && root.has("server"))
    findings.error("L004", root.place("server"), "a manifest lists pieces, not servers",
                   "move the servers into a piece");
  root.finish();
  if (!manifest) count(*list, out.announced, findings);
  if (findings.errors() != errors) return {};
  if (!manifest) list->seal();
  out.list = std::move(list);
  return out;
}

SnapshotPtr read_pieces(const Read& manifest, const std::vector<std::string>& texts, const Limits& limits,
                        form::Findings& findings) {
  if (!manifest.list || texts.size() != manifest.pieces.size()) return nullptr;
  auto list = std::make_shared<Snapshot>(*manifest.list);
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const Piece& p = manifest.pieces[i];
    bytes += texts[i].size();
    if (bytes > limits.bytes) {
      findings.error("L002", {list->source, p.line, 0},
                     "the pieces have over " + std::to_string(limits.bytes) + " bytes in all",
                     "list fewer servers");
      return nullptr;
    }
    if (const auto is = digest_of(texts[i]); is != p.digest)
      findings.error(
          "L006", {list->source, p.line, 0},
          "piece " + p.file + " has the digest " + digest_text(is) + ", not " + digest_text(p.digest),
          "the set is half written: write the pieces first and the manifest last");
  }
  if (!findings.good()) return nullptr;
  Builder builder(*list, limits, findings);
  for (std::size_t i = 0; i < texts.size(); ++i) {
    list->pieces.push_back(manifest.pieces[i].file);
    if (texts[i].empty()) continue;
    form::Document document(texts[i], manifest.pieces[i].file, findings, "L001");
    if (!document.read()) continue;
    auto root = document.root();
    builder.servers(root, static_cast<std::uint32_t>(i));
    root.finish();
  }
  count(*list, manifest.announced, findings);
  if (!findings.good()) return nullptr;
  list->seal();
  return list;
}

}  // namespace alderspur::membership

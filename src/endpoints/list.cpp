#include "endpoints/list.h"

#include <algorithm>
#include <thread>
#include <unordered_set>
#include <utility>

#include "endpoints/list_builder.h"
#include "endpoints/list_text.h"
#include "toml/document.h"

namespace alderspur::endpoints {
namespace {

constexpr std::int64_t kFormat = 1;
// The largest generation. A double, and therefore a JSON number, represents it exactly.
constexpr std::int64_t kMaxGeneration = std::int64_t{1} << 53;
constexpr std::size_t kMaxPieces = 4096;
constexpr std::size_t kMaxFileNameBytes = 255;
constexpr unsigned kMaxThreads = 4;

/// Reports L005 if the number of listed servers differs from the announced one.
void check_count(const Snapshot& list, std::uint64_t announced, diagnostics::Findings& findings) {
  if (!findings.is_ok() || list.servers.size() == announced) return;
  findings.error("L005", {list.source, 0, 0},
                 "servers = " + std::to_string(announced) + ", but " +
                     std::to_string(list.servers.size()) + " servers are listed",
                 "the file is truncated, or the count was not updated");
}

/// Reports whether the name is a plain file name. A manifest must not refer to files outside its
/// directory.
bool is_valid_piece_name(const std::string& file) {
  return !file.empty() && file.size() <= kMaxFileNameBytes && file.front() != '.' &&
         file.find('/') == std::string::npos;
}

std::optional<ManifestPiece> read_manifest_piece(toml::Table& table,
                                                 diagnostics::Findings& findings) {
  const auto file = table.text("file", true);
  const auto digest_text = table.text("digest", true);
  table.finish();
  if (!file || !digest_text) return {};
  if (!is_valid_piece_name(*file)) {
    findings.error("L012", table.location("file"),
                   "'" + *file + "' is not a valid file name for a piece",
                   "use the name of a file in the directory of the manifest");
    return {};
  }
  const auto digest = parse_digest(*digest_text);
  if (!digest) {
    findings.error("L006", table.location("digest"),
                   "the digest is not 'xxh3:' followed by 16 hexadecimal digits",
                   "run `alderspur seal` on the directory");
    return {};
  }
  return ManifestPiece{*file, *digest, table.location().line};
}

std::vector<ManifestPiece> read_manifest_pieces(toml::Table& root,
                                                diagnostics::Findings& findings) {
  std::vector<ManifestPiece> pieces;
  std::unordered_set<std::string> files;
  for (auto& table : root.tables("piece")) {
    auto piece = read_manifest_piece(table, findings);
    if (!piece) continue;
    if (!files.insert(piece->file).second) {
      findings.error("L007", table.location("file"), "piece " + piece->file + " is listed twice",
                     "remove one of the two entries");
      continue;
    }
    pieces.push_back(std::move(*piece));
  }
  if (pieces.size() > kMaxPieces) {
    findings.error("L013", root.location(), "the manifest lists more than 4096 pieces",
                   "use fewer, larger pieces");
  }
  return pieces;
}

/// Reads the keys before the hubs, points and servers. Returns the announced number of servers.
std::uint64_t read_head(toml::Table& root, const ListLimits& limits, Snapshot& list) {
  (void)root.text("digest");  // checked before parsing
  (void)root.integer("format", kFormat, kFormat, true);
  const auto generation = root.integer("generation", 1, kMaxGeneration, true);
  const auto servers =
      root.integer("servers", 1, static_cast<std::int64_t>(limits.max_servers), true);
  const auto confirm = root.integer("confirm", 1, kMaxGeneration);
  list.generation = static_cast<std::uint64_t>(generation.value_or(0));
  list.confirmed_generation = static_cast<std::uint64_t>(confirm.value_or(0));
  return static_cast<std::uint64_t>(servers.value_or(0));
}

/// Checks the total size and the digests of a manifest's pieces.
bool check_pieces(const ListReadResult& manifest, const std::vector<std::string>& texts,
                  const ListLimits& limits, diagnostics::Findings& findings) {
  const std::string& source = manifest.list->source;
  std::size_t total_bytes = 0;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const ManifestPiece& piece = manifest.pieces[i];
    total_bytes += texts[i].size();
    if (total_bytes > limits.max_bytes) {
      findings.error(
          "L002", {source, piece.line, 0},
          "the pieces have more than " + std::to_string(limits.max_bytes) + " bytes in total",
          "list fewer servers");
      return false;
    }
    const auto digest = compute_digest(texts[i]);
    if (digest == piece.digest) continue;
    findings.error("L006", {source, piece.line, 0},
                   "piece " + piece.file + " has the digest " + format_digest(digest) +
                       ", but the manifest gives " + format_digest(piece.digest),
                   "the set is only partly written: write the pieces first and the manifest last");
  }
  return findings.is_ok();
}

}  // namespace

unsigned spare_threads() {
  return std::clamp(std::thread::hardware_concurrency() / 2, 1U, kMaxThreads);
}

ListReadResult read_list(std::string_view text, const std::string& file, core::Time read_at,
                         const ListLimits& limits, diagnostics::Findings& findings) {
  if (!check_completeness(text, file, limits.max_bytes, findings)) return {};
  if (!check_digest(text, file, findings)) return {};
  const std::size_t errors_before = findings.errors();
  const auto split = split_list(text, file, limits);
  toml::Document document(split ? split->head : text, file, findings, "L001");
  if (!document.is_valid()) return {};
  auto root = document.root();
  ListReadResult result;
  auto list = std::make_shared<Snapshot>();
  list->source = file;
  list->read_at = read_at;
  result.announced_servers = read_head(root, limits, *list);
  ListBuilder builder(*list, limits);
  builder.read_locations(root, findings);
  const bool is_manifest = root.has("piece");
  if (is_manifest) {
    result.pieces = read_manifest_pieces(root, findings);
  } else if (split) {
    read_parts(split->parts, builder, limits.threads, findings);
  } else {
    builder.add(builder.read_servers(root, 0, findings), findings);
  }
  if (is_manifest && root.has("server")) {
    findings.error("L004", root.location("server"), "a manifest lists pieces, not servers",
                   "move the servers into a piece");
  }
  root.finish();
  if (!is_manifest) check_count(*list, result.announced_servers, findings);
  if (findings.errors() != errors_before) return {};
  if (!is_manifest) list->seal();
  result.list = std::move(list);
  return result;
}

SnapshotPtr read_pieces(const ListReadResult& manifest, const std::vector<std::string>& texts,
                        const ListLimits& limits, diagnostics::Findings& findings) {
  if (!manifest.list || texts.size() != manifest.pieces.size()) return nullptr;
  if (!check_pieces(manifest, texts, limits, findings)) return nullptr;
  auto list = std::make_shared<Snapshot>(*manifest.list);
  ListBuilder builder(*list, limits);
  std::vector<ListPart> parts;
  parts.reserve(texts.size());
  std::size_t total_bytes = 0;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const std::string& file = manifest.pieces[i].file;
    list->piece_files.push_back(file);
    parts.push_back({texts[i], file, static_cast<std::uint32_t>(i), 0});
    total_bytes += texts[i].size();
  }
  const unsigned threads = limits.is_read_in_parts(total_bytes) ? limits.threads : 1;
  read_parts(parts, builder, threads, findings);
  check_count(*list, manifest.announced_servers, findings);
  if (!findings.is_ok()) return nullptr;
  list->seal();
  return list;
}

}  // namespace alderspur::endpoints

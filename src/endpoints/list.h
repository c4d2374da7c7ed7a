// The written form of a list of servers: TOML in one file, or a manifest with pieces. No I/O: texts
// come in, a Snapshot or findings come out. docs/servers.md describes the form for operators.
//
// One file:
//     format = 1
//     generation = 12
//     servers = 2                  # the number that follows: a TOML file that is truncated at the
//                                  # end of a line is a valid shorter one
//     [[hub]]    name = "north"
//     [[point]]  name = "edge-1"  hub = "north"
//     [[server]] id = "s-1"  role = "cache"  point = "edge-1"  address = "127.0.0.1:4201"
//                weight = 4.0  state = "in_service"  cell = 0
// Every key of a server is required, so that truncation inside the last one is noticed as well;
// `confirm` is optional. The first line may be `digest = "xxh3:..."` over all bytes after it.
//
// A manifest has the same head, the hubs and the points, and [[piece]] with `file` and `digest`;
// each piece holds [[server]] only. A set is valid only if every piece has the digest that the
// manifest names.
//
// Codes of findings: L001 no TOML, L002 too large, L003 truncated, L004 form, L005 count, L006
// digest, L007 a name twice, L008 an id twice, L009 an address twice in service, L010 unknown point
// or hub, L011 unusable address, L012 bad name, L013 too many servers, F002 to F004 of
// toml/document.h.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"
#include "diagnostics/diagnostics.h"
#include "endpoints/snapshot.h"

namespace alderspur::endpoints {

/// Bounds on a list, and how a large one is read.
struct ListLimits {
  std::size_t max_bytes = 16 << 20;  // of one text, and of all pieces together
  std::size_t max_servers = 100'000;
  double min_weight = 0.001;
  double max_weight = 1e6;
  // Texts of more than six parts are read in parts, by this number of threads; the result depends
  // on neither. A parsed tree takes some fourteen times the size of its text, so that parts bound
  // the memory as well.
  std::size_t part_bytes = 512 << 10;
  unsigned threads = 1;

  /// Whether a text of this size is split.
  bool is_read_in_parts(std::size_t text_bytes) const { return text_bytes > 6 * part_bytes; }
};

/// A piece as its manifest names it.
struct ManifestPiece {
  std::string file;  // a plain file name, no path
  std::uint64_t digest = 0;
  std::uint32_t line = 0;  // of the manifest
};

/// The result of reading a list or a manifest; without `list`, the findings say why.
struct ListReadResult {
  std::shared_ptr<Snapshot> list;     // sealed; not yet checked against the active list
  std::vector<ManifestPiece> pieces;  // of a manifest, whose `list` has no servers yet
  std::uint64_t announced_servers = 0;
};

/// The number of threads that reading a large text may use: half the cores, four at most, so that
/// the event loop keeps its own.
unsigned spare_threads();

/// Reads one text. `read_at`: when it was read from `file`.
ListReadResult read_list(std::string_view text, const std::string& file, core::Time read_at,
                         const ListLimits& limits, diagnostics::Findings& findings);

/// Reads the pieces of a manifest, in its order, and completes its list. Returns null, with
/// findings, if any piece is wrong.
SnapshotPtr read_pieces(const ListReadResult& manifest, const std::vector<std::string>& texts,
                        const ListLimits& limits, diagnostics::Findings& findings);

std::uint64_t compute_digest(std::string_view bytes);
/// "xxh3:0123456789abcdef"
std::string format_digest(std::uint64_t digest);
/// The text with a matching first line `digest = ...`, in place of one that it may have.
std::string with_digest(std::string_view text);

}  // namespace alderspur::endpoints

// The written form of a list of servers: TOML in one file, or a manifest with pieces. No I/O: texts
// come in, a Snapshot or findings come out. docs/servers.md has the form for operators.
//
// One file:
//     format = 1
//     generation = 12
//     servers = 2                  # how many follow: a TOML file cut at a line's end is a valid
//     shorter one
//     [[hub]]    name = "north"
//     [[point]]  name = "edge-1"  hub = "north"
//     [[server]] id = "s-1"  role = "cache"  point = "edge-1"  address = "127.0.0.1:4201"
//                weight = 4.0  state = "in_service"  cell = 0
// Every key of a server is required, so that a cut inside the last one shows as well; `confirm` is
// optional. The first line may be `digest = "xxh3:..."` over all bytes after it.
//
// A manifest has the same head, the hubs and the points, and [[piece]] with `file` and `digest`;
// each piece holds [[server]] only. A set counts only if every piece has the digest that the
// manifest names.
//
// Codes: L001 no TOML, L002 too large, L003 cut off, L004 form, L005 count, L006 digest, L007 a
// name twice, L008 an id twice, L009 an address twice in service, L010 unknown point or hub, L011
// unusable address, L012 bad name, L013 too many servers, F002 to F004 of form/document.h.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "endpoints/snapshot.h"

namespace alderspur::endpoints {

struct ListLimits {
  std::size_t max_bytes = 16 << 20;  // of one text, and of all pieces together
  std::size_t max_servers = 100'000;
  double min_weight = 0.001, max_weight = 1e6;
  // Texts of over six parts are read in parts, by so many threads; what comes out does not depend
  // on either. A tree of TOML takes some fourteen times its text, so parts bound the memory as
  // well.
  std::size_t part_bytes = 512 << 10;
  unsigned threads = 1;
  bool is_read_in_parts(std::size_t text) const { return text > 6 * part_bytes; }
};

struct ManifestPiece {
  std::string file;  // a plain name, no path
  std::uint64_t digest = 0;
  std::uint32_t line = 0;
};
// What a text turned out to be. One of the two, or neither if the findings say why.
struct ListReadResult {
  std::shared_ptr<Snapshot> list;       // sealed, not yet checked against the one in force
  std::vector<ManifestPiece> pieces;    // of a manifest: `list` then has no servers yet
  std::uint64_t announced_servers = 0;  // servers, as the head counts them
};

// How many threads a large text is worth here: half the cores, four at most, the loop keeps its
// own.
unsigned spare_threads();
// Reads one text. `taken` is the time at which it was read.
ListReadResult read_list(std::string_view text, const std::string& file, core::Time taken,
                         const ListLimits& limits, diagnostics::Findings& findings);
// Reads the pieces of a manifest, in its order, and completes its list. Null with findings if any
// is wrong.
SnapshotPtr read_pieces(const ListReadResult& manifest, const std::vector<std::string>& texts,
                        const ListLimits& limits, diagnostics::Findings& findings);

std::uint64_t compute_digest(std::string_view bytes);
std::string format_digest(std::uint64_t digest);  // "xxh3:0123456789abcdef"
// The text with a right first line `digest = ...`, whatever it had there before.
std::string with_digest(std::string_view text);

}  // namespace alderspur::endpoints

// Reads server lists from their text form: one TOML file, or a manifest with pieces. No I/O: the
// functions take texts and return a Snapshot or findings. docs/servers.md describes the text form
// for operators.
//
// One file:
//     format = 1
//     generation = 12
//     servers = 2                  # the number of [[server]] tables; without it, a TOML file that
//                                  # is truncated at the end of a line is a valid, shorter file
//     [[hub]]    name = "north"
//     [[point]]  name = "edge-1"  hub = "north"
//     [[server]] id = "s-1"  role = "cache"  point = "edge-1"  address = "127.0.0.1:4201"
//                weight = 4.0  state = "in_service"  cell = 0
// Every key of a server is required, so that truncation inside the last server is detected as well.
// The head may also contain `confirm = GENERATION`. The first line may be `digest = "xxh3:..."`,
// which is computed over all bytes after that line.
//
// A manifest has the same head, hubs and points, but in place of servers it has [[piece]] tables
// with `file` and `digest`. Each piece contains [[server]] tables only. The list is valid only if
// every piece has the digest given in the manifest.
//
// Codes of findings:
//     L001  The text is not valid TOML.
//     L002  A text, or all pieces together, are too large.
//     L003  The text is truncated.
//     L004  A manifest contains servers, or is given by its file instead of its directory.
//     L005  The number of servers differs from the announced number.
//     L006  A digest is malformed or does not match.
//     L007  The name of a hub, point or piece is used twice.
//     L008  The id of a server is used twice.
//     L009  Two servers in service have the same address.
//     L010  A point or hub is not declared.
//     L011  An address is not valid.
//     L012  A name is not valid.
//     L013  There are too many servers or pieces.
//     F002 to F004: see toml/document.h.
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

/// The limits on a list, and the parameters for reading a large list in parts.
struct ListLimits {
  std::size_t max_bytes = 16 << 20;  // for one text, and for all pieces together
  std::size_t max_servers = 100'000;
  double min_weight = 0.001;
  double max_weight = 1e6;
  // A text larger than six parts is parsed in parts of this size. This also limits the memory in
  // use, because a parsed tree takes about fourteen times the size of its text.
  std::size_t part_bytes = 512 << 10;
  // The number of threads that parse the parts. The result does not depend on it.
  unsigned threads = 1;

  /// Reports whether a text of this size is parsed in parts.
  bool is_read_in_parts(std::size_t text_bytes) const { return text_bytes > 6 * part_bytes; }
};

/// The entry of a manifest for one piece.
struct ManifestPiece {
  std::string file;  // a file name without a directory
  std::uint64_t digest = 0;
  std::uint32_t line = 0;  // line in the manifest
};

/// The result of reading a list or a manifest. If `list` is null, the findings give the reason.
struct ListReadResult {
  // Not yet checked by check_alone() and check_change(). The list of a manifest has no servers and
  // is not sealed; read_pieces() returns the complete list. Any other list is sealed.
  std::shared_ptr<Snapshot> list;
  std::vector<ManifestPiece> pieces;    // empty unless the text is a manifest
  std::uint64_t announced_servers = 0;  // the value of the key `servers`
};

/// Returns the number of threads that may read a large text: half the cores, at least one and at
/// most four, so that cores remain for the event loop.
unsigned spare_threads();

/// Reads one text. `file` is used in findings and as the list's source; `read_at` is the time at
/// which the text was read from it, in Unix microseconds.
ListReadResult read_list(std::string_view text, const std::string& file, core::Time read_at,
                         const ListLimits& limits, diagnostics::Findings& findings);

/// Reads the pieces of a manifest and returns the complete, sealed list. `texts` contains the text
/// of each piece, in the order of the manifest. Returns null if any piece is invalid, with
/// findings, or if the number of texts differs from the number of pieces.
SnapshotPtr read_pieces(const ListReadResult& manifest, const std::vector<std::string>& texts,
                        const ListLimits& limits, diagnostics::Findings& findings);

/// Returns the XXH3 hash (64 bits) of the bytes.
std::uint64_t compute_digest(std::string_view bytes);
/// Returns the text form of a digest, such as "xxh3:0123456789abcdef".
std::string format_digest(std::uint64_t digest);
/// Returns the text with a first line `digest = ...` that matches the rest. It replaces an existing
/// digest line.
std::string with_digest(std::string_view text);

}  // namespace alderspur::endpoints

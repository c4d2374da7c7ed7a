// Reads lists of servers for the commands on them.
#pragma once

#include <string>

#include "diagnostics/diagnostics.h"
#include "endpoints/snapshot.h"

namespace alderspur::cli {

/// The file that holds a list: of a directory, its manifest.
std::string endpoint_list_file(const std::string& path);

/// Reads a list from a file or from a directory with a manifest, as the running router would. Null,
/// with findings, where it has errors. Throws config::Error where a file cannot be read.
endpoints::SnapshotPtr read_endpoint_list(const std::string& path, diagnostics::Findings& findings);

}  // namespace alderspur::cli

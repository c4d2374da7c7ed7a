// Reads endpoint lists for the subcommands.
#pragma once

#include <string>

#include "diagnostics/diagnostics.h"
#include "endpoints/snapshot.h"

namespace alderspur::cli {

/// Returns the path of the manifest if `path` is a directory, otherwise `path`.
std::string endpoint_list_file(const std::string& path);

/// Reads a list from a file or from a directory with a manifest, as the running router does.
/// Returns null and adds findings if the list has errors. Throws config::Error if a file cannot be
/// read.
endpoints::SnapshotPtr read_endpoint_list(const std::string& path, diagnostics::Findings& findings);

}  // namespace alderspur::cli

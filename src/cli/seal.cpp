// `alderspur seal`: writes digests into an endpoint list, or into a directory's manifest.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <optional>
#include <string>
#include <utility>

#include "cli/commands.h"
#include "cli/endpoint_list.h"
#include "cli/file_replacement.h"
#include "cli/printing.h"
#include "config/config.h"
#include "endpoints/list.h"

namespace alderspur::cli {
namespace {

/// Returns NAME if the line has the form `file = "NAME"`, otherwise nullopt.
std::optional<std::string> piece_name(const std::string& line) {
  const auto quote = line.find('"');
  if (!line.starts_with("file") || quote == std::string::npos) return std::nullopt;
  return line.substr(quote + 1, line.find('"', quote + 1) - quote - 1);
}

/// Returns the line `digest = "..."` for the content of a file.
std::string digest_line(const std::string& file) {
  const auto digest = endpoints::compute_digest(config::read_text(file));
  return "digest = \"" + endpoints::format_digest(digest) + "\"\n";
}

/// Returns the manifest with the digest of each piece in the digest line that follows its
/// `file = "..."` line.
std::string sealed_manifest(const std::string& folder, const std::string& manifest) {
  std::string sealed;
  std::string piece;
  std::size_t begin = 0;
  while (begin < manifest.size()) {
    const auto end = std::min(manifest.find('\n', begin), manifest.size() - 1);
    std::string line = manifest.substr(begin, end + 1 - begin);
    begin = end + 1;
    if (auto name = piece_name(line)) piece = std::move(*name);
    if (line.starts_with("digest") && !piece.empty()) {
      line = digest_line((std::filesystem::path(folder) / piece).string());
      piece.clear();
    }
    sealed += line;
  }
  return sealed;
}

/// Replaces a file. Throws config::Error or std::filesystem::filesystem_error on failure.
void replace_or_throw(const std::string& path, const std::string& content) {
  const auto error = replace_file(path, content, ReplacedPermissions::of_new_file);
  if (!error) return;
  if (error->step == ReplaceError::Step::write) {
    throw config::Error("cannot write " + error->temporary_path);
  }
  throw std::filesystem::filesystem_error("cannot rename", error->temporary_path, path,
                                          error->rename_error);
}

}  // namespace

int seal(const std::string& path) {
  return run_and_print_exceptions([&] {
    const std::string file = endpoint_list_file(path);
    auto content = config::read_text(file);
    if (std::filesystem::is_directory(path)) content = sealed_manifest(path, content);
    replace_or_throw(file, endpoints::with_digest(content));
    diagnostics::Findings findings;
    if (read_endpoint_list(path, findings)) return kSuccess;
    print_findings(stdout, findings);
    return kFinding;
  });
}

}  // namespace alderspur::cli

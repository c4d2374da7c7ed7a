#include "cli/endpoint_list.h"

#include <filesystem>
#include <vector>

#include "config/config.h"
#include "endpoints/list.h"
#include "net/loop.h"

namespace alderspur::cli {

std::string endpoint_list_file(const std::string& path) {
  return std::filesystem::is_directory(path) ? path + "/manifest.toml" : path;
}

endpoints::SnapshotPtr read_endpoint_list(const std::string& path,
                                          diagnostics::Findings& findings) {
  const endpoints::ListLimits limits;
  const std::string file = endpoint_list_file(path);
  const auto read =
      endpoints::read_list(config::read_text(file), file, net::unix_now(), limits, findings);
  if (!read.list || read.pieces.empty()) return read.list;
  std::vector<std::string> texts;
  const auto folder = std::filesystem::path(file).parent_path();
  for (const auto& piece : read.pieces) {
    texts.push_back(config::read_text((folder / piece.file).string()));
  }
  return endpoints::read_pieces(read, texts, limits, findings);
}

}  // namespace alderspur::cli

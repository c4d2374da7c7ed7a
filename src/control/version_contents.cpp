#include "control/version_contents.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/conservative_merge.h"
#include "control/routes.h"
#include "diagnostics/diagnostics.h"
#include "endpoints/check.h"
#include "store/state_file.h"

namespace alderspur::control {
namespace {

constexpr const char* kLogModule = "agreement";
constexpr const char* kServersDocument = "servers";
constexpr const char* kRoutesDocument = "routes";
constexpr const char* kCheckedRoutesFile = "/checked.alder";

/// The reason why a document is not valid or a file cannot be written.
struct ContentError {
  std::string message;
};
using ContentResult = std::optional<ContentError>;  // empty on success

/// Checks an endpoint list by itself and against the locations of the configuration.
ContentResult check_servers(const std::string& text, const config::Config& config) {
  diagnostics::Findings findings;
  const auto read = endpoints::read_list(text, kServersDocument, 0, {}, findings);
  if (read.list && findings.is_ok()) endpoints::check_alone(*read.list, findings);
  if (read.list && findings.is_ok()) {
    (void)endpoints::resolve_zones(*read.list, config.names.zones, findings);
  }
  if (findings.is_ok()) return std::nullopt;
  return ContentError{diagnostics::to_string(findings.list()[0])};
}

/// Compiles a program of routes from a temporary file in `folder`.
ContentResult check_routes(const std::string& text, const std::string& folder,
                           const config::Config& config) {
  const std::string file = folder + kCheckedRoutesFile;
  std::ofstream(file) << text;
  const auto result = compile_routes(file, config);
  if (result.routes) return std::nullopt;
  const auto errors = first_errors(result.findings);
  return ContentError{errors.empty() ? "does not check" : errors[0]};
}

/// Checks the documents in the order of their names and returns the first error.
ContentResult check_documents(const consensus::Content& content, const std::string& folder,
                              const config::Config& config) {
  for (const auto& [name, text] : content) {
    ContentResult error;
    if (name == kServersDocument) {
      error = check_servers(text, config);
    } else if (name == kRoutesDocument) {
      error = check_routes(text, folder, config);
    } else {
      error = ContentError{"this program knows no document '" + name + "'"};
    }
    if (error) return error;
  }
  return std::nullopt;
}

/// Merges the endpoint lists of the active and the newer contents and writes the result. Does
/// nothing if the version has no list or the router uses none.
ContentResult write_servers(const consensus::ActiveVersion& active, const std::string& path,
                            std::uint64_t generation) {
  const auto own = active.content->find(kServersDocument);
  if (own == active.content->end() || path.empty()) return std::nullopt;
  std::vector<std::string> texts{own->second};
  for (const auto& newer : active.newer_contents) {
    if (const auto document = newer->find(kServersDocument); document != newer->end()) {
      texts.push_back(document->second);
    }
  }
  const auto merged = consensus::merge_list_texts(texts, generation);
  if (!merged.is_ok()) return ContentError{merged.error()};
  if (const auto error = store::replace_text_file(path, merged.text())) {
    return ContentError{to_string(*error)};
  }
  return std::nullopt;
}

/// Writes the program of routes. Does nothing if the version has none or the router uses none.
ContentResult write_routes(const consensus::ActiveVersion& active, const std::string& path) {
  const auto document = active.content->find(kRoutesDocument);
  if (document == active.content->end() || path.empty()) return std::nullopt;
  if (const auto error = store::replace_text_file(path, document->second)) {
    return ContentError{to_string(*error)};
  }
  return std::nullopt;
}

/// Writes both files. If both writes fail, returns the error of the routes.
ContentResult write_all(const consensus::ActiveVersion& active, const VersionFiles& files,
                        std::uint64_t generation) {
  const ContentResult servers_error = write_servers(active, files.servers_path, generation);
  const ContentResult routes_error = write_routes(active, files.routes_path);
  return routes_error ? routes_error : servers_error;
}

}  // namespace

VersionContents::VersionContents(VersionFiles files, std::string folder,
                                 const config::Config& config, net::Wakeup& wakeup, log::Log& log)
    : files_(std::move(files)),
      folder_(std::move(folder)),
      config_(config),
      wakeup_(wakeup),
      log_(log) {}

void VersionContents::check(const consensus::CheckContent& action, CheckHandler done) {
  worker_.submit([this, action, done = std::move(done)] {
    const ContentResult error = check_documents(*action.content, folder_, config_);
    const consensus::ContentChecked result{action.digest, !error,
                                           error ? error->message : std::string()};
    wakeup_.post([this, done, result] {
      done(result);
      write_again_if_required();
    });
  });
}

void VersionContents::write_files(const consensus::ActiveVersion& active) {
  active_ = active;
  write_active_files();
}

void VersionContents::write_active_files() {
  if (!active_.content || (files_.servers_path.empty() && files_.routes_path.empty())) return;
  if (std::exchange(is_writing_, true)) {
    must_write_again_ = true;
    return;
  }
  const std::uint64_t generation = next_generation();
  const bool is_submitted = worker_.submit([this, active = active_, generation] {
    const ContentResult error = write_all(active, files_, generation);
    wakeup_.post([this, error] {
      is_writing_ = false;
      if (error) {
        log_.record(kLogModule, log::Level::error, "not_acted_on", {{"reason", error->message}});
      }
      if (files_.on_written) files_.on_written();
      write_again_if_required();
    });
  });
  if (is_submitted) return;
  // The worker's queue is full of checks. The write is repeated when one of them has ended.
  is_writing_ = false;
  must_write_again_ = true;
}

// A written list may be replaced before or after it has been read, and a list with the generation
// of the active one and other content is refused.
std::uint64_t VersionContents::next_generation() {
  const std::uint64_t active_generation = files_.list_generation ? files_.list_generation() : 0;
  last_generation_ = std::max(last_generation_, active_generation) + 1;
  return last_generation_;
}

void VersionContents::write_again_if_required() {
  if (!is_writing_ && std::exchange(must_write_again_, false)) write_active_files();
}

}  // namespace alderspur::control

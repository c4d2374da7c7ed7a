#include "control/consensus_storage.h"

#include <cstdint>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <utility>

#include "store/state_file.h"

namespace alderspur::control {
namespace {

constexpr const char* kLogModule = "agreement";
constexpr std::string_view kStateFile = "/agree.kept";
constexpr std::size_t kMaxStateBytes = 1 << 20;
constexpr std::string_view kContentPrefix = "content.";
constexpr std::string_view kUnfinishedSuffix = ".new";
/// The size of the largest content, with room for the header of its file.
constexpr std::size_t kMaxContentFileBytes = consensus::kMaxContentBytes + 4096;
constexpr std::size_t kMaxLoadedContents = 2 * consensus::kMaxStoredContents;

std::string state_path(const std::string& folder) { return folder + std::string(kStateFile); }

std::string content_path(const std::string& folder, const std::string& digest) {
  return folder + "/" + std::string(kContentPrefix) + digest;
}

/// Loads the content with this digest into `start.contents`. Does nothing if its file cannot be
/// read or kMaxLoadedContents are loaded already.
void load_content(const std::string& folder, const std::string& digest, consensus::Start& start) {
  if (digest.empty() || start.contents.size() >= kMaxLoadedContents) return;
  const auto file = store::load_file(content_path(folder, digest), kMaxContentFileBytes);
  if (file.payload) start.contents[digest] = *file.payload;
}

/// Loads every completely written content in the folder, including those that the stored state does
/// not reference. If all routers lost power at the same time, the newest accepted content may be
/// stored while no router's state references it.
void load_contents_in_folder(const std::string& folder, consensus::Start& start) {
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator(folder, ignored)) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with(kContentPrefix) || name.ends_with(kUnfinishedSuffix)) continue;
    load_content(folder, name.substr(kContentPrefix.size()), start);
  }
}

/// Loads the state, the contents and the log. Parts that cannot be read are left empty.
consensus::Start load_stored_data(const std::string& folder, consensus::LogStore& log_store) {
  consensus::Start start;
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  if (const auto file = store::load_file(state_path(folder), kMaxStateBytes); file.payload) {
    start.state =
        consensus::decode_persisted_state(*file.payload).value_or(consensus::PersistedState{});
  }
  load_content(folder, start.state.current.digest, start);
  if (start.state.accepted) load_content(folder, start.state.accepted->digest, start);
  load_contents_in_folder(folder, start);
  auto loaded = log_store.load();
  start.log = std::move(loaded.log);
  start.is_log_corrupt = loaded.is_corrupt;
  start.has_no_disk = !loaded.is_corrupt && !loaded.status.is_ok();
  return start;
}

}  // namespace

ConsensusStorage::ConsensusStorage(std::string folder, net::Wakeup& wakeup, EventHandler on_event,
                                   log::Log& log)
    : folder_(std::move(folder)),
      wakeup_(wakeup),
      on_event_(std::move(on_event)),
      log_(log),
      log_store_(std::make_shared<consensus::LogStore>(folder_)) {}

void ConsensusStorage::load() {
  log_writer_.submit([this, log_store = log_store_, folder = folder_] {
    wakeup_.post([this, start = load_stored_data(folder, *log_store)] {
      if (start.is_log_corrupt) {
        log_.record(kLogModule, log::Level::error, "log_spoilt", {{"folder", folder_}});
      }
      if (start.has_no_disk) {
        log_.record(kLogModule, log::Level::error, "no_disk", {{"folder", folder_}});
      }
      on_event_(start);
    });
  });
}

void ConsensusStorage::write_log(consensus::WriteLog action) {
  const std::uint64_t number = action.number;
  const bool is_submitted =
      log_writer_.submit([this, log_store = log_store_, action = std::move(action)] {
        const auto status = log_store->apply(action.write);
        wakeup_.post([this, number = action.number, status] {
          if (!status.is_ok()) {
            log_.record(kLogModule, log::Level::error, "log_not_written",
                        {{"reason", status.message()}});
          }
          on_event_(consensus::LogWritten{number, status.is_ok()});
        });
      });
  if (is_submitted) return;
  wakeup_.post([this, number] { on_event_(consensus::LogWritten{number, false}); });
}

void ConsensusStorage::write_content(consensus::WriteContent action) {
  const std::string digest = action.digest;
  const bool is_submitted =
      content_writer_.submit([this, folder = folder_, action = std::move(action)] {
        const auto error = store::replace_file(content_path(folder, action.digest), action.bytes);
        wakeup_.post([this, digest = action.digest, error] {
          if (error) {
            log_.record(kLogModule, log::Level::error, "content_not_written",
                        {{"reason", to_string(*error)}});
          }
          on_event_(consensus::ContentWritten{digest, !error});
        });
      });
  if (is_submitted) return;
  wakeup_.post([this, digest] { on_event_(consensus::ContentWritten{digest, false}); });
}

void ConsensusStorage::persist_state(const consensus::PersistState& action) {
  content_writer_.submit([folder = folder_, bytes = consensus::encode(action.state)] {
    (void)store::replace_file(state_path(folder), bytes);
  });
}

void ConsensusStorage::delete_content(const consensus::DeleteContent& action) {
  content_writer_.submit([folder = folder_, digest = action.digest] {
    std::error_code ignored;
    std::filesystem::remove(content_path(folder, digest), ignored);
  });
}

bool ConsensusStorage::stop_workers(std::chrono::milliseconds timeout) {
  const bool has_stopped_log_writer = log_writer_.stop(timeout);
  return content_writer_.stop(timeout) && has_stopped_log_writer;
}

}  // namespace alderspur::control

#include "cluster/epoch.h"

#include <algorithm>
#include <filesystem>
#include <optional>
#include <string_view>
#include <system_error>

#include "core/parsing.h"
#include "store/state_file.h"

namespace alderspur::cluster {
namespace {

constexpr std::string_view kFileName = "/epoch";
constexpr std::string_view kFormat = "epoch 1 ";  // followed by the number
constexpr std::size_t kMaxFileSize = 4096;        // bytes

std::optional<std::uint64_t> parse_epoch(const std::optional<std::string>& payload) {
  if (!payload || !payload->starts_with(kFormat)) return std::nullopt;
  std::string_view number = *payload;
  number.remove_prefix(kFormat.size());
  return core::parse_number<std::uint64_t>(number);
}

void read_stored_epoch(const std::string& path, EpochResult& result) {
  const auto loaded = store::load_file(path, kMaxFileSize);
  if (const auto stored = parse_epoch(loaded.payload)) {
    result.epoch = std::max(result.epoch, *stored + 1);
    result.previous = stored;
    return;
  }
  if (loaded.is_absent) return;
  if (loaded.error) {
    result.error = EpochError::unreadable;
    result.reason = to_string(*loaded.error);
    return;
  }
  result.error = EpochError::unexpected_format;
  result.reason = path + " is not an epoch file of version 1";
}

}  // namespace

EpochResult next_epoch(const std::string& state_folder, core::Time wall_clock) {
  EpochResult result;
  result.epoch = static_cast<std::uint64_t>(std::max<core::Time>(1, wall_clock));
  if (state_folder.empty()) return result;
  std::error_code ignored;  // replace_file() reports a missing folder
  std::filesystem::create_directories(state_folder, ignored);
  const std::string path = state_folder + std::string(kFileName);
  read_stored_epoch(path, result);
  const auto write_error =
      store::replace_file(path, std::string(kFormat) + std::to_string(result.epoch));
  if (write_error) {
    result.previous.reset();
    result.error = EpochError::not_written;
    result.reason = to_string(*write_error);
  }
  return result;
}

}  // namespace alderspur::cluster

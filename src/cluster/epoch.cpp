#include "cluster/epoch.h"

#include <algorithm>
#include <filesystem>
#include <string_view>

#include "core/parsing.h"
#include "store/state_file.h"

namespace alderspur::cluster {

std::uint64_t next_epoch(const std::string& folder, core::Time wall, std::string& error) {
  std::uint64_t epoch = static_cast<std::uint64_t>(std::max<core::Time>(1, wall));
  if (folder.empty()) return epoch;
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  const std::string path = folder + "/epoch";
  constexpr std::string_view kForm = "epoch 1 ";
  const auto loaded = store::load_file(path, 4096);
  std::uint64_t before = 0;
  if (loaded.payload && loaded.payload->starts_with(kForm) &&
      core::parse_number(std::string_view(*loaded.payload).substr(kForm.size()), before))
    epoch = std::max(epoch, before + 1);
  else if (!loaded.is_absent)
    error = loaded.error ? to_string(*loaded.error) : path + " has another form";
  const auto written = store::replace_file(path, std::string(kForm) + std::to_string(epoch));
  if (written) error = to_string(*written);
  return epoch;
}

}  // namespace alderspur::cluster

#include "admin/process_memory.h"

#include <fstream>
#include <string>

namespace alderspur::admin {
namespace {

constexpr std::size_t kBytesPerKilobyte = 1024;

}  // namespace

std::optional<std::size_t> anonymous_memory() {
  std::ifstream status("/proc/self/status");
  std::string name;
  while (status >> name) {
    std::size_t kilobytes = 0;
    if (name == "RssAnon:" && status >> kilobytes) return kilobytes * kBytesPerKilobyte;
    std::getline(status, name);
  }
  return std::nullopt;
}

}  // namespace alderspur::admin

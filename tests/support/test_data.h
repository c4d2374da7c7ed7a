// Files under tests/data: what earlier versions of the program stored or sent.
#pragma once

#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>

#include "support/build_paths.h"

namespace test_data {

/// `name` is relative to tests/data.
inline std::string path(const std::string& name) {
  return std::string(test_paths::kTestData) + "/" + name;
}

inline std::string to_hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    hex += kDigits[static_cast<unsigned char>(byte) >> 4];
    hex += kDigits[static_cast<unsigned char>(byte) & 15];
  }
  return hex;
}

inline std::string from_hex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  }
  return bytes;
}

}  // namespace test_data

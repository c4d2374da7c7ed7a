// Fixture with a temporary shared directory, which tests access in the way that the processes of
// one router do.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>

#include "hot_restart/shared_directory.h"

namespace alderspur::hot_restart {

constexpr const char* kTestKey = "127.0.0.1:4100";

struct SharedDirectoryTest : ::testing::Test {
  SharedDirectoryTest() {
    std::string name = "/tmp/alderspur-test-XXXXXX";
    directory = ::mkdtemp(name.data());
  }
  ~SharedDirectoryTest() override { std::filesystem::remove_all(directory); }

  std::string path_of(const std::string& suffix) const {
    return directory + "/alderspur-127.0.0.1-4100" + suffix;
  }
  /// Returns access to the directory for one more process of the router.
  SharedDirectory process() const { return {directory, kTestKey}; }

  std::string directory;
};

}  // namespace alderspur::hot_restart

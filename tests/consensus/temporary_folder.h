// A folder that is removed with all its files at the end of a test.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = "/tmp/alderspur-test-XXXXXX";
    if (!::mkdtemp(name.data())) throw std::runtime_error("no temporary folder");
    path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }
  std::string path(const std::string& name) const { return path_ + "/" + name; }
  std::string read(const std::string& name) const {
    std::ifstream file(path(name), std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  void write(const std::string& name, const std::string& bytes) const {
    std::ofstream(path(name), std::ios::binary) << bytes;
  }

 private:
  std::string path_;
};

// A temporary folder for a test, removed with all its files when the object is destroyed.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

/// Creates an empty folder under /tmp. The constructor throws if the folder cannot be created.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = "/tmp/alderspur-test-XXXXXX";
    if (!::mkdtemp(name.data())) throw std::runtime_error("cannot create a folder under /tmp");
    path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }
  /// Returns the path of a file in the folder.
  std::string path(const std::string& name) const { return path_ + "/" + name; }
  /// Returns the contents of a file; empty if the file cannot be read.
  std::string read(const std::string& name) const {
    std::ifstream file(path(name), std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  /// Creates a file or replaces its contents.
  void write(const std::string& name, const std::string& bytes) const {
    std::ofstream(path(name), std::ios::binary) << bytes;
  }

 private:
  std::string path_;
};

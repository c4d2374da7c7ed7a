#include "store/state_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

// Only one function of the library is used. Inlining it avoids loading the shared library at
// program start.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

namespace alderspur::store {
namespace {

constexpr std::array<char, 8> kMagic{'A', 'L', 'D', 'R', 'S', 'T', 'A', '1'};
constexpr mode_t kFileMode = 0640;

/// The first bytes of a state file, in the byte order of the machine.
struct FileHeader {
  std::array<char, 8> magic{};
  std::uint64_t payload_size = 0;
  std::uint64_t payload_digest = 0;
};

FileHeader header_for(std::string_view payload) {
  return {kMagic, payload.size(), XXH3_64bits(payload.data(), payload.size())};
}

bool matches(const FileHeader& header, std::string_view payload) {
  return header.magic == kMagic && header.payload_size == payload.size() &&
         header.payload_digest == XXH3_64bits(payload.data(), payload.size());
}

/// Owns a file descriptor and, unlike net::Fd, reports whether closing it failed.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  ~FileDescriptor() { close(); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  int get() const { return fd_; }
  bool close() { return fd_ < 0 || ::close(std::exchange(fd_, -1)) == 0; }

 private:
  int fd_;
};

bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

/// Reads until `buffer` is full. Returns false on an early end of file or an error.
bool read_all(int fd, std::string& buffer) {
  std::size_t filled = 0;
  while (filled < buffer.size()) {
    const ssize_t received = ::read(fd, buffer.data() + filled, buffer.size() - filled);
    if (received < 0 && errno == EINTR) continue;
    if (received <= 0) return false;
    filled += static_cast<std::size_t>(received);
  }
  return true;
}

void report(const WriteStepHook& hook, WriteStep step) {
  if (hook) hook(step);
}

/// Writes header and payload to a new file at `path` and syncs it. Overwrites a file that an
/// interrupted write has left there.
std::optional<FileError> write_synced(const std::string& path, std::string_view header,
                                      std::string_view payload, const WriteStepHook& hook) {
  FileDescriptor file(
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, kFileMode));
  if (file.get() < 0) return errno_error(FileFault::create_failed, path);
  report(hook, WriteStep::opened);
  const std::size_t half = payload.size() / 2;
  if (!write_all(file.get(), header) || !write_all(file.get(), payload.substr(0, half))) {
    return errno_error(FileFault::write_failed, path);
  }
  report(hook, WriteStep::half_written);
  if (!write_all(file.get(), payload.substr(half))) {
    return errno_error(FileFault::write_failed, path);
  }
  report(hook, WriteStep::written);
  // The file is synced before it is renamed. Otherwise a crash could leave an empty file under the
  // final name.
  if (::fsync(file.get()) < 0 || !file.close()) {
    return errno_error(FileFault::sync_failed, path);
  }
  report(hook, WriteStep::synced);
  return {};
}

std::optional<FileError> sync_directory_of(const std::string& path) {
  const auto parent = std::filesystem::path(path).parent_path();
  const std::string directory = parent.empty() ? "." : parent.string();
  const FileDescriptor opened(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (opened.get() < 0 || ::fsync(opened.get()) < 0) {
    return errno_error(FileFault::sync_failed, directory);
  }
  return {};
}

std::optional<FileError> replace(const std::string& path, std::string_view header,
                                 std::string_view payload, const WriteStepHook& hook) {
  const std::string temporary = path + ".new";
  if (auto error = write_synced(temporary, header, payload, hook)) return error;
  if (::rename(temporary.c_str(), path.c_str()) < 0) {
    return errno_error(FileFault::rename_failed, temporary);
  }
  report(hook, WriteStep::renamed);
  if (auto error = sync_directory_of(path)) return error;
  report(hook, WriteStep::directory_synced);
  return {};
}

}  // namespace

std::string to_string(const FileError& error) {
  const auto failed = [&](const char* operation) {
    return std::string(operation) + ' ' + error.path + ": " +
           std::generic_category().message(error.error_number);
  };
  switch (error.fault) {
    case FileFault::create_failed:
      return failed("cannot create");
    case FileFault::open_failed:
      return failed("cannot open");
    case FileFault::write_failed:
      return failed("cannot write");
    case FileFault::sync_failed:
      return failed("cannot sync");
    case FileFault::rename_failed:
      return failed("cannot rename");
    case FileFault::lock_failed:
      return failed("cannot lock");
    case FileFault::not_a_state_file:
      return error.path + " is not a state file";
    case FileFault::checksum_mismatch:
      return error.path + " is damaged: its checksum does not match its content";
  }
  return error.path;
}

FileError errno_error(FileFault fault, std::string path) {
  const int error_number = errno;
  return {fault, std::move(path), error_number};
}

std::optional<FileError> replace_file(const std::string& path, std::string_view payload,
                                      const WriteStepHook& hook) {
  const FileHeader header = header_for(payload);
  return replace(path, {reinterpret_cast<const char*>(&header), sizeof header}, payload, hook);
}

std::optional<FileError> replace_text_file(const std::string& path, std::string_view text) {
  return replace(path, {}, text, {});
}

LoadedFile load_file(const std::string& path, std::size_t max_bytes) {
  LoadedFile result;
  const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (file.get() < 0) {
    result.error = errno_error(FileFault::open_failed, path);
    result.is_absent = result.error->error_number == ENOENT;
    return result;
  }
  struct stat status {};
  FileHeader header;
  if (::fstat(file.get(), &status) < 0 || !S_ISREG(status.st_mode) ||
      status.st_size < static_cast<off_t>(sizeof header) ||
      static_cast<std::size_t>(status.st_size) > max_bytes) {
    result.error = FileError{FileFault::not_a_state_file, path, 0};
    return result;
  }
  std::string content(static_cast<std::size_t>(status.st_size), '\0');
  const bool is_complete = read_all(file.get(), content);
  std::memcpy(&header, content.data(), sizeof header);
  std::string_view payload = content;
  payload.remove_prefix(sizeof header);
  if (!is_complete || !matches(header, payload)) {
    result.error = FileError{FileFault::checksum_mismatch, path, 0};
    return result;
  }
  result.payload = std::string(payload);
  return result;
}

}  // namespace alderspur::store

#include "store/state_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#define XXH_INLINE_ALL  // one function of it: not worth a library to load at the start
#include <xxhash.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <utility>

namespace alderspur::store {
namespace {

constexpr char kMagic[8] = {'A', 'L', 'D', 'R', 'S', 'T', 'A', '1'};
struct Head {
  char magic[8];
  std::uint64_t size, digest;
};

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() { close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int get() const { return fd_; }
  bool close() { return fd_ < 0 || ::close(std::exchange(fd_, -1)) == 0; }

 private:
  int fd_;
};

std::string failed(const char* what, const std::string& path) {
  return std::string(what) + ' ' + path + ": " + std::strerror(errno);
}
bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

}  // namespace

namespace {

// Writes what comes in two pieces as one file, synced, over `path`.
std::string replace(const std::string& path, std::string_view first, std::string_view payload,
                    const StepHook& hook) {
  const auto step = [&](Step s) {
    if (hook) hook(s);
  };
  const std::string fresh = path + ".new";
  {
    // What an earlier process left half written under this name is overwritten.
    Descriptor fd(
        ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0640));
    if (fd.get() < 0) return failed("cannot create", fresh);
    step(Step::opened);
    const auto half = payload.size() / 2;
    if (!write_all(fd.get(), first) || !write_all(fd.get(), payload.substr(0, half)))
      return failed("cannot write", fresh);
    step(Step::half_written);
    if (!write_all(fd.get(), payload.substr(half))) return failed("cannot write", fresh);
    step(Step::written);
    // Danger: renamed before it is on the disk, a crash leaves an empty file under the good name.
    if (::fsync(fd.get()) < 0 || !fd.close()) return failed("cannot sync", fresh);
    step(Step::synced);
  }
  if (::rename(fresh.c_str(), path.c_str()) < 0) return failed("cannot rename", fresh);
  step(Step::renamed);
  const auto parent = std::filesystem::path(path).parent_path();
  const std::string folder = parent.empty() ? "." : parent.string();
  Descriptor dir(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (dir.get() < 0 || ::fsync(dir.get()) < 0) return failed("cannot sync", folder);
  step(Step::directory_synced);
  return {};
}

}  // namespace

std::string replace_file(const std::string& path, std::string_view payload, const StepHook& hook) {
  Head head{};
  std::memcpy(head.magic, kMagic, sizeof kMagic);
  head.size = payload.size();
  head.digest = XXH3_64bits(payload.data(), payload.size());
  return replace(path, {reinterpret_cast<const char*>(&head), sizeof head}, payload, hook);
}

std::string write_text(const std::string& path, std::string_view text) {
  return replace(path, {}, text, {});
}

Loaded load_file(const std::string& path, std::size_t most) {
  Loaded out;
  const Descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (fd.get() < 0) {
    out.absent = errno == ENOENT;
    out.error = failed("cannot open", path);
    return out;
  }
  struct stat is {};
  Head head{};
  if (::fstat(fd.get(), &is) < 0 || !S_ISREG(is.st_mode) ||
      is.st_size < static_cast<off_t>(sizeof head) || static_cast<std::size_t>(is.st_size) > most) {
    out.error = path + " is no state file";
    return out;
  }
  std::string bytes(static_cast<std::size_t>(is.st_size), '\0');
  std::size_t got = 0;
  while (got < bytes.size()) {
    const ssize_t n = ::read(fd.get(), bytes.data() + got, bytes.size() - got);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    got += static_cast<std::size_t>(n);
  }
  std::memcpy(&head, bytes.data(), sizeof head);
  const std::string_view payload = std::string_view(bytes).substr(sizeof head);
  if (got != bytes.size() || std::memcmp(head.magic, kMagic, sizeof kMagic) != 0 ||
      head.size != payload.size() || head.digest != XXH3_64bits(payload.data(), payload.size())) {
    out.error = path + " is damaged: its checksum does not hold";
    return out;
  }
  out.payload = std::string(payload);
  return out;
}

}  // namespace alderspur::store

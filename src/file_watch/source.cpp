#include "file_watch/source.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <cstring>
#include <ctime>
#include <optional>
#include <string_view>
#include <utility>

#include "net/address.h"

namespace alderspur::file_watch {
namespace {

constexpr int kMaxSymlinkDepth = 16;
constexpr std::size_t kReadBufferBytes = 65536;
/// In nanoseconds. A ctime advances with the kernel's clock tick, which lasts at most 10 ms.
constexpr std::int64_t kClockResolution = 40'000'000;
constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

std::uint64_t fnv_hash(std::string_view bytes) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return (hash ^ bytes.size()) * kFnvPrime;
}

std::int64_t to_nanoseconds(const timespec& time) {
  return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
}

std::string join_path(const std::string& directory, const std::string& name) {
  return directory.ends_with('/') ? directory + name : directory + '/' + name;
}

/// Returns the target of a symlink, or nothing if the path is not a symlink.
std::optional<std::string> read_symlink(const std::string& path) {
  char target[PATH_MAX];
  const ssize_t size = ::readlink(path.c_str(), target, sizeof target);
  if (size <= 0) return std::nullopt;
  return std::string(target, static_cast<std::size_t>(size));
}

/// Adds every directory entry on the path, including those on the targets of symlinks, to
/// `entries`, and the hashes of these targets to `identity`.
void trace_path(const std::string& path, int depth, std::vector<WatchedEntry>& entries,
                std::vector<std::uint64_t>& identity) {
  std::string directory = path.starts_with('/') ? "/" : ".";
  std::size_t begin = 0;
  while (begin < path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string name = path.substr(begin, end - begin);
    begin = end + 1;
    if (name.empty() || name == ".") continue;
    entries.push_back({directory, name});
    const std::string entry = join_path(directory, name);
    const auto target = depth < kMaxSymlinkDepth ? read_symlink(entry) : std::nullopt;
    if (target) {
      identity.push_back(fnv_hash(*target));
      const bool is_absolute = target->starts_with('/');
      trace_path(is_absolute ? *target : directory + '/' + *target, depth + 1, entries, identity);
    }
    directory = entry;
  }
}

ReadError system_error(const std::string& path) {
  const int code = errno;
  return {path, std::strerror(code)};
}

/// Reads at most `budget` bytes of a regular file and subtracts the bytes read from the budget. A
/// longer file is truncated.
std::variant<std::string, ReadError> read_file(const std::string& path, std::size_t& budget) {
  // O_NONBLOCK, because the path may lead to a FIFO or a device.
  const net::Fd file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK | O_NOCTTY));
  if (file.get() < 0) return system_error(path);
  struct stat status {};
  if (::fstat(file.get(), &status) < 0) return system_error(path);
  if (!S_ISREG(status.st_mode)) return ReadError{path, "it is not a regular file"};
  std::string text;
  char buffer[kReadBufferBytes];
  for (;;) {
    const ssize_t result = ::read(file.get(), buffer, sizeof buffer);
    if (result < 0 && errno == EINTR) continue;
    if (result < 0) return system_error(path);
    if (result == 0) return text;
    const auto size = static_cast<std::size_t>(result);
    const std::size_t accepted = std::min(size, budget);
    text.append(buffer, accepted);
    budget -= accepted;
    if (accepted < size) return text;
  }
}

std::uint64_t digest(const Contents& contents) {
  std::uint64_t hash = XXH3_64bits(contents.text.data(), contents.text.size());
  for (const auto& piece : contents.pieces) {
    hash = XXH3_64bits_withSeed(piece.data(), piece.size(), hash);
  }
  return hash;
}

}  // namespace

/// The state of the files at one moment, without their content.
struct Source::Inspection {
  Identity identity;
  bool is_directory = false;
  bool is_recent = false;  // another write of a file might not change its ctime
  std::string file;        // path of the file, or of the directory's manifest
  std::vector<WatchedEntry> entries;

  void add_file(const std::string& path, std::int64_t now_nanoseconds);
};

void Source::Inspection::add_file(const std::string& path, std::int64_t now_nanoseconds) {
  struct stat status {};
  if (::stat(path.c_str(), &status) < 0) {
    identity.push_back(static_cast<std::uint64_t>(errno));
    return;
  }
  identity.push_back(static_cast<std::uint64_t>(status.st_dev));
  identity.push_back(static_cast<std::uint64_t>(status.st_ino));
  identity.push_back(static_cast<std::uint64_t>(status.st_mode));
  identity.push_back(static_cast<std::uint64_t>(status.st_size));
  identity.push_back(static_cast<std::uint64_t>(to_nanoseconds(status.st_mtim)));
  identity.push_back(static_cast<std::uint64_t>(to_nanoseconds(status.st_ctim)));
  is_recent |= to_nanoseconds(status.st_ctim) > now_nanoseconds - kClockResolution;
}

std::string to_string(const ReadError& error) {
  return "cannot read " + error.path + ": " + error.reason;
}

Source::Source(std::string path, std::size_t max_bytes, PieceNames piece_names)
    : path_(std::move(path)), max_bytes_(max_bytes), list_pieces_(std::move(piece_names)) {}

Source::Inspection Source::inspect() const {
  Inspection inspection;
  trace_path(path_, 0, inspection.entries, inspection.identity);
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  const std::int64_t now_nanoseconds = to_nanoseconds(now);
  struct stat status {};
  inspection.is_directory = ::stat(path_.c_str(), &status) == 0 && S_ISDIR(status.st_mode);
  inspection.file = inspection.is_directory ? path_ + "/manifest.toml" : path_;
  inspection.add_file(inspection.file, now_nanoseconds);
  if (!inspection.is_directory) return inspection;
  inspection.entries.push_back({path_, ""});
  for (const auto& name : piece_names_) inspection.add_file(path_ + "/" + name, now_nanoseconds);
  return inspection;
}

std::variant<std::monostate, Contents, ReadError> Source::read_contents(
    const Inspection& inspection) {
  Contents contents;
  contents.is_directory = inspection.is_directory;
  contents.file = inspection.file;
  std::size_t budget = max_bytes_ + 1;
  auto text = read_file(inspection.file, budget);
  if (const auto* error = std::get_if<ReadError>(&text)) return *error;
  contents.text = std::move(std::get<std::string>(text));
  if (!inspection.is_directory) return contents;
  auto names = list_pieces_(contents.text);
  if (names != piece_names_) {
    piece_names_ = std::move(names);
    return std::monostate{};
  }
  for (const auto& name : piece_names_) {
    auto piece = read_file(path_ + "/" + name, budget);
    if (const auto* error = std::get_if<ReadError>(&piece)) return *error;
    contents.pieces.push_back(std::move(std::get<std::string>(piece)));
  }
  return contents;
}

PollResult Source::poll() {
  PollResult result;
  Inspection before = inspect();
  result.entries = std::move(before.entries);
  if (before.identity == last_read_ && !must_read_again_) return result;
  result.observation = Observation::unsettled;
  if (before.identity != std::exchange(last_seen_, before.identity)) return result;
  auto read = read_contents(before);
  // Pieces that the manifest did not list before have to settle as well.
  if (std::holds_alternative<std::monostate>(read)) return result;
  const Inspection after = inspect();
  if (after.identity != before.identity) {  // the files changed while they were read
    last_seen_ = after.identity;
    return result;
  }
  last_read_ = before.identity;
  const bool was_read_again = std::exchange(must_read_again_, before.is_recent || after.is_recent);
  if (auto* error = std::get_if<ReadError>(&read)) {
    result.observation = Observation::unreadable;
    result.error = std::move(*error);
    return result;
  }
  auto& contents = std::get<Contents>(read);
  const std::uint64_t previous_digest = std::exchange(last_digest_, digest(contents));
  const bool is_same = was_read_again && last_digest_ == previous_digest;
  result.observation = is_same ? Observation::unchanged : Observation::changed;
  if (!is_same) result.contents = std::move(contents);
  return result;
}

}  // namespace alderspur::file_watch

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
#include <utility>

namespace alderspur::file_watch {
namespace {

constexpr int kMaxLinks = 16;
constexpr std::int64_t kGrain =
    40'000'000;  // nanoseconds; ctime steps by the kernel's tick, 10 ms at most

std::uint64_t mix(std::uint64_t hash, std::string_view bytes) {
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return (hash ^ bytes.size()) * 0x100000001b3ULL;
}
std::int64_t nanos(const timespec& t) { return t.tv_sec * 1'000'000'000LL + t.tv_nsec; }

// Every directory and name that the path leads through, symlinks included.
void walk(const std::string& path, int depth, LookResult& look,
          std::vector<std::uint64_t>& identity) {
  std::string at = path.starts_with('/') ? "/" : ".";
  std::size_t begin = 0;
  while (begin < path.size()) {
    auto end = path.find('/', begin);
    if (end == std::string::npos) end = path.size();
    const std::string name = path.substr(begin, end - begin);
    begin = end + 1;
    if (name.empty() || name == ".") continue;
    look.directories.push_back(at);
    look.names.push_back(name);
    std::string next = at;
    if (!next.ends_with('/')) next += '/';
    next += name;
    char target[PATH_MAX];
    const ssize_t n = ::readlink(next.c_str(), target, sizeof target);
    if (n > 0 && depth < kMaxLinks) {
      const std::string to(target, static_cast<std::size_t>(n));
      identity.push_back(mix(0xcbf29ce484222325ULL, to));
      walk(to.starts_with('/') ? to : std::string(at).append("/").append(to), depth + 1, look,
           identity);
    }
    at = next;
  }
}

}  // namespace

Source::Source(std::string path, std::size_t most_bytes, Pieces pieces)
    : path_(std::move(path)), most_(most_bytes), pieces_(std::move(pieces)) {}

// Never waits on a FIFO or a device that somebody has put in the file's place.
bool Source::read(const std::string& path, std::size_t& budget, std::string& out,
                  std::string& error) const {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK | O_NOCTTY);
  const auto fail = [&](const std::string& why) {
    error = "cannot read " + path + ": " + why;
    if (fd >= 0) ::close(fd);
    return false;
  };
  if (fd < 0) return fail(std::strerror(errno));
  struct stat is {};
  if (::fstat(fd, &is) < 0) return fail(std::strerror(errno));
  if (!S_ISREG(is.st_mode)) return fail("it is no regular file");
  out.clear();
  char buffer[65536];
  for (;;) {
    const ssize_t n = ::read(fd, buffer, sizeof buffer);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return fail(std::strerror(errno));
    if (n == 0) break;
    // One byte over the bound is kept, so that the checker sees that it is too large.
    const auto take = std::min(static_cast<std::size_t>(n), budget);
    out.append(buffer, take);
    budget -= take;
    if (take < static_cast<std::size_t>(n)) break;
  }
  ::close(fd);
  return true;
}

void Source::identify(Identity& identity, LookResult& look, bool& young) {
  identity.clear();
  look.directories.clear();
  look.names.clear();
  walk(path_, 0, look, identity);
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  const auto add = [&](const std::string& path) {
    struct stat is {};
    if (::stat(path.c_str(), &is) < 0) {
      identity.push_back(static_cast<std::uint64_t>(errno));
      return;
    }
    for (const auto v :
         {static_cast<std::uint64_t>(is.st_dev), static_cast<std::uint64_t>(is.st_ino),
          static_cast<std::uint64_t>(is.st_mode), static_cast<std::uint64_t>(is.st_size),
          static_cast<std::uint64_t>(nanos(is.st_mtim)),
          static_cast<std::uint64_t>(nanos(is.st_ctim))}) {
      identity.push_back(v);
    }
    young |= nanos(is.st_ctim) > nanos(now) - kGrain;
  };
  struct stat is {};
  const bool directory = ::stat(path_.c_str(), &is) == 0 && S_ISDIR(is.st_mode);
  look.texts.directory = directory;
  look.texts.file = directory ? path_ + "/manifest.toml" : path_;
  add(look.texts.file);
  if (!directory) return;
  look.directories.push_back(path_);
  look.names.emplace_back();
  for (const auto& name : piece_names_) add(path_ + "/" + name);
}

LookResult Source::look() {
  LookResult out;
  Identity identity;
  bool young = false;
  identify(identity, out, young);
  if (identity == taken_ && !again_) return out;
  if (identity != std::exchange(seen_, identity)) {
    out.sight = Observation::unsettled;
    return out;
  }
  std::size_t budget = most_ + 1;
  bool read_all = read(out.texts.file, budget, out.texts.text, out.error);
  if (read_all && out.texts.directory) {
    auto names = pieces_(out.texts.text);
    if (names != piece_names_) {  // another manifest: its pieces belong to what must settle
      piece_names_ = std::move(names);
      out.sight = Observation::unsettled;
      return out;
    }
    out.texts.pieces.resize(piece_names_.size());
    for (std::size_t i = 0; i < piece_names_.size() && read_all; ++i) {
      read_all = read(path_ + "/" + piece_names_[i], budget, out.texts.pieces[i], out.error);
    }
  }
  // What changed while it was read is read again.
  Identity after;
  LookResult ignored;
  identify(after, ignored, young);
  if (after != identity) {
    seen_ = after;
    out.sight = Observation::unsettled;
    return out;
  }
  taken_ = identity;
  const bool before = std::exchange(again_, young);
  if (!read_all) {
    out.sight = Observation::unreadable;
    return out;
  }
  std::uint64_t digest = XXH3_64bits(out.texts.text.data(), out.texts.text.size());
  for (const auto& p : out.texts.pieces) digest = XXH3_64bits_withSeed(p.data(), p.size(), digest);
  const bool same = before && digest == taken_digest_;
  taken_digest_ = digest;
  out.sight = same ? Observation::unchanged : Observation::content;
  if (same) out.texts = {};
  return out;
}

}  // namespace alderspur::file_watch

#include "hot_restart/shared_directory.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>

#include "store/state_file.h"

namespace alderspur::hot_restart {
namespace {

constexpr int kPlaces = 4;
constexpr std::size_t kPlaceText = 128;
constexpr double kRounding = 1e-3;  // of the shares as they are written

std::string failed(const std::string& what) { return what + ": " + std::strerror(errno); }
net::Fd open_file(const std::string& path) {
  return net::Fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0640));
}
struct flock whole(short type) {
  struct flock l {};
  l.l_type = type;
  l.l_whence = SEEK_SET;
  return l;
}
std::string place_name(int number) { return ".place" + std::to_string(number); }
std::string usable(std::string_view key) {
  std::string out(key);
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == '/' || c == ':'; }, '-');
  return out;
}

}  // namespace

SharedDirectory::SharedDirectory(std::string path, std::string_view key)
    : base_(std::move(path) + "/alderspur-" + usable(key)) {}

std::string SharedDirectory::enter() {
  using std::chrono::duration_cast, std::chrono::microseconds, std::chrono::steady_clock;
  order_ = duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
  for (int i = 0; i < kPlaces; ++i) {
    net::Fd fd = open_file(file(place_name(i)));
    if (fd.get() < 0) return failed("cannot open " + file(place_name(i)));
    auto lock = whole(F_WRLCK);
    if (::fcntl(fd.get(), F_OFD_SETLK, &lock) < 0) continue;  // another process's
    place_ = std::move(fd);
    number_ = i;
    return say({});
  }
  return "all places in " + base_ + " are taken";
}

std::string SharedDirectory::say(const ProcessStatus& w) {
  if (place_.get() < 0) return enter();
  char text[kPlaceText + 1] = {};
  std::snprintf(text, sizeof text, "place 1 %lld %d %u %lld %.4f %.3f %.4f\n",
                static_cast<long long>(::getpid()), static_cast<int>(w.phase), w.counted,
                static_cast<long long>(order_), w.share, w.rate, w.door);
  // One write of fixed length: a reader sees the old text or the new one.
  if (::pwrite(place_.get(), text, kPlaceText, 0) != static_cast<ssize_t>(kPlaceText))
    return failed("cannot write " + file(place_name(number_)));
  return {};
}

PeerSummary SharedDirectory::others() {
  PeerSummary out;
  for (int i = 0; i < kPlaces; ++i) {
    if (i == number_) continue;
    const net::Fd fd(::open(file(place_name(i)).c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW));
    auto lock = whole(F_RDLCK);
    if (fd.get() < 0 || ::fcntl(fd.get(), F_OFD_GETLK, &lock) < 0 || lock.l_type == F_UNLCK)
      continue;
    ++out.count;
    char text[kPlaceText + 1] = {};
    long long pid = 0, order = 0;
    int phase = 0;
    unsigned counted = 0;
    double share = 0, rate = 0, door = 0;
    // One that has its place and has yet to say so, or says it in another form, knows nothing of us
    // and may hold all there is.
    if (::pread(fd.get(), text, kPlaceText, 0) <= 0 ||
        std::sscanf(text, "place 1 %lld %d %u %lld %lf %lf %lf", &pid, &phase, &counted, &order,
                    &share, &rate, &door) != 7 ||
        !(share >= 0 && share <= 1 && rate >= 0 && rate < 1e9 && door >= 0 && door < 1e9))
      counted = 0, phase = 0, share = 1, rate = 0, door = 0;
    out.successor |= phase == static_cast<int>(Phase::serving) && order > order_;
    out.all_know_us &= counted > 0;
    out.share += share;
    out.rate += rate;
    out.door = std::max(out.door, door);
  }
  return out;
}

// Danger: two that raise at once each read the other's old share. Each writes before it reads, so
// that at least one of them sees the other's raise; who sees too much takes its own back. Until
// then nobody acts on it.
std::string SharedDirectory::raise(ProcessStatus& word, double wanted) {
  const double before = word.share;
  word.share = std::min(wanted, 1 - others().share);
  if (word.share > before) {
    if (auto error = say(word); !error.empty()) return word.share = before, error;
    if (word.share + others().share <= 1 + kRounding) return {};
  }
  word.share = before;
  return say(word);
}

SharedDirectory::Read SharedDirectory::read_bans() const {
  Read out;
  for (const char* name : {".bans.a", ".bans.b"}) {
    const auto loaded = store::load_file(file(name), kBanFileMost);
    const auto bans = loaded.payload ? decode_bans(*loaded.payload) : std::nullopt;
    if (bans && bans->serial >= out.bans.serial) out.bans = *bans;
    if (!bans && !loaded.absent)
      out.error = loaded.error.empty() ? file(name) + " has a form that this version does not know"
                                       : loaded.error;
  }
  return out;
}

std::string SharedDirectory::write(const Bans& bans) {
  return store::replace_file(file(bans.serial % 2 ? ".bans.a" : ".bans.b"), encode(bans));
}

SharedDirectory::Changed SharedDirectory::change(const Bans& mine, const BanChange& change) {
  const net::Fd lock = open_file(file(".lock"));
  if (lock.get() < 0 || ::flock(lock.get(), LOCK_EX) < 0)
    return {{}, failed("cannot lock " + file(".lock"))};
  Bans next = read_bans().bans;
  if (mine.serial > next.serial) next = mine;
  carry_out(change, next.names);
  ++next.serial;
  auto error = write(next);
  return {std::move(next), std::move(error)};
}

std::string SharedDirectory::restore(const Bans& mine) {
  const net::Fd lock = open_file(file(".lock"));
  if (lock.get() < 0 || ::flock(lock.get(), LOCK_EX) < 0)
    return failed("cannot lock " + file(".lock"));
  if (read_bans().bans.serial >= mine.serial) return {};
  return write(mine);
}

}  // namespace alderspur::hot_restart

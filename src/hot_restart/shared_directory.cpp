#include "hot_restart/shared_directory.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace alderspur::hot_restart {
namespace {

constexpr int kSlotCount = 4;
constexpr mode_t kFileMode = 0640;
// Tolerance for rounding in a sum of shares, which are written with four digits.
constexpr double kShareRounding = 1e-3;
constexpr const char* kBanFileA = ".bans.a";
constexpr const char* kBanFileB = ".bans.b";
constexpr const char* kLockFile = ".lock";

std::string describe(const store::FileError& error) { return store::to_string(error); }
std::string describe(const NoFreeSlot& error) {
  return "other processes hold all slots (" + error.path_prefix + ".place*)";
}
std::string describe(const UnknownFormat& error) {
  return error.path + " is in a format that this version does not support";
}
std::string describe(const NotResponding&) { return "the disk does not respond"; }
std::string describe(const TooManyPendingChanges&) {
  return "too many ban changes wait to be stored on the disk";
}

net::Fd open_or_create(const std::string& path) {
  return net::Fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kFileMode));
}

/// Returns the argument for fcntl() that locks a whole file.
struct flock whole_file_lock(decltype(flock::l_type) type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  return lock;
}

/// Returns the key with '-' in place of the characters that separate parts of paths and addresses.
std::string file_name_part(std::string_view key) {
  std::string part(key);
  std::replace_if(
      part.begin(), part.end(), [](char c) { return c == '/' || c == ':'; }, '-');
  return part;
}

}  // namespace

std::string to_string(const SharedDirectoryError& error) {
  return std::visit([](const auto& specific) { return describe(specific); }, error);
}

SharedDirectory::SharedDirectory(std::string path, std::string_view key)
    : path_prefix_(std::move(path) + "/alderspur-" + file_name_part(key)) {}

std::string SharedDirectory::slot_path(int slot) const {
  return path_of(".place") + std::to_string(slot);
}

std::optional<SharedDirectoryError> SharedDirectory::claim_slot() {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  using std::chrono::steady_clock;
  claimed_at_ = duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
  for (int slot = 0; slot < kSlotCount; ++slot) {
    net::Fd file = open_or_create(slot_path(slot));
    if (file.get() < 0) return store::errno_error(store::FileFault::open_failed, slot_path(slot));
    auto lock = whole_file_lock(F_WRLCK);
    const bool is_held_by_another = ::fcntl(file.get(), F_OFD_SETLK, &lock) < 0;
    if (is_held_by_another) continue;
    slot_file_ = std::move(file);
    slot_ = slot;
    return publish({});
  }
  return NoFreeSlot{path_prefix_};
}

std::optional<SharedDirectoryError> SharedDirectory::publish(const ProcessStatus& status) {
  if (slot_file_.get() < 0) return claim_slot();
  const auto text = encode(SlotRecord{status, ::getpid(), claimed_at_});
  const ssize_t written = ::pwrite(slot_file_.get(), text.data(), kSlotRecordBytes, 0);
  if (written != static_cast<ssize_t>(kSlotRecordBytes)) {
    return store::errno_error(store::FileFault::write_failed, slot_path(slot_));
  }
  return {};
}

PeerSummary SharedDirectory::read_peers() {
  PeerSummary summary;
  for (int slot = 0; slot < kSlotCount; ++slot) {
    if (slot != slot_) add_peer_in_slot(slot, summary);
  }
  return summary;
}

void SharedDirectory::add_peer_in_slot(int slot, PeerSummary& summary) const {
  const net::Fd file(::open(slot_path(slot).c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW));
  if (file.get() < 0) return;
  auto lock = whole_file_lock(F_RDLCK);
  const bool is_held = ::fcntl(file.get(), F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
  if (!is_held) return;
  SlotRecordText text{};
  const bool is_readable = ::pread(file.get(), text.data(), kSlotRecordBytes, 0) > 0;
  auto record = is_readable ? decode_slot_record(text) : std::nullopt;
  if (!record) {
    // A process that has not published a status yet, or publishes it in another format, has not
    // found this process and may use all of the router's budgets.
    record.emplace();
    record->status.share = 1;
  }
  const ProcessStatus& status = record->status;
  ++summary.count;
  summary.has_successor |=
      status.phase == ProcessPhase::serving && record->claimed_at > claimed_at_;
  summary.all_have_found_a_peer &= status.known_peers > 0;
  summary.share += status.share;
  summary.request_rate += status.request_rate;
  summary.concurrency_limit = std::max(summary.concurrency_limit, status.concurrency_limit);
}

// Two processes that raise their shares at the same time could each read the other's old share, and
// their shares could add up to more than 1. Each process therefore publishes its raise and then
// reads the peers again. At least one of the two then reads the other's raise, and a process that
// finds a sum over 1 withdraws its own raise. No process uses its new share before this function
// returns.
std::optional<SharedDirectoryError> SharedDirectory::raise_share(ProcessStatus& status,
                                                                 double wanted) {
  const double previous = status.share;
  status.share = std::min(wanted, 1 - read_peers().share);
  if (status.share > previous) {
    if (auto error = publish(status)) {
      status.share = previous;
      return error;
    }
    if (status.share + read_peers().share <= 1 + kShareRounding) return {};
  }
  status.share = previous;
  return publish(status);
}

BanReadResult SharedDirectory::read_bans() const {
  BanReadResult result;
  for (const char* suffix : {kBanFileA, kBanFileB}) {
    const auto loaded = store::load_file(path_of(suffix), kMaxBanFileBytes);
    const auto list = loaded.payload ? decode_ban_list(*loaded.payload) : std::nullopt;
    if (list && list->serial >= result.list.serial) result.list = *list;
    if (list || loaded.is_absent) continue;
    if (loaded.error) {
      result.error = *loaded.error;
    } else {
      result.error = UnknownFormat{path_of(suffix)};
    }
  }
  return result;
}

std::optional<SharedDirectoryError> SharedDirectory::write_bans(const BanList& list) {
  const char* suffix = list.serial % 2 ? kBanFileA : kBanFileB;
  if (auto error = store::replace_file(path_of(suffix), encode(list))) return *error;
  return {};
}

BanChangeResult SharedDirectory::change_ban(const BanList& known, const BanChange& change) {
  const net::Fd lock = open_or_create(path_of(kLockFile));
  if (lock.get() < 0 || ::flock(lock.get(), LOCK_EX) < 0) {
    return {{}, store::errno_error(store::FileFault::lock_failed, path_of(kLockFile))};
  }
  BanList next = read_bans().list;
  const bool is_disk_newest = next.serial >= known.serial;
  if (!is_disk_newest) next = known;
  const bool changes_nothing = next.servers.contains(change.server) == change.is_banned;
  if (is_disk_newest && changes_nothing) return {std::move(next), {}};
  apply_change(change, next.servers);
  ++next.serial;
  auto error = write_bans(next);
  return {std::move(next), std::move(error)};
}

std::optional<SharedDirectoryError> SharedDirectory::restore_bans(const BanList& known) {
  const net::Fd lock = open_or_create(path_of(kLockFile));
  if (lock.get() < 0 || ::flock(lock.get(), LOCK_EX) < 0) {
    return store::errno_error(store::FileFault::lock_failed, path_of(kLockFile));
  }
  if (read_bans().list.serial >= known.serial) return {};
  return write_bans(known);
}

}  // namespace alderspur::hot_restart

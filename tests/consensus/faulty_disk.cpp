// A disk with faults and a wall clock that jumps: a library that is preloaded into a process of the
// program, in place of the C library's calls.
//
// Files under LIAR_FOLDER are watched. The real files always get what is written; what would be
// left after a loss of power is kept beside them in LIAR_SHADOW: a copy of each file as of its last
// true sync (by inode), and the names as of the last true sync of the folder. The test puts that
// back. LIAR_CONTROL is a file of two numbers of 64 bits, read on each call: the fault, and by how
// many microseconds the wall clock is off.
#include <dirent.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>

namespace {

enum class Fault : std::int64_t {
  none = 0,
  sync_ignored = 1,
  sync_fails = 2,
  disk_full = 3,
  hangs = 4,
  read_fails = 5
};

constexpr std::size_t kControlBytes = 2 * sizeof(std::int64_t);
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr useconds_t kHangPollInterval = 10'000;

// Null without LIAR_CONTROL.
const volatile std::int64_t* map_control() {
  const char* path = std::getenv("LIAR_CONTROL");
  if (!path) return nullptr;
  const int file = ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) return nullptr;
  void* memory = ::mmap(nullptr, kControlBytes, PROT_READ, MAP_SHARED, file, 0);
  ::close(file);
  return memory == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(memory);
}

const volatile std::int64_t* control() {
  static const volatile std::int64_t* const mapped = map_control();
  return mapped;
}

Fault fault() { return control() ? static_cast<Fault>(control()[0]) : Fault::none; }

template <class Function>
Function real_function(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int fail_with(int error) {
  errno = error;
  return -1;
}

// True, with its path, if the file is under LIAR_FOLDER.
bool is_watched(int file, char* path) {
  const char* folder = std::getenv("LIAR_FOLDER");
  if (!folder) return false;
  char link[64];
  std::snprintf(link, sizeof link, "/proc/self/fd/%d", file);
  const ssize_t length = ::readlink(link, path, PATH_MAX - 1);
  if (length < 0) return false;
  path[length] = 0;
  return std::strncmp(path, folder, std::strlen(folder)) == 0;
}

bool is_watched(int file) {
  char path[PATH_MAX];
  return is_watched(file, path);
}

void shadow_path(char* path, const char* name) {
  std::snprintf(path, PATH_MAX, "%s/%s", std::getenv("LIAR_SHADOW"), name);
}

// Replaces the copy of a file as a whole, by a rename.
void copy_file(const char* path, std::uint64_t inode) {
  char name[32];
  char target[PATH_MAX];
  char fresh[PATH_MAX + 8];
  char buffer[65536];
  std::snprintf(name, sizeof name, "%llu", static_cast<unsigned long long>(inode));
  shadow_path(target, name);
  std::snprintf(fresh, sizeof fresh, "%s.new", target);
  const int in = ::open(path, O_RDONLY | O_CLOEXEC);
  const int out = ::open(fresh, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  static const auto real_write = real_function<ssize_t (*)(int, const void*, std::size_t)>("write");
  if (in >= 0 && out >= 0) {
    for (ssize_t size = 0; (size = ::read(in, buffer, sizeof buffer)) > 0;) {
      if (real_write(out, buffer, static_cast<std::size_t>(size)) < 0) break;
    }
  }
  if (in >= 0) ::close(in);
  if (out >= 0) ::close(out);
  ::rename(fresh, target);
}

// A line for each file: inode and name.
void copy_names(const char* folder) {
  char target[PATH_MAX];
  char fresh[PATH_MAX + 8];
  shadow_path(target, "names");
  std::snprintf(fresh, sizeof fresh, "%s.new", target);
  DIR* directory = ::opendir(folder);
  FILE* out = std::fopen(fresh, "we");
  if (directory && out) {
    for (const dirent* entry = nullptr; (entry = ::readdir(directory));) {
      if (entry->d_type != DT_REG) continue;
      std::fprintf(out, "%llu %s\n", static_cast<unsigned long long>(entry->d_ino), entry->d_name);
    }
  }
  if (directory) ::closedir(directory);
  if (out) std::fclose(out);
  ::rename(fresh, target);
}

// Copying syncs nothing itself, but a call from within must not be counted.
int sync_file(int file, const char* function) {
  static thread_local bool is_inside = false;
  char path[PATH_MAX];
  if (!is_inside && is_watched(file, path)) {
    while (fault() == Fault::hangs) ::usleep(kHangPollInterval);
    if (fault() == Fault::sync_fails) return fail_with(EIO);
    if (fault() == Fault::sync_ignored) return 0;
    is_inside = true;
    struct stat status {};
    if (::fstat(file, &status) == 0) {
      if (S_ISDIR(status.st_mode)) {
        copy_names(path);
      } else {
        copy_file(path, status.st_ino);
      }
    }
    is_inside = false;
  }
  return real_function<int (*)(int)>(function)(file);
}

}  // namespace

extern "C" {

int fsync(int file) { return sync_file(file, "fsync"); }
int fdatasync(int file) { return sync_file(file, "fdatasync"); }

ssize_t pwrite64(int file, const void* bytes, std::size_t size, off64_t offset) {
  static const auto real_pwrite =
      real_function<ssize_t (*)(int, const void*, std::size_t, off64_t)>("pwrite64");
  if (fault() == Fault::disk_full && is_watched(file)) return fail_with(ENOSPC);
  return real_pwrite(file, bytes, size, offset);
}

ssize_t write(int file, const void* bytes, std::size_t size) {
  static const auto real_write = real_function<ssize_t (*)(int, const void*, std::size_t)>("write");
  if (fault() == Fault::disk_full && is_watched(file)) return fail_with(ENOSPC);
  return real_write(file, bytes, size);
}

ssize_t pread64(int file, void* bytes, std::size_t size, off64_t offset) {
  static const auto real_pread =
      real_function<ssize_t (*)(int, void*, std::size_t, off64_t)>("pread64");
  if (fault() == Fault::read_fails && is_watched(file)) return fail_with(EIO);
  return real_pread(file, bytes, size, offset);
}

int clock_gettime(clockid_t clock, timespec* time) {
  static const auto real_clock = real_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real_clock(clock, time);
  if (clock == CLOCK_REALTIME && result == 0 && control()) {
    time->tv_sec += control()[1] / kMicrosecondsPerSecond;
  }
  return result;
}

}  // extern "C"

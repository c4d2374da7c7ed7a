// Simulates disk faults and jumps of the wall clock in a process of the program. This library is
// preloaded and replaces functions of the C library.
//
// Environment variables:
//   LIAR_FOLDER   the folder whose files are subject to the faults
//   LIAR_SHADOW   a folder that receives the state that would remain after a power loss: a copy of
//                 each file as of its last real sync, named by its inode, and the file `names` with
//                 the file names as of the last real sync of LIAR_FOLDER. To simulate a power loss,
//                 the test replaces the files with these copies.
//   LIAR_CONTROL  a file with two 64-bit numbers, which are read at each call: the fault, and the
//                 offset of the wall clock in microseconds
//
// Writes always reach the real files unless a fault rejects them.
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

/// The fault that is simulated. The test writes the number to the control file.
enum class Fault : std::int64_t {
  none = 0,
  sync_ignored = 1,  // a sync reports success and does nothing
  sync_fails = 2,    // a sync fails with EIO
  disk_full = 3,     // a write fails with ENOSPC
  hangs = 4,         // a sync blocks until the fault ends
  read_fails = 5,    // a read fails with EIO
  bans_hang = 6      // a read of the stored replicated bans blocks until the fault ends
};

constexpr const char* kBansFile = "/replica.bans";

constexpr std::size_t kControlBytes = 2 * sizeof(std::int64_t);
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr useconds_t kHangPollInterval = 10'000;  // microseconds

// Returns null if LIAR_CONTROL is not set or the file cannot be mapped.
const volatile std::int64_t* map_control() {
  const char* path = std::getenv("LIAR_CONTROL");
  if (!path) return nullptr;
  const int file = ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) return nullptr;
  void* memory = ::mmap(nullptr, kControlBytes, PROT_READ, MAP_SHARED, file, 0);
  ::close(file);
  return memory == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(memory);
}

// Returns the two numbers of LIAR_CONTROL, or null.
const volatile std::int64_t* control() {
  static const volatile std::int64_t* const mapped = map_control();
  return mapped;
}

Fault current_fault() { return control() ? static_cast<Fault>(control()[0]) : Fault::none; }

// Returns the C library's function that this library replaces.
template <class Function>
Function real_function(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int fail_with(int error) {
  errno = error;
  return -1;
}

// Reports whether the file is under LIAR_FOLDER. If it is, sets `path` to its path.
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

bool is_file_of_bans(int file) {
  char path[PATH_MAX];
  return is_watched(file, path) && std::strstr(path, kBansFile) != nullptr;
}

// Sets `path` to the path of a file in LIAR_SHADOW.
void shadow_path(char* path, const char* name) {
  std::snprintf(path, PATH_MAX, "%s/%s", std::getenv("LIAR_SHADOW"), name);
}

// Copies a file to LIAR_SHADOW. The earlier copy is replaced atomically by a rename.
void copy_file(const char* path, std::uint64_t inode) {
  char name[32];
  char target[PATH_MAX];
  char temporary[PATH_MAX + 8];
  char buffer[65536];
  std::snprintf(name, sizeof name, "%llu", static_cast<unsigned long long>(inode));
  shadow_path(target, name);
  std::snprintf(temporary, sizeof temporary, "%s.new", target);
  const int source = ::open(path, O_RDONLY | O_CLOEXEC);
  const int copy = ::open(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  static const auto real_write = real_function<ssize_t (*)(int, const void*, std::size_t)>("write");
  if (source >= 0 && copy >= 0) {
    for (ssize_t size = 0; (size = ::read(source, buffer, sizeof buffer)) > 0;) {
      if (real_write(copy, buffer, static_cast<std::size_t>(size)) < 0) break;
    }
  }
  if (source >= 0) ::close(source);
  if (copy >= 0) ::close(copy);
  ::rename(temporary, target);
}

// Writes the file `names` to LIAR_SHADOW: a line with inode and name for each file in the folder.
void copy_names(const char* folder) {
  char target[PATH_MAX];
  char temporary[PATH_MAX + 8];
  shadow_path(target, "names");
  std::snprintf(temporary, sizeof temporary, "%s.new", target);
  DIR* directory = ::opendir(folder);
  FILE* out = std::fopen(temporary, "we");
  if (directory && out) {
    for (const dirent* entry = nullptr; (entry = ::readdir(directory));) {
      if (entry->d_type != DT_REG) continue;
      std::fprintf(out, "%llu %s\n", static_cast<unsigned long long>(entry->d_ino), entry->d_name);
    }
  }
  if (directory) ::closedir(directory);
  if (out) std::fclose(out);
  ::rename(temporary, target);
}

// Copies the file or the folder's names to LIAR_SHADOW and then calls the real function, unless a
// fault prevents the sync. A nested call during the copy goes straight to the real function.
int sync_file(int file, const char* function) {
  static thread_local bool is_copying = false;
  char path[PATH_MAX];
  if (!is_copying && is_watched(file, path)) {
    while (current_fault() == Fault::hangs) ::usleep(kHangPollInterval);
    if (current_fault() == Fault::sync_fails) return fail_with(EIO);
    if (current_fault() == Fault::sync_ignored) return 0;
    is_copying = true;
    struct stat status {};
    if (::fstat(file, &status) == 0) {
      if (S_ISDIR(status.st_mode)) {
        copy_names(path);
      } else {
        copy_file(path, status.st_ino);
      }
    }
    is_copying = false;
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
  if (current_fault() == Fault::disk_full && is_watched(file)) return fail_with(ENOSPC);
  return real_pwrite(file, bytes, size, offset);
}

ssize_t write(int file, const void* bytes, std::size_t size) {
  static const auto real_write = real_function<ssize_t (*)(int, const void*, std::size_t)>("write");
  if (current_fault() == Fault::disk_full && is_watched(file)) return fail_with(ENOSPC);
  return real_write(file, bytes, size);
}

ssize_t pread64(int file, void* bytes, std::size_t size, off64_t offset) {
  static const auto real_pread =
      real_function<ssize_t (*)(int, void*, std::size_t, off64_t)>("pread64");
  if (current_fault() == Fault::read_fails && is_watched(file)) return fail_with(EIO);
  return real_pread(file, bytes, size, offset);
}

ssize_t read(int file, void* bytes, std::size_t size) {
  static const auto real_read = real_function<ssize_t (*)(int, void*, std::size_t)>("read");
  while (current_fault() == Fault::bans_hang && is_file_of_bans(file)) ::usleep(kHangPollInterval);
  return real_read(file, bytes, size);
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

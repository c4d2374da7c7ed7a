// A disk that lies, and a wall clock that jumps: preloaded into a process of the program by the
// rig.
//
// Files under LIAR_FOLDER are watched. The real files always get what is written; what would be
// left after a loss of power is kept beside them in LIAR_SHADOW: a copy of each file as of its last
// true sync (by inode), and the names as of the last true sync of the folder. The rig puts that
// back. LIAR_CONTROL is a file of two numbers of 64 bits, looked at on each call: the fault, and
// how far the wall clock is off, in microseconds.
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

enum Fault : std::int64_t {
  honest = 0,
  unsynced = 1,
  sync_fails = 2,
  full = 3,
  hangs = 4,
  read_fails = 5
};

const volatile std::int64_t* control() {
  static const volatile std::int64_t* at = [] {
    const char* path = std::getenv("LIAR_CONTROL");
    const int fd = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    void* p = fd < 0 ? MAP_FAILED : ::mmap(nullptr, 16, PROT_READ, MAP_SHARED, fd, 0);
    if (fd >= 0) ::close(fd);
    return p == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(p);
  }();
  return at;
}
std::int64_t fault() { return control() ? control()[0] : 0; }

template <class F>
F real(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

bool ours(int fd, char* path) {
  const char* folder = std::getenv("LIAR_FOLDER");
  char link[64];
  std::snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
  const ssize_t n = folder ? ::readlink(link, path, PATH_MAX - 1) : -1;
  if (n < 0) return false;
  path[n] = 0;
  return std::strncmp(path, folder, std::strlen(folder)) == 0;
}

void shadow(char* to, const char* name) {
  std::snprintf(to, PATH_MAX, "%s/%s", std::getenv("LIAR_SHADOW"), name);
}
void copy_file(const char* path, std::uint64_t inode) {
  char name[32], to[PATH_MAX], fresh[PATH_MAX + 8], buffer[65536];
  std::snprintf(name, sizeof name, "%llu", static_cast<unsigned long long>(inode));
  shadow(to, name);
  std::snprintf(fresh, sizeof fresh, "%s.new", to);
  const int in = ::open(path, O_RDONLY | O_CLOEXEC),
            out = ::open(fresh, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  static const auto put = real<ssize_t (*)(int, const void*, std::size_t)>("write");
  for (ssize_t n; in >= 0 && out >= 0 && (n = ::read(in, buffer, sizeof buffer)) > 0;)
    (void)!put(out, buffer, static_cast<std::size_t>(n));
  if (in >= 0) ::close(in);
  if (out >= 0) ::close(out);
  ::rename(fresh, to);
}
void copy_names(const char* folder) {
  char to[PATH_MAX], fresh[PATH_MAX + 8];
  shadow(to, "names");
  std::snprintf(fresh, sizeof fresh, "%s.new", to);
  DIR* d = ::opendir(folder);
  FILE* out = std::fopen(fresh, "w");
  for (const dirent* e; d && out && (e = ::readdir(d));)
    if (e->d_type == DT_REG)
      std::fprintf(out, "%llu %s\n", static_cast<unsigned long long>(e->d_ino), e->d_name);
  if (d) ::closedir(d);
  if (out) std::fclose(out);
  ::rename(fresh, to);
}

int synced(int fd, const char* name) {
  static thread_local bool inside = false;
  char path[PATH_MAX];
  if (!inside && ours(fd, path)) {
    while (fault() == hangs) ::usleep(10'000);
    if (fault() == sync_fails) return errno = EIO, -1;
    if (fault() == unsynced) return 0;
    inside = true;
    struct stat s {};
    if (::fstat(fd, &s) == 0) S_ISDIR(s.st_mode) ? copy_names(path) : copy_file(path, s.st_ino);
    inside = false;
  }
  return real<int (*)(int)>(name)(fd);
}

}  // namespace

extern "C" {

int fsync(int fd) { return synced(fd, "fsync"); }
int fdatasync(int fd) { return synced(fd, "fdatasync"); }

ssize_t pwrite64(int fd, const void* b, std::size_t n, off64_t at) {
  static const auto f = real<ssize_t (*)(int, const void*, std::size_t, off64_t)>("pwrite64");
  char path[PATH_MAX];
  if (fault() == full && ours(fd, path)) return errno = ENOSPC, -1;
  return f(fd, b, n, at);
}
ssize_t write(int fd, const void* b, std::size_t n) {
  static const auto f = real<ssize_t (*)(int, const void*, std::size_t)>("write");
  char path[PATH_MAX];
  if (fault() == full && ours(fd, path)) return errno = ENOSPC, -1;
  return f(fd, b, n);
}
ssize_t pread64(int fd, void* b, std::size_t n, off64_t at) {
  static const auto f = real<ssize_t (*)(int, void*, std::size_t, off64_t)>("pread64");
  char path[PATH_MAX];
  if (fault() == read_fails && ours(fd, path)) return errno = EIO, -1;
  return f(fd, b, n, at);
}

int clock_gettime(clockid_t id, timespec* t) {
  static const auto f = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int r = f(id, t);
  if (id == CLOCK_REALTIME && r == 0 && control()) t->tv_sec += control()[1] / 1'000'000;
  return r;
}

}  // extern "C"

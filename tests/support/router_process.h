// The program edge_router as a process of its own, and its configuration.
#pragma once

#include <poll.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "net/address.h"
#include "support/build_paths.h"
#include "support/fake_cache.h"
#include "support/rpc_messages.h"
#include "support/test_socket.h"

namespace loopback {

/// A running edge_router with a folder for its configuration; killed when it is destroyed.
class RouterProcess {
 public:
  /// `shared`: the directory of a router whose processes replace each other; `operators`: the
  /// address of operators' calls. `pipe`: the configuration comes through a pipe, and the start
  /// waits for configure_with().
  explicit RouterProcess(const std::string& config, const std::string& shared = {},
                         const std::string& operators = {}, bool pipe = false) {
    char name[] = "/tmp/alderspur-test-XXXXXX";
    folder_ = ::mkdtemp(name);
    if (pipe) {
      EXPECT_EQ(::mkfifo((folder_ + "/config.json").c_str(), 0600), 0);
    } else {
      configure(config);
    }
    int ends[2];
    EXPECT_EQ(::pipe(ends), 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], 2);
      ::setenv("RELAY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::unsetenv("RELAY_LISTEN");
      ::unsetenv("RELAY_OPERATOR");
      if (!shared.empty()) ::setenv("TMPDIR", shared.c_str(), 1);
      if (!operators.empty()) ::setenv("RELAY_OPERATOR", operators.c_str(), 1);
      ::execl(test_paths::kEdgeRouter, test_paths::kEdgeRouter, nullptr);
      ::_exit(99);
    }
    ::close(ends[1]);
    log_ = ends[0];
  }
  ~RouterProcess() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(log_);
    std::filesystem::remove_all(folder_);
  }
  void configure(const std::string& config) { std::ofstream(folder_ + "/config.json") << config; }
  /// Through the pipe: `then` runs once the program has begun to read, before it has read anything.
  void configure_with(const std::function<void()>& then, const std::string& config) {
    const int fd = ::open((folder_ + "/config.json").c_str(), O_WRONLY);
    then();
    EXPECT_EQ(::write(fd, config.data(), config.size()), static_cast<ssize_t>(config.size()));
    ::close(fd);
  }
  /// The next line of the log; waits for it.
  std::string read_log_line() {
    std::string text;
    for (char c; ::read(log_, &c, 1) == 1 && c != '\n';) text += c;
    return text;
  }
  /// What it has logged since the last call, without waiting.
  std::string read_available_log() {
    std::string text;
    pollfd readable{log_, POLLIN, 0};
    char buffer[4096];
    while (::poll(&readable, 1, 0) > 0) {
      const ssize_t count = ::read(log_, buffer, sizeof buffer);
      if (count <= 0) break;
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
  }
  /// Where it listens; waits for it.
  sockaddr_in wait_for_address() {
    const auto said = read_log_line();
    const auto at = net::parse_address(said.substr(said.rfind(' ') + 1));
    EXPECT_TRUE(at) << said;
    return at.value_or(sockaddr_in{});
  }
  bool has_exited() {
    if (pid_ <= 0) return true;
    siginfo_t info{};
    return ::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid_;
  }
  std::size_t open_descriptors() const {
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd")) {
      ++count;
    }
    return count;
  }
  std::size_t resident_bytes() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t size = 0;
    std::size_t pages = 0;
    in >> size >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
  void send_signal(int number) { ::kill(pid_, number); }
  /// Returns once it has stopped. What arrives from now on is ready at once when it continues.
  void suspend() {
    send_signal(SIGSTOP);
    siginfo_t info{};
    EXPECT_EQ(::waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED), 0);
  }
  /// Waits for its end; the negative number of a signal that ended it.
  int wait_for_exit() {
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

 private:
  std::string folder_;
  pid_t pid_ = 0;
  int log_ = -1;
};

/// One cache and one class; `request_timeout` in microseconds.
inline std::string config_with(const FakeCache& cache, const std::string& discovery_address = {},
                               std::int64_t request_timeout = 0, int max_descriptors = 1024) {
  return R"({"listen":"127.0.0.1:0","board":")" + discovery_address + R"(","limits":{"sockets":)" +
         std::to_string(max_descriptors) +
         R"(},"known":{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,"members":[
    {"id":"s","host_port":")" +
         cache.address() +
         R"(","locality":"edge","flavor":"small","phase":"in_service","size":4}]}}]},
    "settings":{"azs":["edge"],"zone":0,"shapes":["small"],"ceilings":{"max-attempts":2,"may-cancel":true},
    "classes":[{"name":"asset","target":5000000,"give-up":)" +
         std::to_string(request_timeout) + R"(,"points":1,"repeat":"safe"}]}})";
}

/// Polls the cache and the sockets until it holds; false after 20,000 rounds of a millisecond.
inline bool poll_until(const std::function<bool()>& holds, FakeCache& cache,
                       const std::vector<TestSocket*>& sockets) {
  for (int i = 0; i < 20'000 && !holds(); ++i) {
    cache.poll();
    for (auto* socket : sockets) socket->poll();
    ::usleep(1000);
  }
  return holds();
}

}  // namespace loopback

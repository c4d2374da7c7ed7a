// Runs the program edge_router, or `alderspur run`, as a separate process for tests, and builds its
// configuration.
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

/// A running router with a temporary folder for its configuration. The destructor kills the
/// process.
class RouterProcess {
 public:
  /// `shared_directory` is the directory that the processes of a hot restart share, and
  /// `operators_address` the address for operators' calls; an empty value leaves out either. With
  /// `is_config_piped`, the process reads its configuration from a pipe, and its start waits for
  /// configure_with(). If `settings` is not empty, the program is `alderspur run` with this
  /// settings file, in which the configuration has the path "config.json"; otherwise it is
  /// edge_router.
  explicit RouterProcess(const std::string& config, const std::string& shared_directory = {},
                         const std::string& operators_address = {}, bool is_config_piped = false,
                         const std::string& settings = {}) {
    char name[] = "/tmp/alderspur-test-XXXXXX";
    folder_ = ::mkdtemp(name);
    if (is_config_piped) {
      EXPECT_EQ(::mkfifo((folder_ + "/config.json").c_str(), 0600), 0);
    } else {
      configure(config);
    }
    const std::string settings_path = folder_ + "/settings.toml";
    if (!settings.empty()) std::ofstream(settings_path) << settings;
    int log_pipe[2];
    EXPECT_EQ(::pipe(log_pipe), 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(log_pipe[1], 2);
      ::setenv("RELAY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::unsetenv("RELAY_LISTEN");
      ::unsetenv("RELAY_OPERATOR");
      if (!shared_directory.empty()) ::setenv("TMPDIR", shared_directory.c_str(), 1);
      if (!operators_address.empty()) {
        ::setenv("RELAY_OPERATOR", operators_address.c_str(), 1);
      }
      if (settings.empty()) {
        ::execl(test_paths::kEdgeRouter, test_paths::kEdgeRouter, nullptr);
      } else {
        ::execl(test_paths::kProgram, test_paths::kProgram, "run", "--settings",
                settings_path.c_str(), nullptr);
      }
      ::_exit(99);
    }
    ::close(log_pipe[1]);
    log_ = log_pipe[0];
  }
  ~RouterProcess() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(log_);
    std::filesystem::remove_all(folder_);
  }
  /// Replaces the content of the configuration file.
  void configure(const std::string& config) { std::ofstream(folder_ + "/config.json") << config; }
  /// Replaces the configuration file by a new one. A process that has opened the old one, or the
  /// pipe, continues to read from that.
  void replace_configuration(const std::string& config) {
    const std::string new_path = folder_ + "/config.json.new";
    std::ofstream(new_path) << config;
    std::filesystem::rename(new_path, folder_ + "/config.json");
  }
  /// Sends the configuration through the pipe. Calls `before_write` once the program has opened the
  /// pipe, before it can read anything.
  void configure_with(const std::function<void()>& before_write, const std::string& config) {
    const int fd = ::open((folder_ + "/config.json").c_str(), O_WRONLY);
    before_write();
    EXPECT_EQ(::write(fd, config.data(), config.size()), static_cast<ssize_t>(config.size()));
    ::close(fd);
  }
  /// Waits for the next line of the log and returns it without its line break. Returns an empty
  /// text once the process has closed its log.
  std::string read_log_line() {
    std::string text;
    for (char next; ::read(log_, &next, 1) == 1 && next != '\n';) text += next;
    return text;
  }
  /// Returns the unread part of the log without waiting.
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
  /// Waits for the first line of the log and returns the listen address, which is its last word.
  sockaddr_in wait_for_address() {
    const auto line = read_log_line();
    const auto address = net::parse_address(line.substr(line.rfind(' ') + 1));
    EXPECT_TRUE(address) << line;
    return address.value_or(sockaddr_in{});
  }
  /// Reads the log up to the line that contains `announcement`, and returns the address that
  /// follows it.
  sockaddr_in wait_for_address_after(const std::string& announcement) {
    std::string line = read_log_line();
    while (!line.empty() && line.find(announcement) == std::string::npos) line = read_log_line();
    const auto begin = line.find(announcement) + announcement.size();
    EXPECT_FALSE(line.empty()) << "the log ended before '" << announcement << "'";
    const auto text = line.empty() ? line : line.substr(begin, line.find('"', begin) - begin);
    const auto address = net::parse_address(text);
    EXPECT_TRUE(address) << line;
    return address.value_or(sockaddr_in{});
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
    std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t size = 0;
    std::size_t pages = 0;
    statm >> size >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
  pid_t id() const { return pid_; }
  void send_signal(int number) { ::kill(pid_, number); }
  /// Suspends the process and returns once it has stopped. All input that arrives in the meantime
  /// is ready when the process continues.
  void suspend() {
    send_signal(SIGSTOP);
    siginfo_t info{};
    EXPECT_EQ(::waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED), 0);
  }
  /// Waits until the process has exited. Returns the exit code, or the negative number of the
  /// signal that killed the process.
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

/// Returns a configuration with one cache and one class. `request_timeout` is in microseconds, and
/// 0 means none.
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

/// Polls the cache and the sockets until the condition is true. Returns false if it is not true
/// after 20,000 rounds of one millisecond each.
inline bool poll_until(const std::function<bool()>& condition, FakeCache& cache,
                       const std::vector<TestSocket*>& sockets) {
  for (int round = 0; round < 20'000 && !condition(); ++round) {
    cache.poll();
    for (auto* socket : sockets) socket->poll();
    ::usleep(1000);
  }
  return condition();
}

}  // namespace loopback

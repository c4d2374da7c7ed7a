// The program itself as a process, for stories over loopback.
#pragma once

#include <sys/stat.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "loopback.h"
#include "support/build_paths.h"

namespace loopback {

class Program {
 public:
  // `shared`: the folder of a router whose processes replace each other; `operators`: where they
  // call. `pipe`: the configuration comes through a pipe, and the start waits until configure() is
  // called.
  explicit Program(const std::string& config, const std::string& shared = {},
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
  ~Program() {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    ::close(log_);
    std::filesystem::remove_all(folder_);
  }
  void configure(const std::string& config) { std::ofstream(folder_ + "/config.json") << config; }
  // Through the pipe: `then` runs once the program has begun to read, before it has read anything.
  void configure_with(const std::function<void()>& then, const std::string& config) {
    const int fd = ::open((folder_ + "/config.json").c_str(), O_WRONLY);
    then();
    EXPECT_EQ(::write(fd, config.data(), config.size()), static_cast<ssize_t>(config.size()));
    ::close(fd);
  }
  std::string line() {
    std::string out;
    for (char c; ::read(log_, &c, 1) == 1 && c != '\n';) out += c;
    return out;
  }
  sockaddr_in address() {  // waits until it listens
    const auto said = line();
    const auto at = net::parse_address(said.substr(said.rfind(' ') + 1));
    EXPECT_TRUE(at) << said;
    return at.value_or(sockaddr_in{});
  }
  bool ended() {  // without waiting
    if (pid_ <= 0) return true;
    siginfo_t is{};
    return ::waitid(P_PID, static_cast<id_t>(pid_), &is, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           is.si_pid == pid_;
  }
  std::size_t descriptors() const {
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& e :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd")) {
      ++n;
    }
    return n;
  }
  std::size_t resident() const {  // bytes
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t size = 0;
    std::size_t pages = 0;
    in >> size >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
  void signal(int number) { ::kill(pid_, number); }
  void
  stop() {  // and it has stopped: what arrives from now on is ready all at once when it goes on
    signal(SIGSTOP);
    siginfo_t is{};
    EXPECT_EQ(::waitid(P_PID, static_cast<id_t>(pid_), &is, WSTOPPED), 0);
  }
  int exit_code() {
    int status = 0;
    ::waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

 private:
  std::string folder_;
  pid_t pid_ = 0;
  int log_ = -1;
};

// One cache and one class. `give_up` in microseconds.
inline std::string config_with(const Box& box, const std::string& board = {},
                               std::int64_t give_up = 0, int sockets = 1024) {
  return R"({"listen":"127.0.0.1:0","board":")" + board + R"(","limits":{"sockets":)" +
         std::to_string(sockets) +
         R"(},"known":{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,"members":[
    {"id":"s","host_port":")" +
         box.address() +
         R"(","locality":"edge","flavor":"small","phase":"in_service","size":4}]}}]},
    "settings":{"azs":["edge"],"zone":0,"shapes":["small"],"ceilings":{"max-attempts":2,"may-cancel":true},
    "classes":[{"name":"asset","target":5000000,"give-up":)" +
         std::to_string(give_up) + R"(,"points":1,"repeat":"safe"}]}})";
}

inline bool until(const std::function<bool()>& holds, Box& box,
                  const std::vector<loopback::Socket*>& watched) {
  for (int i = 0; i < 20'000 && !holds(); ++i) {
    box.poll();
    for (auto* s : watched) s->poll();
    ::usleep(1000);
  }
  return holds();
}

}  // namespace loopback

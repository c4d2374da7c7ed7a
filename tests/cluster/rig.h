// Runs several processes of `alderspur run` on the loopback interface. A gate of the test is on
// each link between two processes and can inject faults (see faulty_links.h). Each process has a
// loopback address of its own.
//
// The gates run on the test's thread, in run(), until() and the calls to a process's admin port.
// Tests wait for a condition with a timeout, not for a fixed time.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/faulty_links.h"
#include "net/connection.h"
#include "support/build_paths.h"

namespace rig {

constexpr const char* kSecret = "a secret of the tests, of more than 32 characters";
constexpr std::size_t kOwnAddress = ~std::size_t{0};  // value of Setup::at
constexpr int kAdminPort = 7001;
constexpr int kClusterPort = 7002;
constexpr int kClientPort = 7003;
constexpr std::size_t kFirstGate = 100;       // last byte of the address of the first gate
constexpr std::size_t kMaxPrintedLog = 3000;  // bytes of each process's log

/// The configuration of one process. Changes take effect at the next start of the process.
struct Setup {
  std::string secret = kSecret;
  std::string member;  // name of the process; if empty, the default name
  std::string cluster = "tests";
  std::string period = "150 ms";               // probe interval
  std::vector<std::size_t> seeds = {0, 1, 2};  // indexes of processes
  std::size_t at = kOwnAddress;     // index of the process whose gate and address this one uses
  std::vector<std::size_t> voters;  // indexes of the voters; if empty, there is no consensus
  // Configures an endpoint list, as if there were voters, but without consensus.
  bool without_consensus = false;
  std::string servers;      // the endpoint list at the start
  std::size_t routers = 0;  // the configured number of routers
  std::string board;        // address of service discovery; used only with an endpoint list
  std::string obligations;  // members of the JSON object "settings", for servers that warm up
  std::string domain;       // members of the JSON object "domain", for servers that warm up
};

/// Callbacks of a Rig, which run on the test's thread.
struct RigHooks {
  std::function<void()> on_step;  // called in each iteration of a wait
};

/// The processes of one test, their files and the links between them. The destructor kills the
/// processes, removes the files and, if the test has failed, prints the logs.
class Rig : public RigHooks {
 public:
  /// The cluster as one process reports it on its admin port.
  struct View {
    bool answered = false;
    std::string whole;                          // the health of the cluster
    std::map<std::string, std::string> states;  // of the other members, by name
    std::map<std::string, std::string> addresses;
    std::map<std::string, std::uint64_t> epochs;
    std::map<std::string, std::uint64_t> counts;  // by name of the counter
    std::size_t alive() const {
      return static_cast<std::size_t>(
          std::count_if(states.begin(), states.end(),
                        [](const auto& member) { return member.second == "alive"; }));
    }
  };

  explicit Rig(std::size_t size, std::uint64_t seed = 1)
      : folder_(make_folder()),
        network_(make_network()),
        processes_(size),
        links_(
            size, seed, [this](std::size_t i) { return gate_address(i); },
            [this](std::size_t i) { return cluster_address(i); },
            [](const sockaddr_in& address) {
              return (ntohl(address.sin_addr.s_addr) & 0xff) - std::size_t{1};
            }) {
    for (std::size_t i = 0; i < size; ++i) {
      std::filesystem::create_directories(file(i, ""));
      set_faults(i, 0);
      configure(i);
    }
  }
  ~Rig() {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (processes_[i].pid > 0) kill(i);
    }
    if (::testing::Test::HasFailure()) print_logs();
    std::filesystem::remove_all(folder_);
  }
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  // ---- Processes

  /// Writes the configuration files of a process.
  void configure(std::size_t i, const Setup& setup = {}) {
    std::filesystem::create_directories(file(i, ""));
    std::ofstream(file(i, "secret")) << setup.secret << "\n";
    const bool has_endpoint_list = !setup.voters.empty() || setup.without_consensus;
    if (has_endpoint_list) {
      write_config_with_list(i, setup);
    } else {
      write_plain_config(i);
    }
    write_settings(i, setup);
  }
  void start(std::size_t i) {
    Process& process = processes_[i];
    process.pid = ::fork();
    if (process.pid != 0) return;
    const int log = ::open(file(i, "log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
    ::dup2(log, STDERR_FILENO);
    ::unsetenv("TMPDIR");
#ifdef ALDERSPUR_WITH_FAULTY_DISK
    ::setenv("LD_PRELOAD", test_paths::kFaultyDisk, 1);
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    ::setenv("LIAR_FOLDER", file(i, "state").c_str(), 1);
    ::setenv("LIAR_SHADOW", file(i, "shadow").c_str(), 1);
    ::setenv("LIAR_CONTROL", file(i, "control").c_str(), 1);
#endif
    ::execl(test_paths::kProgram, test_paths::kProgram, "run", "--settings",
            file(i, "settings.toml").c_str(), nullptr);
    ::_exit(99);
  }
  void start_all() {
    for (std::size_t i = 0; i < processes_.size(); ++i) start(i);
  }
  void kill(std::size_t i) {
    ::kill(processes_[i].pid, SIGKILL);
    ::waitpid(std::exchange(processes_[i].pid, 0), nullptr, 0);
  }
  void signal(std::size_t i, int number) { ::kill(processes_[i].pid, number); }
  bool runs(std::size_t i) {
    Process& process = processes_[i];
    if (process.pid <= 0) return false;
    int status = 0;
    if (::waitpid(process.pid, &status, WNOHANG) != process.pid) return true;
    process.pid = 0;
    process.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
  }
  pid_t pid(std::size_t i) const { return processes_[i].pid; }
  /// Returns the exit code of a process that has ended, or the negative number of the signal that
  /// ended it.
  int exit_code(std::size_t i) const { return processes_[i].exit_code; }
  std::string log(std::size_t i) const {
    std::ifstream log_file(file(i, "log"));
    return {std::istreambuf_iterator<char>(log_file), {}};
  }
  std::vector<std::size_t> all() const {
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < processes_.size(); ++i) indexes.push_back(i);
    return indexes;
  }

  // ---- Disks

  /// Sets the fault of the disk that holds a process's state (see faulty_disk.cpp), and the error
  /// of its wall clock in microseconds. Takes effect at once in a running process.
  void set_faults(std::size_t i, std::int64_t disk_fault, std::int64_t clock_error = 0) {
    std::filesystem::create_directories(file(i, "shadow"));
    const std::array<std::int64_t, 2> words = {disk_fault, clock_error};
    // The file is overwritten in place, because the process has mapped it.
    const net::Fd control(::open(file(i, "control").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    (void)!::pwrite(control.get(), words.data(), sizeof words, 0);
  }
  /// Simulates a power loss: kills the process and keeps only the part of its state that was
  /// synced.
  void lose_power(std::size_t i) {
    kill(i);
    const std::string state_folder = state(i);
    const std::string shadow = file(i, "shadow");
    for (const auto& entry : std::filesystem::directory_iterator(state_folder)) {
      std::filesystem::remove(entry.path());
    }
    std::ifstream names(shadow + "/names");
    std::string inode;
    std::string name;
    while (names >> inode >> name) {
      const auto synced = std::filesystem::path(shadow) / inode;
      if (std::filesystem::exists(synced)) {
        std::filesystem::copy_file(synced, std::filesystem::path(state_folder) / name);
      }
    }
  }
  /// Returns the path of a process's state folder.
  std::string state(std::size_t i) const { return file(i, "state"); }
  /// Replaces a process's endpoint list.
  void write_list(std::size_t i, const std::string& servers) {
    std::ofstream(file(i, "next.toml")) << servers;
    std::filesystem::rename(file(i, "next.toml"), file(i, "servers.toml"));
  }

  // ---- Calls

  /// Sends an admin request and returns the body of the response; empty if there is no response.
  std::string get(std::size_t i, const std::string& target) {
    return call(i, "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n").value_or("");
  }
  std::string put(std::size_t i, const std::string& target, const std::string& body) {
    return call(i, "PUT " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)
        .value_or("");
  }
  /// Returns the address at which a process accepts clients.
  sockaddr_in client_address(std::size_t i) const { return address(i + 1, kClientPort); }
  View view(std::size_t i) {
    View view;
    const auto body = call(i, "GET /control/cluster HTTP/1.1\r\nHost: x\r\n\r\n");
    rapidjson::Document json;
    if (body) json.Parse(body->c_str());
    if (!body || json.HasParseError() || !json.IsObject()) return view;
    view.answered = true;
    view.whole = json["whole"].GetString();
    for (const auto& member : json["members"].GetArray()) {
      const std::string name = member["name"].GetString();
      view.states[name] = member["state"].GetString();
      view.addresses[name] = member["address"].GetString();
      view.epochs[name] = member["epoch"].GetUint64();
    }
    const auto& counts = json["counts"];
    for (rapidjson::SizeType counter = 0; counter < counts.MemberCount(); ++counter) {
      const auto& entry = counts.MemberBegin()[static_cast<std::ptrdiff_t>(counter)];
      view.counts[entry.name.GetString()] = entry.value.GetUint64();
    }
    return view;
  }
  /// Reports whether each of these processes has exactly the others as alive members and reports
  /// that the cluster is whole.
  bool whole(const std::vector<std::size_t>& indexes) {
    return std::all_of(indexes.begin(), indexes.end(), [&](std::size_t i) {
      const auto seen = view(i);
      return seen.whole == "whole" && seen.alive() + 1 == indexes.size();
    });
  }

  // ---- Time

  /// Runs until the condition is true; returns false if it is not true within `timeout`.
  bool until(const std::function<bool()>& condition, Time timeout = 25 * kSecond) {
    for (const Time end = net::unix_now() + timeout; net::unix_now() < end; run(100'000)) {
      if (condition()) return true;
    }
    return condition();
  }
  void run(Time duration) {
    for (const Time end = net::unix_now() + duration; net::unix_now() < end; ::usleep(500)) step();
  }

  // ---- Links

  /// Returns the faults in the direction from one process to another, which the caller may change.
  Fault& way(std::size_t from, std::size_t to) { return links_.way(from, to); }
  /// Cuts both directions of all links between two groups of processes, or restores them.
  void cut(const std::vector<std::size_t>& one, const std::vector<std::size_t>& other,
           bool is_cut = true) {
    for (const auto i : one) {
      for (const auto j : other) {
        way(i, j).cut = is_cut;
        way(j, i).cut = is_cut;
      }
    }
  }
  /// Changes the faults in all directions between any two processes.
  void each_way(const std::function<void(Fault&)>& change) {
    for (const auto i : all()) {
      for (const auto j : all()) {
        if (i != j) change(way(i, j));
      }
    }
  }
  /// Returns the address of a process's gate as text.
  std::string gate(std::size_t i) const { return net::to_string(gate_address(i)); }
  FaultyLinks& links() { return links_; }

 private:
  struct Process {
    pid_t pid = 0;  // 0 if the process does not run
    int exit_code = -1;
  };

  static std::string make_folder() {
    std::string name = "/tmp/alderspur-rig-XXXXXX";
    return ::mkdtemp(name.data());
  }
  // Returns the first three bytes of the loopback addresses. They are derived from the process id,
  // so that test processes that run at the same time use different addresses.
  static std::string make_network() {
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + pid % 60) + "." + std::to_string(1 + pid / 60 % 250) + ".";
  }
  std::string file(std::size_t i, const std::string& name) const {
    return folder_ + "/n" + std::to_string(i) + "/" + name;
  }
  sockaddr_in address(std::size_t host, int port) const {
    return net::parse_address(network_ + std::to_string(host) + ":" + std::to_string(port)).value();
  }
  sockaddr_in gate_address(std::size_t i) const { return address(kFirstGate + i, kClusterPort); }
  sockaddr_in cluster_address(std::size_t i) const { return address(i + 1, kClusterPort); }

  void write_plain_config(std::size_t i) const {
    std::ofstream(file(i, "config.json")) << R"({"name":"n)" << i << R"(","listen":")" << network_
                                          << i + 1 << R"(:0","settings":{"azs":["edge"],"zone":0,
            "classes":[{"name":"asset","target":5000000,"give-up":3000000,"points":1,"repeat":"safe"}]}})";
  }
  // Configures a router with an endpoint list, which an agreed version replaces.
  void write_config_with_list(std::size_t i, const Setup& setup) const {
    std::ofstream(file(i, "servers.toml")) << setup.servers;
    std::ofstream(file(i, "config.json"))
        << R"({"name":"n)" << i << R"(","listen":")" << net::to_string(client_address(i))
        << R"(","board":")" << setup.board
        << R"(","settings":{"azs":["hub","edge"],"zone":1,"shapes":["small","upper","origin"],)"
        << setup.obligations << R"(
          "replicas-of-me":)"
        << setup.routers << R"(,"ceilings":{"max-attempts":3,"may-cancel":true,"retry-after":true,
          "max-retry-after":500000},"classes":[{"name":"asset","target":5000000,"give-up":3000000,"points":1,
          "repeat":"safe"}],"domain":{)"
        << setup.domain
        << R"("stream-kb-per-s":9000,"lifetime-by-class":[60000000],"instances-by-zone":[0,)"
        << setup.routers << R"(]}}})";
  }
  void write_settings(std::size_t i, const Setup& setup) const {
    const std::size_t at = setup.at == kOwnAddress ? i : setup.at;
    std::ofstream toml(file(i, "settings.toml"));
    toml << "[router]\nconfig = \"config.json\"\noperator = \""
         << net::to_string(address(i + 1, kAdminPort)) << "\"\n"
         << "[cluster]\nname = \"" << setup.cluster
         << "\"\nsecret = \"secret\"\nstate = \"state\"\nperiod = \"" << setup.period << "\"\n"
         << "listen = \"" << net::to_string(cluster_address(at)) << "\"\nadvertise = \"" << gate(at)
         << "\"\n";
    if (!setup.member.empty()) toml << "member = \"" << setup.member << "\"\n";
    toml << "seeds = [";
    for (const auto seed : setup.seeds) toml << '"' << gate(seed) << "\", ";
    toml << "]\n";
    if (setup.voters.empty() && !setup.without_consensus) return;
    if (!setup.without_consensus) {
      toml << "[cluster.agreement]\nvoters = [";
      for (const auto voter : setup.voters) toml << "\"n" << voter << "\", ";
      toml << "]\n";
    }
    toml << "[membership]\nauthority = \"files\"\nlist = \"servers.toml\"\n";
  }
  void print_logs() const {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      const std::string text = log(i);
      const std::size_t skipped = text.size() > kMaxPrintedLog ? text.size() - kMaxPrintedLog : 0;
      std::fprintf(stderr, "--- n%zu\n%s", i, text.substr(skipped).c_str());
    }
  }

  void step() {
    if (on_step) on_step();
    links_.step();
  }
  // Returns the body of the response; nothing if none arrives within a second.
  std::optional<std::string> call(std::size_t i, const std::string& request) {
    const sockaddr_in admin = address(i + 1, kAdminPort);
    const net::Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    std::string answer;
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&admin), sizeof admin) == 0) {
      (void)!::send(socket.get(), request.data(), request.size(), MSG_NOSIGNAL);
      ::fcntl(socket.get(), F_SETFL, O_NONBLOCK);
      answer = read_answer(socket.get());
    }
    const auto head_end = answer.find("\r\n\r\n");
    if (head_end == std::string::npos) return std::nullopt;
    return answer.substr(head_end + 4);
  }
  std::string read_answer(int socket) {
    std::string answer;
    std::array<char, kConnectionBuffer> buffer{};
    for (const Time end = net::unix_now() + kSecond; net::unix_now() < end; step()) {
      const ssize_t received = ::recv(socket, buffer.data(), buffer.size(), 0);
      if (received > 0) {
        answer.append(buffer.data(), static_cast<std::size_t>(received));
      } else if (received == 0 || errno != EAGAIN) {
        break;
      } else {
        ::usleep(300);
      }
    }
    return answer;
  }

  const std::string folder_;
  const std::string network_;
  std::vector<Process> processes_;
  FaultyLinks links_;
};

}  // namespace rig

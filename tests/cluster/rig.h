// Several processes of `alderspur run` on loopback, with a gate of the test on every link between
// two of them.
//
// Each process has a loopback address of its own and tells the others its gate's; the gate knows
// the sender by its address and passes datagrams and connections on as the fault of that ordered
// pair says. Everything runs in the test's thread, in step(); waits are for a state within a bound.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/connection.h"

namespace rig {

using namespace alderspur;
using core::Time;
constexpr Time kSecond = 1'000'000;
constexpr const char* kSecret = "a secret of the tests, of more than 32 characters";

struct Fault {  // of the way from one process to another
  bool cut = false, stall = false;
  unsigned loss = 0, corrupt = 0, twice = 0;  // of a hundred
  Time delay = 0, jitter = 0;
  std::size_t rate = 0;  // bytes a second of its connections; 0: as fast as they go
};

// What a process is started with; changed before start().
struct Setup {
  std::string secret = kSecret, member, cluster = "tests", period = "150 ms";
  std::vector<std::size_t> seeds = {0, 1, 2};
  std::size_t at = ~std::size_t{0};  // gate and address of another
  std::vector<std::size_t> voters;   // of versions; none: no agreement
  bool alone = false;                // with a list as where there are voters, but without them
  std::string servers;               // the list it starts with, where there are voters
  std::size_t routers = 0;           // told to each
  std::string board;                // its address, where there are voters or a list; none: no board
  std::string obligations, domain;  // JSON members of the platform's settings, for cold servers
};

class Rig {
 public:
  explicit Rig(std::size_t n, std::uint64_t seed = 1) : random(seed), processes_(n), gates_(n) {
    char name[] = "/tmp/alderspur-rig-XXXXXX";
    folder_ = ::mkdtemp(name);
    const auto pid = static_cast<unsigned>(::getpid());
    net_ = "127." + std::to_string(64 + pid % 60) + "." + std::to_string(1 + pid / 60 % 250) + ".";
    for (std::size_t i = 0; i < n; ++i) {
      std::filesystem::create_directories(file(i, ""));
      lie(i, 0);
      processes_[i].index = i;
      gates_[i] = std::make_unique<Gate>(address(100 + i, 7002));
      configure(i);
    }
  }
  ~Rig() {
    for (auto& p : processes_)
      if (p.pid > 0) ::kill(p.pid, SIGKILL), ::waitpid(p.pid, nullptr, 0);
    if (::testing::Test::HasFailure()) {
      for (std::size_t i = 0; i < processes_.size(); ++i) {
        std::ifstream log(file(i, "log"));
        std::string line, all;
        while (std::getline(log, line)) all += line + "\n";
        fprintf(stderr, "--- n%zu\n%s", i,
                all.substr(all.size() > 3000 ? all.size() - 3000 : 0).c_str());
      }
    }
    std::filesystem::remove_all(folder_);
  }

  void configure(std::size_t i, const Setup& s = {}) {
    std::filesystem::create_directories(file(i, ""));
    const std::size_t at = s.at == ~std::size_t{0} ? i : s.at;
    std::ofstream(file(i, "secret")) << s.secret << "\n";
    if (!s.voters.empty() || s.alone)
      list(i, s);
    else
      std::ofstream(file(i, "config.json")) << R"({"name":"n)" << i << R"(","listen":")" << net_
                                            << i + 1 << R"(:0","settings":{"azs":["edge"],"zone":0,
            "classes":[{"name":"asset","target":5000000,"give-up":3000000,"points":1,"repeat":"safe"}]}})";
    std::ofstream toml(file(i, "settings.toml"));
    toml << "[router]\nconfig = \"config.json\"\noperator = \"" << text(address(i + 1, 7001))
         << "\"\n"
         << "[cluster]\nname = \"" << s.cluster
         << "\"\nsecret = \"secret\"\nstate = \"state\"\nperiod = \"" << s.period << "\"\n"
         << "listen = \"" << text(address(at + 1, 7002)) << "\"\nadvertise = \""
         << text(address(100 + at, 7002)) << "\"\n";
    if (!s.member.empty()) toml << "member = \"" << s.member << "\"\n";
    toml << "seeds = [";
    for (const auto seed : s.seeds) toml << '"' << text(address(100 + seed, 7002)) << "\", ";
    toml << "]\n";
    if (s.voters.empty() && !s.alone) return;
    if (!s.alone) {
      toml << "[cluster.agreement]\nvoters = [";
      for (const auto v : s.voters) toml << "\"n" << v << "\", ";
      toml << "]\n";
    }
    toml << "[membership]\nauthority = \"files\"\nlist = \"servers.toml\"\n";
  }
  // A router of a point with a list of servers, which an agreed version replaces.
  void list(std::size_t i, const Setup& s) {
    std::ofstream(file(i, "servers.toml")) << s.servers;
    std::ofstream(file(i, "config.json"))
        << R"({"name":"n)" << i << R"(","listen":")" << text(address(i + 1, 7003))
        << R"(","board":")" << s.board
        << R"(","settings":{"azs":["hub","edge"],"zone":1,"shapes":["small","upper","origin"],)"
        << s.obligations << R"(
          "replicas-of-me":)"
        << s.routers << R"(,"ceilings":{"max-attempts":3,"may-cancel":true,"retry-after":true,
          "max-retry-after":500000},"classes":[{"name":"asset","target":5000000,"give-up":3000000,"points":1,
          "repeat":"safe"}],"domain":{)"
        << s.domain
        << R"("stream-kb-per-s":9000,"lifetime-by-class":[60000000],"instances-by-zone":[0,)"
        << s.routers << R"(]}}})";
  }
  void start(std::size_t i) {
    Process& p = processes_[i];
    p.pid = ::fork();
    if (p.pid != 0) return;
    const int log = ::open(file(i, "log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    ::dup2(log, 2);
    ::unsetenv("TMPDIR");
#ifdef ALDERSPUR_FAULTY_DISK
    ::setenv("LD_PRELOAD", ALDERSPUR_FAULTY_DISK, 1);
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    ::setenv("LIAR_FOLDER", file(i, "state").c_str(), 1);
    ::setenv("LIAR_SHADOW", file(i, "shadow").c_str(), 1);
    ::setenv("LIAR_CONTROL", file(i, "control").c_str(), 1);
#endif
    ::execl(ALDERSPUR_PROGRAM, ALDERSPUR_PROGRAM, "run", "--settings",
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
  // Of the disk under its state (see liar.cpp), and of its wall clock, in microseconds.
  void lie(std::size_t i, std::int64_t fault, std::int64_t clock = 0) {
    std::filesystem::create_directories(file(i, "shadow"));
    const std::int64_t words[2] = {fault, clock};
    const int fd =
        ::open(file(i, "control").c_str(), O_RDWR | O_CREAT, 0600);  // in place: it is mapped
    (void)!::pwrite(fd, words, sizeof words, 0);
    ::close(fd);
  }
  // As a kill, and the state is what was truly synced.
  void lose_power(std::size_t i) {
    kill(i);
    const std::string state = file(i, "state"), shadow = file(i, "shadow");
    for (const auto& e : std::filesystem::directory_iterator(state))
      std::filesystem::remove(e.path());
    std::ifstream names(shadow + "/names");
    std::string inode, name;
    while (names >> inode >> name)
      if (std::filesystem::exists(shadow + "/" + inode))
        std::filesystem::copy_file(shadow + "/" + inode, state + "/" + name);
  }
  std::string state(std::size_t i) const { return file(i, "state"); }
  std::string get(std::size_t i, const std::string& target) {
    const auto in = call(address(i + 1, 7001), "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto body = in.find("\r\n\r\n");
    return body == std::string::npos ? "" : in.substr(body + 4);
  }
  std::string put(std::size_t i, const std::string& target, const std::string& body) {
    const auto in =
        call(address(i + 1, 7001), "PUT " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                       std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto at = in.find("\r\n\r\n");
    return at == std::string::npos ? "" : in.substr(at + 4);
  }
  sockaddr_in clients(std::size_t i) const { return address(i + 1, 7003); }
  std::function<void()> on_step;  // besides, each time round
  void signal(std::size_t i, int number) { ::kill(processes_[i].pid, number); }
  // One like this, if it were started now, has its list written to it by hand.
  void write_list(std::size_t i, const std::string& servers) {
    std::ofstream(file(i, "next.toml")) << servers;
    std::filesystem::rename(file(i, "next.toml"), file(i, "servers.toml"));
  }
  bool runs(std::size_t i) {
    Process& p = processes_[i];
    if (p.pid <= 0) return false;
    int status = 0;
    if (::waitpid(p.pid, &status, WNOHANG) != p.pid) return true;
    p.pid = 0, p.code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
  }
  pid_t pid(std::size_t i) const { return processes_[i].pid; }
  int code(std::size_t i) const { return processes_[i].code; }
  std::string log(std::size_t i) const {
    std::ifstream in(file(i, "log"));
    return {std::istreambuf_iterator<char>(in), {}};
  }

  // Each process's own view, asked of it.
  struct View {
    bool answered = false;
    std::string whole;
    std::map<std::string, std::string> states, addresses;
    std::map<std::string, std::uint64_t> epochs, counts;
    std::size_t alive() const {
      return static_cast<std::size_t>(
          std::count_if(states.begin(), states.end(), [](auto& s) { return s.second == "alive"; }));
    }
  };
  View view(std::size_t i) {
    View v;
    const auto in = call(address(i + 1, 7001), "GET /control/cluster HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto body = in.find("\r\n\r\n");
    rapidjson::Document j;
    if (body != std::string::npos) j.Parse(in.c_str() + body + 4);
    if (body == std::string::npos || j.HasParseError() || !j.IsObject()) return v;
    v.answered = true;
    v.whole = j["whole"].GetString();
    for (const auto& m : j["members"].GetArray()) {
      const std::string name = m["name"].GetString();
      v.states[name] = m["state"].GetString();
      v.addresses[name] = m["address"].GetString();
      v.epochs[name] = m["epoch"].GetUint64();
    }
    for (const auto& c : j["counts"].GetObject())
      v.counts[c.name.GetString()] = c.value.GetUint64();
    return v;
  }
  // All of those see exactly each other, and say they are whole.
  bool whole(const std::vector<std::size_t>& of) {
    for (const auto i : of) {
      const auto v = view(i);
      if (v.whole != "whole" || v.alive() + 1 != of.size()) return false;
    }
    return true;
  }
  std::vector<std::size_t> all() const {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < processes_.size(); ++i) out.push_back(i);
    return out;
  }
  bool until(const std::function<bool()>& holds, Time most = 25 * kSecond) {
    for (const Time end = net::unix_now() + most; net::unix_now() < end; run(100'000))
      if (holds()) return true;
    return holds();
  }
  void run(Time time) {
    for (const Time end = net::unix_now() + time; net::unix_now() < end; ::usleep(500)) step();
  }

  Fault& way(std::size_t from, std::size_t to) { return faults_[{from, to}]; }
  void cut(const std::vector<std::size_t>& a, const std::vector<std::size_t>& b, bool is = true) {
    for (const auto i : a)
      for (const auto j : b) way(i, j).cut = way(j, i).cut = is;
  }
  void each_way(const std::function<void(Fault&)>& change) {
    for (const auto i : all())
      for (const auto j : all())
        if (i != j) change(way(i, j));
  }
  std::string gate(std::size_t i) const { return text(address(100 + i, 7002)); }
  // From this moment on: that datagram is lost, and that one comes 0.9 s late, counted over all.
  void one_lost_one_late(std::uint64_t lost, std::uint64_t late) {
    counted_ = 0, lost_ = lost, late_one_ = late;
  }
  std::mt19937_64 random;
  std::vector<std::pair<std::size_t, std::string>>
      carried;  // the last datagrams: to whom, and what
  void inject(std::size_t to, const std::string& bytes) {
    gates_[to]->send(address(to + 1, 7002), bytes);
  }

 private:
  struct Process {
    std::size_t index = 0;
    pid_t pid = 0;
    int code = -1;
  };
  struct Gate {
    explicit Gate(const sockaddr_in& at) {
      udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const int on = 1;
      ::setsockopt(tcp, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      EXPECT_EQ(::bind(udp, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
      EXPECT_EQ(::bind(tcp, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
      ::listen(tcp, 64);
    }
    ~Gate() { ::close(udp), ::close(tcp); }
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;
    void send(const sockaddr_in& to, const std::string& bytes) {
      (void)!::sendto(udp, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                      sizeof to);
    }
    int udp, tcp;
  };
  struct Pipe {  // a connection through a gate: from, to
    int fds[2];
    std::size_t from, to;
    Time next[2] = {0, 0};  // where a rate is set: when the next bytes go, each way
  };
  struct Late {
    Time at;
    std::size_t from, to;
    std::string bytes;
  };

  std::string file(std::size_t i, const std::string& what) const {
    return folder_ + "/n" + std::to_string(i) + "/" + what;
  }
  sockaddr_in address(std::size_t host, int port) const {
    return net::parse_address(net_ + std::to_string(host) + ":" + std::to_string(port)).value();
  }
  static std::string text(const sockaddr_in& at) { return net::to_string(at); }
  static std::size_t host_of(const sockaddr_in& at) {
    return (ntohl(at.sin_addr.s_addr) & 0xff) - 1;
  }

  void step() {
    if (on_step) on_step();
    for (std::size_t to = 0; to < gates_.size(); ++to) {
      char buffer[8192];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      for (ssize_t n; (n = ::recvfrom(gates_[to]->udp, buffer, sizeof buffer, 0,
                                      reinterpret_cast<sockaddr*>(&from), &size)) >= 0;)
        datagram(host_of(from), to, {buffer, static_cast<std::size_t>(n)});
      for (int fd; (fd = ::accept4(gates_[to]->tcp, reinterpret_cast<sockaddr*>(&from), &size,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
        connection(fd, host_of(from), to);
    }
    const Time now = net::unix_now();
    for (std::size_t i = 0; i < late_.size();) {
      if (late_[i].at > now) {
        ++i;
        continue;
      }
      gates_[late_[i].from]->send(address(late_[i].to + 1, 7002), late_[i].bytes);
      late_[i] = std::move(late_.back());
      late_.pop_back();
    }
    std::erase_if(pipes_, [&](Pipe& p) { return !pump(p); });
  }
  void datagram(std::size_t from, std::size_t to, std::string bytes) {
    if (from >= gates_.size()) return;
    const Fault& f = faults_[{from, to}];
    carried.emplace_back(to, bytes);
    if (carried.size() > 400) carried.erase(carried.begin(), carried.begin() + 200);
    const std::uint64_t number = counted_++;
    if (number == lost_ || f.cut || f.stall || random() % 100 < f.loss) return;
    if (number == late_one_)
      return void(late_.push_back({net::unix_now() + 900'000, from, to, bytes}));
    if (random() % 100 < f.corrupt)
      bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
    const Time delay =
        f.delay +
        (f.jitter ? static_cast<Time>(random() % static_cast<std::uint64_t>(f.jitter)) : 0);
    const std::size_t copies = random() % 100 < f.twice ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      if (delay)
        late_.push_back({net::unix_now() + delay, from, to, bytes});
      else
        gates_[from]->send(address(to + 1, 7002), bytes);
    }
  }
  void connection(int fd, std::size_t from, std::size_t to) {
    const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = address(to + 1, 7002);
    if (from >= gates_.size() || faults_[{from, to}].cut ||
        ::connect(out, reinterpret_cast<const sockaddr*>(&at), sizeof at) < 0) {
      ::close(fd), ::close(out);
      return;
    }
    ::fcntl(out, F_SETFL, O_NONBLOCK);
    pipes_.push_back({{fd, out}, from, to, {0, 0}});
  }
  bool pump(Pipe& p) {
    bool open = true;
    for (int side = 0; side < 2; ++side) {
      const Fault& f = side == 0 ? faults_[{p.from, p.to}] : faults_[{p.to, p.from}];
      if (f.cut) open = false;
      if (f.stall || f.cut) continue;
      char buffer[65536];
      const Time now = net::unix_now();
      if (f.rate && now < p.next[side]) continue;
      const std::size_t most =
          f.rate ? std::clamp<std::size_t>(f.rate / 50, 1, sizeof buffer) : sizeof buffer;
      const ssize_t n = ::recv(p.fds[side], buffer, most, 0);
      if (f.rate && n > 0) p.next[side] = now + n * kSecond / static_cast<Time>(f.rate);
      if (n == 0 || (n < 0 && errno != EAGAIN)) open = false;
      if (n > 0 && random() % 100 < f.corrupt)
        buffer[random() % static_cast<std::size_t>(n)] ^= 0x40;
      for (ssize_t sent = 0; n > 0 && sent < n;) {
        const ssize_t k = ::send(p.fds[1 - side], buffer + sent, static_cast<std::size_t>(n - sent),
                                 MSG_NOSIGNAL);
        if (k < 0 && errno == EAGAIN)
          ::usleep(200);
        else if (k < 0)
          break;
        else
          sent += k;
      }
    }
    if (!open) ::close(p.fds[0]), ::close(p.fds[1]);
    return open;
  }
  std::string call(const sockaddr_in& at, const std::string& request) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string in;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
      (void)!::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
      ::fcntl(fd, F_SETFL, O_NONBLOCK);
      for (const Time end = net::unix_now() + kSecond; net::unix_now() < end; step()) {
        char buffer[65536];
        const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
        if (n > 0)
          in.append(buffer, static_cast<std::size_t>(n));
        else if (n == 0 || errno != EAGAIN)
          break;
        else
          ::usleep(300);
      }
    }
    ::close(fd);
    return in;
  }

  std::string folder_, net_;
  std::vector<Process> processes_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::map<std::pair<std::size_t, std::size_t>, Fault> faults_;
  std::vector<Late> late_;
  std::uint64_t counted_ = 0, lost_ = ~0ULL, late_one_ = ~0ULL;
  std::vector<Pipe> pipes_;
};

}  // namespace rig

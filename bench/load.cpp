// Measures `alderspur run` as a process, with stand-in boxes and clients of this process:
//
//   load PROGRAM changes [N]       from rename to in force and to the first request by the new list
//   load PROGRAM reload [SECONDS]  request latency while 20,000 servers are reloaded every second,
//   and without load PROGRAM idle              CPU a request with 0 and 10,000 idle connections,
//   and with 5,000 servers
//
// One JSON line a figure. Everything on loopback; stops by itself. docs/measured.md has the
// figures.
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>
#include <thread>

#include "signed_url/token.h"
#include "support/fake_cache.h"
#include "support/rpc_messages.h"
#include "support/test_socket.h"

namespace {

using namespace alderspur;
using core::Time;
using loopback::FakeCache;
using loopback::TestSocket;

constexpr const char* kSecret = "a secret of the load tool";

struct Listed {
  std::string id, address;
};

class Rig {
 public:
  Rig(std::string program, std::size_t boxes) : program_(std::move(program)), boxes_(boxes) {
    char name[] = "/tmp/alderspur-load-XXXXXX";
    folder_ = ::mkdtemp(name);
    std::ofstream(folder_ + "/config.json")
        << R"({"name":"n","seed":"7","listen":"127.0.0.1:0","limits":{"cores":1,"memory_mb":2048,"sockets":100000},
      "known":{"rev":0,"notices":[]},
      "settings":{"azs":["hub","edge","far"],"zone":1,"shapes":["small","origin"],"replicas-of-me":1,
      "ceilings":{"dial-timeout":5000000,"idle-close":30000000,"max-attempts":4,"may-cancel":true,
        "streams-per-conn":32},
      "classes":[{"name":"asset","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"}],
      "domain":{"lifetime-by-class":[60000000],"stale-for":[0],"uncached":[false],"source-kind":1,
        "upper-kind":-1,"instances-by-zone":[0,1,1],"purge-settles":6000000,"stream-kb-per-s":9000}}})";
    std::ofstream(folder_ + "/alderspur.toml")
        << "[router]\nconfig = \"config.json\"\n[membership]\nauthority = \"files\"\nlist = "
           "\"servers.toml\"\n"
           "state = \"state\"\nmost_out = 1.0\n[membership.damping]\non = false\n[signed]\nlisten "
           "= "
           "\"127.0.0.1:0\"\n"
           "[[signed.key]]\nid = \"k\"\nsecret = \""
        << kSecret << "\"\n[[signed.route]]\nprefix = \"/asset/\"\nclass = \"asset\"\n";
  }
  ~Rig() {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  std::vector<Listed> near() const {
    std::vector<Listed> out;
    for (std::size_t i = 0; i < boxes_.size(); ++i) {
      out.push_back({"s" + std::to_string(i), boxes_[i].address()});
    }
    return out;
  }
  // Servers of the own point, and so many of another point that nothing is ever sent to.
  void list(std::uint64_t generation, const std::vector<Listed>& near, std::size_t far,
            std::size_t changed = 0) {
    std::ostringstream t;
    t << "format = 1\ngeneration = " << generation << "\nservers = " << near.size() + far + 1
      << "\n[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge\"\nhub = \"hub\"\n";
    if (far) t << "[[point]]\nname = \"far\"\nhub = \"hub\"\n";
    const auto server = [&](const std::string& id, const char* role, const char* place,
                            const std::string& at, const char* weight) {
      t << "[[server]]\nid = \"" << id << "\"\nrole = \"" << role << "\"\n"
        << place << "\naddress = \"" << at << "\"\nweight = " << weight
        << "\nstate = \"in_service\"\ncell = 0\n";
    };
    for (const auto& s : near) server(s.id, "cache", "point = \"edge\"", s.address, "4.0");
    for (std::size_t i = 0; i < far; ++i) {
      server("f" + std::to_string(i), "cache", "point = \"far\"",
             "127.9.0." + std::to_string(1 + i / 60'000) + ":" + std::to_string(1 + i % 60'000),
             i < changed ? "5.0" : "4.0");
    }
    server("o", "origin", "hub = \"hub\"", origin_.address(), "10.0");
    std::ofstream(folder_ + "/next") << t.str();
  }
  void put() { std::filesystem::rename(folder_ + "/next", folder_ + "/servers.toml"); }

  void start() {
    int ends[2];
    if (::pipe(ends) != 0) std::abort();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], 2);
      const std::string settings = folder_ + "/alderspur.toml";
      ::execl(program_.c_str(), program_.c_str(), "run", "--settings", settings.c_str(), nullptr);
      ::_exit(99);
    }
    ::close(ends[1]);
    log_ = std::make_unique<TestSocket>(-1);
    log_fd_ = ends[0];
    ::fcntl(log_fd_, F_SETFL, O_NONBLOCK);
    for (int i = 0; !said("subsystem=signed event=listening"); ++i) {
      ::usleep(1000), read_log();
      if (i < 30'000) continue;
      std::fprintf(stderr, "the program does not start: %s\n", text_.c_str());
      std::exit(1);
    }
    const auto after = [&](const std::string& what) {
      const auto at = text_.find(what) + what.size();
      return *net::parse_address(text_.substr(at, text_.find_first_of("\"\n", at) - at));
    };
    rpc_at = after("platform clients on ");
    http_at = after("event=listening address=");
  }
  bool said(const std::string& what) const { return text_.find(what) != std::string::npos; }
  void read_log() {
    char buffer[65536];
    for (ssize_t n; (n = ::read(log_fd_, buffer, sizeof buffer)) > 0;) {
      text_.append(buffer, static_cast<std::size_t>(n));
    }
  }
  std::int64_t longest_hold() {
    const std::string key = "longest hold us ";
    ::kill(pid_, SIGUSR1);
    for (int i = 0; i < 2000 && !said(key); ++i) ::usleep(1000), read_log();
    const auto at = text_.rfind(key);
    return at == std::string::npos ? -1 : std::atol(text_.c_str() + at + key.size());
  }
  // Microseconds of CPU that the program has used, all threads.
  double cpu_us() const {
    double sum = 0;
    for (const auto& t :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/task")) {
      std::ifstream in(t.path() / "schedstat");
      double ns = 0;
      in >> ns;
      sum += ns / 1000;
    }
    return sum;
  }
  // Of the loop's thread alone.
  double loop_cpu_us() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/task/" + std::to_string(pid_) +
                     "/schedstat");
    double ns = 0;
    in >> ns;
    return ns / 1000;
  }
  void play() {
    for (auto& b : boxes_) {
      b.poll();
      for (const auto& c : b.commands) {
        if (c.verb != "fetch") continue;
        FakeCache::respond(c, "served", "bytes", loopback::fresh_copy_fields("t"));
        ++fetched_[&b];
      }
      b.commands.clear();
    }
    origin_.poll();
  }
  std::size_t fetched(std::size_t box) { return fetched_[&boxes_[box]]; }
  std::string address(std::size_t box) const { return boxes_[box].address(); }
  sockaddr_in rpc_at{}, http_at{};

 private:
  std::string program_, folder_, text_;
  std::vector<FakeCache> boxes_;
  FakeCache origin_;
  std::unique_ptr<TestSocket> log_;
  int log_fd_ = -1;
  pid_t pid_ = 0;
  std::map<const FakeCache*, std::size_t> fetched_;
};

// One client of the signed front with a prefix token, one request at a time.
class HttpClient {
 public:
  explicit HttpClient(const sockaddr_in& at, std::uint64_t first)
      : socket_(loopback::connect_to(at)), object_(first) {
    const std::string text = "pfx=/asset/&exp=4000000000&kid=k";
    query_ = text + "&sig=" + signed_url::signature({"k", kSecret, 0}, text);
  }
  // True when an answer has come; its time is then in `took`.
  bool poll(bool ask) {
    socket_->poll();
    bool done = false;
    if (sent_ && socket_->received.find("\r\n\r\nbytes") != std::string::npos) {
      took = net::unix_now() - sent_;
      sent_ = 0;
      socket_->received.clear();
      done = true;
    }
    if (!sent_ && ask) {
      char object[17];
      std::snprintf(object, sizeof object, "%016llx",
                    static_cast<unsigned long long>(object_ += 7919));
      socket_->write(std::string("GET /asset/") + object + "/0?" + query_ +
                     " HTTP/1.1\r\nHost: x\r\n\r\n");
      sent_ = net::unix_now();
    }
    return done;
  }
  Time took = 0;

 private:
  std::unique_ptr<TestSocket> socket_;
  std::string query_;
  std::uint64_t object_;
  Time sent_ = 0;
};

Time part(std::vector<Time> v, double p) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, static_cast<std::size_t>(p * static_cast<double>(v.size())))];
}

int changes(const std::string& program, int n) {
  Rig rig(program, 3);
  auto near = rig.near();
  near.pop_back();
  rig.list(1, near, 0);
  rig.put();
  rig.start();
  HttpClient client(rig.http_at, 1);
  std::vector<Time> in_force;
  std::vector<Time> first;
  for (int i = 0; i < n; ++i) {
    // A new id at the third box's address, another each time: its first request proves the new
    // list.
    auto next = near;
    next.push_back({"n" + std::to_string(i), rig.address(2)});
    rig.list(static_cast<std::uint64_t>(i) + 2, next, 0);
    const auto before = rig.fetched(2);
    const Time begun = net::unix_now();
    rig.put();
    Time taken = 0;
    const std::string record = "event=list_taken generation=" + std::to_string(i + 2) + " ";
    while (rig.fetched(2) == before || !taken) {
      rig.play();
      client.poll(true);
      rig.read_log();
      if (!taken && rig.said(record)) taken = net::unix_now() - begun;
      if (net::unix_now() - begun > 20'000'000) return std::puts("gave up"), 1;
    }
    first.push_back(net::unix_now() - begun);
    in_force.push_back(taken);
    for (const Time end = net::unix_now() + 20'000; net::unix_now() < end;) {
      rig.play(), client.poll(true);
    }
  }
  const auto say = [&](const char* what, const std::vector<Time>& v) {
    std::printf(
        "{\"what\":\"%s\",\"changes\":%zu,\"p50_ms\":%.1f,\"p99_ms\":%.1f,\"max_ms\":%.1f}\n", what,
        v.size(), static_cast<double>(part(v, 0.5)) / 1e3, static_cast<double>(part(v, 0.99)) / 1e3,
        static_cast<double>(part(v, 1)) / 1e3);
  };
  say("rename to in force", in_force);
  say("rename to first request", first);
  return 0;
}

int reload(const std::string& program, int seconds) {
  Rig rig(program, 10);
  std::uint64_t generation = 1;
  rig.list(generation, rig.near(), 20'000);
  rig.put();
  rig.start();
  double p99[2] = {};
  for (const bool reloads : {false, true, false, true}) {
    std::vector<std::unique_ptr<HttpClient>> clients;
    for (std::uint64_t i = 0; i < 8; ++i) {
      clients.push_back(std::make_unique<HttpClient>(rig.http_at, i << 40));
    }
    std::vector<Time> took;
    Time next_list = 0;
    Time next_ask = 0;
    std::thread writer;
    const auto taken_before = generation;
    for (const Time end = net::unix_now() + Time{seconds} * 1'000'000; net::unix_now() < end;) {
      const Time now = net::unix_now();
      if (reloads && now >= next_list) {
        // 200 weights change each time; written beside, so that the list's making holds up no
        // answer.
        if (writer.joinable()) writer.join();
        writer = std::thread(
            [&, g = ++generation] { rig.list(g, rig.near(), 20'000, g % 2 ? 200 : 0), rig.put(); });
        next_list = now + 1'000'000;
      }
      rig.play();
      const bool ask = now >= next_ask;
      if (ask) next_ask = now + 500;  // 2,000 a second at most
      bool may = ask;
      for (auto& c : clients) {
        if (c->poll(may)) took.push_back(c->took);
        may = false;
      }
      rig.read_log();
    }
    if (writer.joinable()) writer.join();
    p99[reloads] = static_cast<double>(part(took, 0.99));
    std::printf(
        "{\"what\":\"requests "
        "%s\",\"lists\":%llu,\"requests\":%zu,\"p50_us\":%lld,\"p99_us\":%lld,\"max_us\":%lld}\n",
        reloads ? "while 20,000 servers are reloaded every second" : "without reloads",
        static_cast<unsigned long long>(generation - taken_before), took.size(),
        static_cast<long long>(part(took, 0.5)), static_cast<long long>(part(took, 0.99)),
        static_cast<long long>(part(took, 1)));
    std::fflush(stdout);
  }
  std::printf("{\"what\":\"ratio of the p99\",\"ratio\":%.2f}\n", p99[1] / p99[0]);
  std::printf("{\"what\":\"longest that the loop was held by membership\",\"us\":%ld}\n",
              rig.longest_hold());
  return 0;
}

// The largest list there may be, with every weight changed and a tenth of the servers new.
int big(const std::string& program) {
  Rig rig(program, 10);
  rig.list(1, rig.near(), 90'000);
  rig.put();
  rig.start();
  HttpClient client(rig.http_at, 1);
  for (std::uint64_t g = 2; g <= 4; ++g) {
    rig.list(g, rig.near(), 99'980, g % 2 ? 99'980 : 0);
    const Time begun = net::unix_now();
    rig.put();
    std::vector<Time> took;
    while (!rig.said("event=list_taken generation=" + std::to_string(g) + " ")) {
      rig.play();
      if (client.poll(true)) took.push_back(client.took);
      rig.read_log();
    }
    std::printf(
        "{\"what\":\"100,000 servers, rename to in "
        "force\",\"ms\":%.0f,\"requests\":%zu,\"p99_us\":%ld}\n",
        static_cast<double>(net::unix_now() - begun) / 1e3, took.size(),
        static_cast<long>(part(took, 0.99)));
    for (const Time end = net::unix_now() + 1'500'000; net::unix_now() < end;) {
      rig.play(), client.poll(true);
    }
  }
  std::printf("{\"what\":\"longest that the loop was held by membership\",\"us\":%ld}\n",
              rig.longest_hold());
  return 0;
}

// CPU of the loop a request: one client after another, idle connections beside them.
double cost(Rig& rig, bool http, std::size_t idle) {
  std::vector<std::unique_ptr<TestSocket>> beside;
  const auto status = loopback::pack_message([](msgpack_packer* p) {
    msgpack_pack_array(p, 4), msgpack_pack_int(p, 0), msgpack_pack_int(p, 1),
        loopback::pack_text(p, "status");
    msgpack_pack_array(p, 1), msgpack_pack_map(p, 0);
  });
  for (std::size_t i = 0; i < idle; ++i) {
    beside.push_back(loopback::connect_to(http ? rig.http_at : rig.rpc_at));
    if (!http) beside.back()->write(status);
    if (i % 100 == 0) ::usleep(2000);
  }
  ::usleep(300'000);
  const std::size_t requests_per_step = 4'000;
  double used = 0;
  if (http) {
    HttpClient client(rig.http_at, 1);
    std::size_t done = 0;
    double before = 0;
    while (done < requests_per_step + 200) {
      rig.play();
      if (client.poll(true) && ++done == 200) before = rig.loop_cpu_us();
    }
    used = rig.loop_cpu_us() - before;
  } else {
    auto client = loopback::connect_to(rig.rpc_at);
    std::size_t done = 0;
    double before = 0;
    for (unsigned id = 1; done < requests_per_step + 200; ++id) {
      char text[17];
      std::snprintf(text, sizeof text, "%016x", id * 7919);
      client->write(loopback::encode_request(id, "asset", {{"txn", text}, {"item", text}}));
      while (client->received.find("bytes") == std::string::npos) rig.play(), client->poll();
      client->received.clear();
      if (++done == 200) before = rig.loop_cpu_us();
    }
    used = rig.loop_cpu_us() - before;
  }
  return used / static_cast<double>(requests_per_step);
}

int idle(const std::string& program) {
  for (const bool http : {true, false}) {
    double least[3] = {1e9, 1e9, 1e9};
    for (int round = 0; round < 3; ++round) {
      for (int what = 0; what < 3; ++what) {
        Rig rig(program, 10);
        rig.list(1, rig.near(), what == 2 ? 5'000 : 0);
        rig.put();
        rig.start();
        least[what] = std::min(least[what], cost(rig, http, what == 1 ? 10'000 : 0));
      }
    }
    std::printf(
        "{\"front\":\"%s\",\"us_a_request\":%.1f,\"with_10000_idle\":%.1f,\"ratio\":%.2f,\"with_"
        "5000_"
        "servers\":%.1f,"
        "\"ratio_servers\":%.2f}\n",
        http ? "signed" : "platform", least[0], least[1], least[1] / least[0], least[2],
        least[2] / least[0]);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  rlimit most{};
  ::getrlimit(RLIMIT_NOFILE, &most);
  most.rlim_cur = most.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &most);
  const std::string mode = argc > 2 ? argv[2] : "";
  const int n = argc > 3 ? std::atoi(argv[3]) : 0;
  if (mode == "changes") return changes(argv[1], n > 0 ? n : 200);
  if (mode == "reload") return reload(argv[1], n > 0 ? n : 10);
  if (mode == "big") return big(argv[1]);
  if (mode == "idle") return idle(argv[1]);
  std::fprintf(stderr, "usage: load PROGRAM changes|reload|big|idle [N]\n");
  return 2;
}

// Scripted peers on loopback sockets and an edge router in the same thread, pumped by hand.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <msgpack.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "discovery/discovery_client.h"
#include "net/loop.h"
#include "rpc_front/rpc_front.h"
#include "signed_url/http_front.h"
#include "upstream/upstream_pool.h"

namespace loopback {

using namespace alderspur;

class Socket {  // a peer's end: everything read is kept in `in`
 public:
  explicit Socket(int fd) : fd_(fd) { ::fcntl(fd_, F_SETFL, O_NONBLOCK); }
  ~Socket() { close(); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void half_close() { ::shutdown(fd_, SHUT_WR); }
  void write(std::string_view bytes) {
    if (fd_ >= 0) (void)!::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  std::size_t write_some(std::string_view bytes) {
    const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  void poll() {
    char buffer[65536];
    for (ssize_t n = 1; fd_ >= 0 && n > 0;) {
      n = ::recv(fd_, buffer, sizeof buffer, 0);
      if (n > 0) in.append(buffer, static_cast<std::size_t>(n));
      if (n == 0 || (n < 0 && errno != EAGAIN)) ended = true;
      if (n < 0 && errno == ECONNRESET) was_reset = true;
    }
  }
  std::string in;
  bool ended = false, was_reset = false;

 private:
  int fd_;
};

inline int bound(sockaddr_in& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on,
               sizeof on);  // so that its address can be taken up again
  at = {};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return fd;
}

struct Command {  // as a box got it
  std::string word, id, body;
  std::map<std::string, std::string> fields;
  Socket* from = nullptr;
};

inline std::string dated(const std::string& tag) {  // the fields of a copy given out now
  return "sum=" + tag + ",t0=" + std::to_string(net::unix_now() / 1000);
}

class Box {  // a stand-in cache: collects commands; the story answers them
 public:
  Box() : fd_(bound(at_)) {
    ::listen(fd_, 64);
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~Box() { stop(); }
  void stop() {  // the process dies: listener and connections
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    for (auto& c : connections) c->reset();
  }
  std::string address() const { return net::to_string(at_); }
  void narrow() {  // little fits into connections that come from now on
    const int bytes = 4096;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  void poll() {
    for (int fd; fd_ >= 0 && (fd = ::accept(fd_, nullptr, nullptr)) >= 0;) {
      { connections.push_back(std::make_unique<Socket>(fd)); }
    }
    for (auto& c : connections) {
      if (!reads) break;
      c->poll();
      while (take(*c)) {
      }
    }
  }
  bool reads = true;  // false: what comes stays in the kernel
  static void answer(const Command& c, const std::string& word, const std::string& body = {},
                     std::string fields = {}) {
    if (fields.empty()) fields = word == "served" ? dated("t") : "-";
    c.from->write(c.id + ' ' + word + ' ' + fields + ' ' + std::to_string(body.size()) + "\r\n" +
                  body + "\r\n");
  }
  std::size_t count(const std::string& word) const {
    return static_cast<std::size_t>(
        std::count_if(commands.begin(), commands.end(), [&](auto& c) { return c.word == word; }));
  }
  std::vector<Command> commands;
  std::vector<std::unique_ptr<Socket>> connections;

 private:
  bool take(Socket& s) {
    const auto end = s.in.find("\r\n");
    if (end == std::string::npos) return false;
    std::istringstream line(s.in.substr(0, end));
    Command c;
    std::string fields;
    std::size_t length = 0;
    line >> c.word >> c.id >> fields >> length;
    c.from = &s;
    std::size_t used = end + 2;
    if (c.word == "fetch") {
      if (s.in.size() < used + length + 2) return false;
      c.body = s.in.substr(used, length);
      used += length + 2;
    }
    std::istringstream list(fields);
    for (std::string f; std::getline(list, f, ',');) {
      { c.fields[f.substr(0, f.find('='))] = f.substr(f.find('=') + 1); }
    }
    s.in.erase(0, used);
    commands.push_back(c);
    return true;
  }
  sockaddr_in at_{};
  int fd_;
};

inline std::unique_ptr<Socket> dial(const sockaddr_in& at) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  return std::make_unique<Socket>(fd);
}

// Calls as the platform's clients send them.
inline std::string pack(const std::function<void(msgpack_packer*)>& what) {
  msgpack_sbuffer b;
  msgpack_packer p;
  msgpack_sbuffer_init(&b);
  msgpack_packer_init(&p, &b, msgpack_sbuffer_write);
  what(&p);
  std::string out(b.data, b.size);
  msgpack_sbuffer_destroy(&b);
  return out;
}
inline void str(msgpack_packer* p, const std::string& s) {
  msgpack_pack_str_with_body(p, s.data(), s.size());
}
inline std::string request(unsigned id, const std::string& cls,
                           std::map<std::string, std::string> fields,
                           const std::string& body = {}) {
  char txn[17];  // new with every request of a client
  std::snprintf(txn, sizeof txn, "9b1f03aa5c7e2%03x", 0xd40 + id);
  fields.emplace("txn", txn);
  fields.emplace("limit", "20000");
  fields.emplace("item", "7f3a9c21e0b4d655");
  fields.emplace("slice", "0");
  fields.emplace("set", "17");
  return pack([&](msgpack_packer* p) {
    msgpack_pack_array(p, 4), msgpack_pack_int(p, 0), msgpack_pack_unsigned_int(p, id), str(p, cls);
    msgpack_pack_array(p, 2), msgpack_pack_map(p, fields.size());
    for (const auto& [k, v] : fields) str(p, k), str(p, v);
    msgpack_pack_bin_with_body(p, body.data(), body.size());
  });
}
// Answers as those clients read them.
struct Got {
  std::uint64_t id = 0;
  std::string error, body;
  std::map<std::string, std::string> fields;
};
inline std::vector<Got> answers(const std::string& in) {
  std::vector<Got> out;
  msgpack_unpacked m;
  msgpack_unpacked_init(&m);
  for (std::size_t at = 0;
       msgpack_unpack_next(&m, in.data(), in.size(), &at) == MSGPACK_UNPACK_SUCCESS;) {
    const auto* a = m.data.via.array.ptr;
    const auto text = [](const msgpack_object& o) {
      return std::string(o.via.bin.ptr, o.via.bin.size);
    };
    Got g;
    g.id = a[1].via.u64;
    const auto& pair = a[2].type == MSGPACK_OBJECT_NIL ? a[3] : a[2];
    if (a[2].type != MSGPACK_OBJECT_NIL) {
      { g.error = text(pair.via.array.ptr[0]); }
    } else if (pair.via.array.ptr[0].type == MSGPACK_OBJECT_BIN) {
      { g.body = text(pair.via.array.ptr[0]); }
    }
    const auto& map = pair.via.array.ptr[1].via.map;
    for (std::uint32_t i = 0; i < map.size; ++i) {
      { g.fields[text(map.ptr[i].key)] = text(map.ptr[i].val); }
    }
    out.push_back(g);
  }
  msgpack_unpacked_destroy(&m);
  return out;
}
inline std::string withdraw(unsigned id) {
  return pack([&](msgpack_packer* p) {
    msgpack_pack_array(p, 3), msgpack_pack_int(p, 2), str(p, "withdraw");
    msgpack_pack_array(p, 1), msgpack_pack_unsigned_int(p, id);
  });
}
// Two caches, one origin, both fronts; time limits of many seconds so that a slow machine changes
// nothing.
class Story : public ::testing::Test {
 protected:
  std::string settings =
      R"("settings":{"azs":["hub","edge"],"zone":1,"shapes":["small","origin"],"replicas-of-me":1,
      "ceilings":{"dial-timeout":5000000,"idle-close":30000000,"max-attempts":4,"may-cancel":true,
        "retry-after":true,"max-retry-after":500000,"streams-per-conn":32},
      "classes":[{"name":"asset","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"},
        {"name":"plan-accept","target":5000000,"give-up":30000000,"points":3,"repeat":"keyed",
         "dedup-scope":"all","dedup-window":20000000}],
      "domain":{"lifetime-by-class":[60000000,0],"stale-for":[0,0],"uncached":[false,true],"source-kind":1,
        "upper-kind":-1,"merges-fills":true,"instances-by-zone":[0,1],"purge-settles":6000000,
        "stream-kb-per-s":9000}})";

  void set(const std::string& name, const std::string& from,
           const std::string& to) {  // before SetUp()
    const auto was = '"' + name + "\":" + from;
    settings.replace(settings.find(was), was.size(), '"' + name + "\":" + to);
  }

  void SetUp() override {
    const auto member = [](const std::string& id, const Box& b, const char* zone,
                           const char* kind) {
      return R"({"id":")" + id + R"(","host_port":")" + b.address() + R"(","locality":")" + zone +
             R"(","flavor":")" + kind +
             R"(","cell":0,"phase":"in_service","size":4,"up_since_ms":0})";
    };
    config = config::read(
        R"({"name":"n","seed":"7","known":{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,
      "members":[)" +
        member("s-a", box[0], "edge", "small") + "," + member("s-b", box[1], "edge", "small") +
        "," + member("s-o", origin, "hub", "origin") + "]}}]}," + settings + "}");
    config.settings.health_checks_allowed = probing;
    config.max_descriptors = 128;  // 64 clients
    config.discovery_address = net::to_string(board_at_);
    links.enabled = true;
    links.listen = "127.0.0.1:0";
    links.clock_skew_seconds = 60;  // wide: a slow machine changes nothing
    links.keys = {{"old", "an old secret of the tests", 0},
                  {"new", "a new secret of the tests", 0}};
    links.routes = {{"/asset/", 0, link_limit}};
    engine = std::make_unique<core::Engine>(config.settings, config.seed, deadlines, net::unix_now);
    caches = std::make_unique<upstream::UpstreamPool>(loop, deadlines, *engine, config);
    engine->attach(*caches);
    pool = std::make_unique<discovery::DirectEndpointSink>(*caches, *engine);
    board = std::make_unique<discovery::DiscoveryClient>(loop, deadlines, *engine, *pool, config);
    engine->run();
    front = std::make_unique<rpc_front::RpcFront>(loop, deadlines, *engine,
                                                  *net::parse_address("127.0.0.1:0"), config);
    http = std::make_unique<signed_url::HttpFront>(loop, deadlines, *engine, config, links, [this] {
      return net::unix_now() + skew * 1'000'000;
    });
    loop.on_turn([this] {
      deadlines.run_due(engine->now());
      engine->run();
      front->end_turn();
      http->end_turn();
      caches->end_turn();
      board->end_turn();
      engine->run();
    });
  }
  // Runs everybody until it holds; a story that never gets there fails after many seconds.
  bool until(const std::function<bool()>& holds) {
    for (const core::Time end = net::unix_now() + 20'000'000; net::unix_now() < end;) {
      ev_run(loop.raw(), EVRUN_NOWAIT);
      for (auto* b : {&box[0], &box[1], &origin}) b->poll();
      for (auto* s : watched) s->poll();
      if (holds()) return true;
      ::usleep(200);
    }
    return false;
  }
  void settle() {  // long enough for whatever is wrongly under way to show
    const core::Time end = net::unix_now() + 150'000;
    until([&] { return net::unix_now() >= end; });
  }
  std::unique_ptr<Socket> client(const sockaddr_in& at) {
    auto s = dial(at);
    watched.push_back(s.get());
    return s;
  }
  // The first fetch that waits at a box, not counting those before `seen`.
  Command* fetch(std::size_t n = 1) {
    std::size_t found = 0;
    for (auto& b : box) {
      {
        for (auto& c : b.commands) {
          {
            if (c.word == "fetch" && ++found == n) return &c;
          }
        }
      }
    }
    return nullptr;
  }
  Box& box_of(const Command& c) {
    for (auto& s : box[0].connections) {
      {
        if (s.get() == c.from) return box[0];
      }
    }
    return box[1];
  }
  std::size_t fetches() const { return box[0].count("fetch") + box[1].count("fetch"); }

  sockaddr_in board_at_{};
  bool probing = false;
  std::int64_t skew = 0, link_limit = 20'000'000;
  Box box[2], origin;
  config::Config config;
  signed_url::Settings links;
  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  std::unique_ptr<core::Engine> engine;
  std::unique_ptr<upstream::UpstreamPool> caches;
  std::unique_ptr<discovery::DirectEndpointSink> pool;
  std::unique_ptr<discovery::DiscoveryClient> board;
  std::unique_ptr<rpc_front::RpcFront> front;
  std::unique_ptr<signed_url::HttpFront> http;
  std::vector<Socket*> watched;
};

// The same with a board to watch.
class BoardStory : public Story {
 protected:
  void SetUp() override {
    board_fd_ = bound(board_at_);
    ::listen(board_fd_, 4);
    ::fcntl(board_fd_, F_SETFL, O_NONBLOCK);
    Story::SetUp();
  }
  void TearDown() override { ::close(board_fd_); }
  std::unique_ptr<Socket> watcher() {
    int fd = -1;
    EXPECT_TRUE(until([&] { return (fd = ::accept(board_fd_, nullptr, nullptr)) >= 0; }));
    auto s = std::make_unique<Socket>(fd);
    watched.push_back(s.get());
    return s;
  }
  // One event: a server and its state; `complete`: the list is this one server.
  static std::string event(int rev, const std::string& id, const std::string& address,
                           const std::string& phase, bool complete = false,
                           const char* zone = "edge", const char* kind = "small") {
    return R"({"rev":)" + std::to_string(rev) + R"(,"pool":{"complete":)" +
           (complete ? "true" : "false") + R"(,"members":[{"id":")" + id + R"(","host_port":")" +
           address + R"(","locality":")" + zone + R"(","flavor":")" + kind +
           R"(","cell":0,"phase":")" + phase + "\",\"size\":4,\"up_since_ms\":0}]}}\n";
  }
  int board_fd_ = -1;
};

}  // namespace loopback

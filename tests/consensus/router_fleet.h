// A fleet of processes of the program that agree on versions, with stand-in boxes that count what
// they get and clients that come and go: for stories and for measurements.
#pragma once

#include <gtest/gtest.h>

#include "cluster/rig.h"
#include "consensus/version.h"
#include "loopback.h"

namespace fleet {

using namespace alderspur;
using rig::kSecond;
using rig::Rig;
using rig::Time;
constexpr Time kMaxStaleTime = 2 * kSecond;  // T
constexpr std::int64_t kNoFault = 0, kSyncIgnored = 1, kSyncFails = 2, kDiskFull = 3, kHangs = 4;

class RouterFleet {
 public:
  static constexpr std::size_t kCacheCount = 3;
  // Which of the boxes are listed, and how; p and q: parents, which nobody plays.
  std::string endpoint_list(const std::string& which, int generation = 1) const {
    std::string out = "format = 1\ngeneration = " + std::to_string(generation) +
                      "\nservers = " + std::to_string(which.size()) +
                      "\n[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge\"\nhub = \"hub\"\n";
    for (const char c : which) {
      if (c == 'p' || c == 'q') {
        out += std::string("[[server]]\nid = \"s-") + c +
               "\"\nrole = \"parent\"\nhub = \"hub\"\naddress = \"127.0.0.1:" +
               (c == 'p' ? "9" : "10") + "\"\nweight = " + std::to_string(server_weight_) +
               "\nstate = \"in_service\"\ncell = 0\n";
        continue;
      }
      const bool draining = c >= 'A' && c <= 'C';
      const auto i = static_cast<std::size_t>(c - (draining ? 'A' : 'a'));
      out += "[[server]]\nid = \"s-" + std::to_string(i) +
             "\"\nrole = \"cache\"\npoint = \"edge\"\naddress = \"" + caches_[i].address() +
             "\"\nweight = " + std::to_string(server_weight_) + "\nstate = \"" +
             (draining ? "draining" : "in_service") + "\"\ncell = 0\n";
    }
    return out;
  }
  // False: they form no cluster, or nobody leads.
  bool start(std::size_t n, std::vector<std::size_t> voters) {
    cluster = std::make_unique<Rig>(n);
    cluster->on_step = [this] { step(); };
    clients_.resize(n);
    rig::Setup s;
    s.voters = std::move(voters), s.servers = endpoint_list(initial_servers_), s.routers = n,
    s.obligations = obligations_;
    s.alone = has_no_consensus_, s.domain = domain_;
    for (std::size_t i = 0; i < n; ++i) {
      if (has_discovery_) s.board = discovery_servers_.emplace_back().address();
      cluster->configure(i, s);
    }
    cluster->start_all();
    return cluster->until([&] { return cluster->whole(cluster->all()); }) &&
           (has_no_consensus_ || cluster->until([&] { return leader() < n; }));
  }
  struct Status {
    bool has_answered = false, is_leader = false, is_conservative = true;
    std::uint64_t active_number = 0, newer_versions = 0;
    std::string role, leader;
    double share = 0;
  };
  Status status(std::size_t i) {
    Status v;
    if (!cluster->runs(i)) return v;
    rapidjson::Document j;
    j.Parse(cluster->get(i, "/control/versions").c_str());
    if (j.HasParseError() || !j.IsObject() || !j.HasMember("acting")) return v;
    v.has_answered = true, v.is_leader = j["leads"].GetBool(),
    v.active_number = j["acting"]["number"].GetUint64();
    v.is_conservative = std::string(j["acting"]["state"].GetString()) == "careful",
    v.newer_versions = j["heard"].GetUint64();
    v.role = j["part"].GetString(), v.leader = j["leader"].GetString(),
    v.share = j["share_all"].GetDouble();
    return v;
  }
  std::size_t leader() {
    for (const auto i : cluster->all())
      if (status(i).is_leader) return i;
    return ~std::size_t{0};
  }
  // What has become of a proposal, by the answer to its call.
  std::string proposal_result(std::size_t at, const std::string& nonce) {
    return cluster->get(at, "/control/versions/proposals/" + nonce.substr(0, nonce.find('\n')));
  }
  // Number of what came in force, 0 where it was refused; `said`: the last word.
  std::uint64_t propose(std::size_t at, const std::string& which, const std::string& query = "") {
    const auto body = consensus::encode({{"servers", endpoint_list(which)}});
    const auto nonce = cluster->put(at, "/control/versions" + query, body);
    last_result.clear();
    cluster->until([&] {
      last_result = proposal_result(at, nonce);
      return last_result.starts_with("yes") || last_result.starts_with("no");
    });
    return last_result.starts_with("yes") ? std::stoull(last_result.substr(4)) : 0;
  }
  // A refusal because another was under way, or a leader's loss, is asked again.
  std::uint64_t propose_with_retries(std::size_t at, const std::string& which) {
    for (int i = 0; i < 4; ++i)
      if (const auto n = propose(at, which)) return n;
    return 0;
  }
  bool all_use(std::uint64_t number, const std::vector<std::size_t>& of) {
    for (const auto i : of) {
      const auto v = status(i);
      if (v.active_number != number || v.is_conservative) return false;
    }
    return true;
  }
  std::vector<std::size_t> all_except(std::size_t out) const {
    auto all = cluster->all();
    std::erase(all, out);
    return all;
  }

  void step() {
    const Time now = net::unix_now();
    for (auto& b : caches_) {
      b.poll();
      for (auto& c : b.commands) {
        if (c.word == "stats") loopback::Box::answer(c, "green");
        if (c.word != "fetch") continue;
        last_request_at_[&b - caches_] = now, ++requests_received_[&b - caches_];
        if (c.fields.contains("agelim")) age_limits_[c.fields["name"]] = c.fields["agelim"];
        const auto next = c.fields.find("next");
        if (next != c.fields.end() && (next->second == "s-q" || next->second == "127.0.0.1:10"))
          ++fills_from_second_parent_;
        loopback::Box::answer(c, is_cache_broken_[&b - caches_] ? "crashed" : "served", "bytes");
      }
      b.commands.clear();
    }
    for (auto& b : discovery_servers_) b.poll();
    for (std::size_t i = 0; is_sending && i < clients_.size(); ++i) {
      Client& c = clients_[i];
      if (c.socket) {
        c.socket->poll();
        const auto all = loopback::answers(c.socket->in);
        for (std::size_t k = c.seen; k < all.size(); ++k) {
          ++(all[k].error.empty() ? served_count : rejected_count);
          if (on_answer) on_answer(i, now - c.sent[all[k].id], all[k].error.empty());
        }
        c.seen = all.size();
        if (c.socket->ended || c.seen > 100) c = {};  // a client that comes and goes
      }
      if (now < c.ask_at) continue;
      c.ask_at = now + (request_interval_ ? request_interval_(i) : 15'000);
      if (!c.socket) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto at = cluster->clients(i);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) < 0) {
          ::close(fd);
          continue;
        }
        c.socket = std::make_unique<loopback::Socket>(fd);
      }
      char id[17];
      std::snprintf(id, sizeof id, "%016llx",
                    static_cast<unsigned long long>(++requests_sent_ * 0x9e3779b97f4a7c15ULL));
      c.sent[c.next + 1] = now;
      c.socket->write(
          loopback::request(static_cast<unsigned>(++c.next), "asset",
                            {{"txn", id}, {"item", id}, {"limit", "3000"}, {"ram", "90"}}));
    }
  }
  struct DiscoveryServer {  // a stand-in notice board of one router: takes its watch, says what the
                            // story
                            // says
    DiscoveryServer() { ::listen(fd = loopback::bound(at), 8), ::fcntl(fd, F_SETFL, O_NONBLOCK); }
    ~DiscoveryServer() { ::close(fd); }
    DiscoveryServer(const DiscoveryServer&) = delete;
    DiscoveryServer& operator=(const DiscoveryServer&) = delete;
    std::string address() const { return net::to_string(at); }
    void poll() {
      for (int in; (in = ::accept(fd, nullptr, nullptr)) >= 0;)
        watcher = std::make_unique<loopback::Socket>(in);
      if (watcher) watcher->poll();
    }
    bool watched() const { return watcher && watcher->in.starts_with("watch "); }
    sockaddr_in at{};
    int fd = -1;
    std::unique_ptr<loopback::Socket> watcher;
  };
  struct Client {
    std::unique_ptr<loopback::Socket> socket;
    std::size_t seen = 0;
    std::uint64_t next = 0;
    Time ask_at = 0;
    std::map<std::uint64_t, Time> sent;
  };
  std::function<void(std::size_t router, Time took, bool served)> on_answer;
  std::string initial_servers_ = "abc", obligations_, domain_;
  bool has_no_consensus_ = false;                      // no agreement: each has its own list
  std::function<Time(std::size_t)> request_interval_;  // between two requests at that router
  double server_weight_ = 4;
  std::unique_ptr<Rig> cluster;
  loopback::Box caches_[kCacheCount];
  Time last_request_at_[kCacheCount] = {};
  std::uint64_t requests_received_[kCacheCount] = {};
  bool has_discovery_ = false;
  std::deque<DiscoveryServer> discovery_servers_;  // by router
  std::map<std::string, std::string>
      age_limits_;  // items asked for with a bound on their age, in milliseconds
  std::uint64_t fills_from_second_parent_ = 0;  // fetches that name parent q as their source
  bool is_cache_broken_[kCacheCount] = {};
  std::vector<Client> clients_;
  std::uint64_t requests_sent_ = 0, served_count = 0, rejected_count = 0;
  bool is_sending = false;
  std::string last_result;
};

}  // namespace fleet

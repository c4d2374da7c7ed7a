// A fleet of processes of the program that agree on versions, with stand-in boxes that count what
// they get and clients that come and go: for stories and for measurements.
#pragma once

#include <gtest/gtest.h>

#include <deque>

#include "cluster/rig.h"
#include "consensus/version.h"
#include "loopback.h"

namespace fleet {

using namespace alderspur;
using rig::kSecond;
using rig::Rig;
using rig::Time;
constexpr Time kBound = 2 * kSecond;  // T
constexpr std::int64_t kHonest = 0, kUnsynced = 1, kSyncFails = 2, kFull = 3, kHangs = 4;

class Fleet {
 public:
  static constexpr std::size_t kBoxes = 3;
  // Which of the boxes are listed, and how; p and q: parents, which nobody plays.
  std::string servers(const std::string& which, int generation = 1) const {
    std::string out = "format = 1\ngeneration = " + std::to_string(generation) +
                      "\nservers = " + std::to_string(which.size()) +
                      "\n[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge\"\nhub = \"hub\"\n";
    for (const char c : which) {
      if (c == 'p' || c == 'q') {
        out += std::string("[[server]]\nid = \"s-") + c +
               "\"\nrole = \"parent\"\nhub = \"hub\"\naddress = \"127.0.0.1:" +
               (c == 'p' ? "9" : "10") + "\"\nweight = " + std::to_string(weight_) +
               "\nstate = \"in_service\"\ncell = 0\n";
        continue;
      }
      const bool draining = c >= 'A' && c <= 'C';
      const auto i = static_cast<std::size_t>(c - (draining ? 'A' : 'a'));
      out += "[[server]]\nid = \"s-" + std::to_string(i) +
             "\"\nrole = \"cache\"\npoint = \"edge\"\naddress = \"" + box_[i].address() +
             "\"\nweight = " + std::to_string(weight_) + "\nstate = \"" +
             (draining ? "draining" : "in_service") + "\"\ncell = 0\n";
    }
    return out;
  }
  // False: they form no cluster, or nobody leads.
  bool begin(std::size_t n, std::vector<std::size_t> voters) {
    r = std::make_unique<Rig>(n);
    r->on_step = [this] { step(); };
    clients_.resize(n);
    rig::Setup s;
    s.voters = std::move(voters), s.servers = servers(first_), s.routers = n,
    s.obligations = obligations_;
    s.alone = alone_, s.domain = domain_;
    for (std::size_t i = 0; i < n; ++i) {
      if (with_boards_) s.board = boards_.emplace_back().address();
      r->configure(i, s);
    }
    r->start_all();
    return r->until([&] { return r->whole(r->all()); }) &&
           (alone_ || r->until([&] { return leader() < n; }));
  }
  struct View {
    bool answered = false, leads = false, careful = true;
    std::uint64_t acting = 0, heard = 0;
    std::string part, leader;
    double share = 0;
  };
  View view(std::size_t i) {
    View v;
    if (!r->runs(i)) return v;
    rapidjson::Document j;
    j.Parse(r->get(i, "/control/versions").c_str());
    if (j.HasParseError() || !j.IsObject() || !j.HasMember("acting")) return v;
    v.answered = true, v.leads = j["leads"].GetBool(), v.acting = j["acting"]["number"].GetUint64();
    v.careful = std::string(j["acting"]["state"].GetString()) == "careful",
    v.heard = j["heard"].GetUint64();
    v.part = j["part"].GetString(), v.leader = j["leader"].GetString(),
    v.share = j["share_all"].GetDouble();
    return v;
  }
  std::size_t leader() {
    for (const auto i : r->all())
      if (view(i).leads) return i;
    return ~std::size_t{0};
  }
  // What has become of a proposal, by the answer to its call.
  std::string word_on(std::size_t at, const std::string& nonce) {
    return r->get(at, "/control/versions/proposals/" + nonce.substr(0, nonce.find('\n')));
  }
  // Number of what came in force, 0 where it was refused; `said`: the last word.
  std::uint64_t propose(std::size_t at, const std::string& which, const std::string& query = "") {
    const auto body = consensus::encode({{"servers", servers(which)}});
    const auto nonce = r->put(at, "/control/versions" + query, body);
    said.clear();
    r->until([&] {
      said = word_on(at, nonce);
      return said.starts_with("yes") || said.starts_with("no");
    });
    return said.starts_with("yes") ? std::stoull(said.substr(4)) : 0;
  }
  // A refusal because another was under way, or a leader's loss, is asked again.
  std::uint64_t propose_until(std::size_t at, const std::string& which) {
    for (int i = 0; i < 4; ++i)
      if (const auto n = propose(at, which)) return n;
    return 0;
  }
  bool all_act(std::uint64_t number, const std::vector<std::size_t>& of) {
    for (const auto i : of) {
      const auto v = view(i);
      if (v.acting != number || v.careful) return false;
    }
    return true;
  }
  std::vector<std::size_t> but(std::size_t out) const {
    auto all = r->all();
    std::erase(all, out);
    return all;
  }

  void step() {
    const Time now = net::unix_now();
    for (auto& b : box_) {
      b.poll();
      for (auto& c : b.commands) {
        if (c.word == "stats") loopback::Box::answer(c, "green");
        if (c.word != "fetch") continue;
        last_[&b - box_] = now, ++got_[&b - box_];
        if (c.fields.contains("agelim")) limited_[c.fields["name"]] = c.fields["agelim"];
        const auto next = c.fields.find("next");
        if (next != c.fields.end() && (next->second == "s-q" || next->second == "127.0.0.1:10"))
          ++filled_by_q_;
        loopback::Box::answer(c, broken_[&b - box_] ? "crashed" : "served", "bytes");
      }
      b.commands.clear();
    }
    for (auto& b : boards_) b.poll();
    for (std::size_t i = 0; loading && i < clients_.size(); ++i) {
      Client& c = clients_[i];
      if (c.socket) {
        c.socket->poll();
        const auto all = loopback::answers(c.socket->in);
        for (std::size_t k = c.seen; k < all.size(); ++k) {
          ++(all[k].error.empty() ? served : refused);
          if (on_answer) on_answer(i, now - c.sent[all[k].id], all[k].error.empty());
        }
        c.seen = all.size();
        if (c.socket->ended || c.seen > 100) c = {};  // a client that comes and goes
      }
      if (now < c.ask_at) continue;
      c.ask_at = now + (every_ ? every_(i) : 15'000);
      if (!c.socket) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto at = r->clients(i);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) < 0) {
          ::close(fd);
          continue;
        }
        c.socket = std::make_unique<loopback::Socket>(fd);
      }
      char id[17];
      std::snprintf(id, sizeof id, "%016llx",
                    static_cast<unsigned long long>(++asked_ * 0x9e3779b97f4a7c15ULL));
      c.sent[c.next + 1] = now;
      c.socket->write(
          loopback::request(static_cast<unsigned>(++c.next), "asset",
                            {{"txn", id}, {"item", id}, {"limit", "3000"}, {"ram", "90"}}));
    }
  }
  struct Board {  // a stand-in notice board of one router: takes its watch, says what the story
                  // says
    Board() { ::listen(fd = loopback::bound(at), 8), ::fcntl(fd, F_SETFL, O_NONBLOCK); }
    ~Board() { ::close(fd); }
    Board(const Board&) = delete;
    Board& operator=(const Board&) = delete;
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
  std::string first_ = "abc", obligations_, domain_;
  bool alone_ = false;                      // no agreement: each has its own list
  std::function<Time(std::size_t)> every_;  // between two requests at that router
  double weight_ = 4;
  std::unique_ptr<Rig> r;
  loopback::Box box_[kBoxes];
  Time last_[kBoxes] = {};
  std::uint64_t got_[kBoxes] = {};
  bool with_boards_ = false;
  std::deque<Board> boards_;  // by router
  std::map<std::string, std::string>
      limited_;                    // items asked for with a bound on their age, in milliseconds
  std::uint64_t filled_by_q_ = 0;  // fetches that name parent q as their source
  bool broken_[kBoxes] = {};
  std::vector<Client> clients_;
  std::uint64_t asked_ = 0, served = 0, refused = 0;
  bool loading = false;
  std::string said;
};

}  // namespace fleet

// Watched lists in service: a writer that injects faults, stand-in caches that count, and a router
// in between.
#include <gtest/gtest.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <utime.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "control/endpoint_controller.h"
#include "endpoints/list.h"
#include "store/endpoint_state.h"
#include "support/fake_cache.h"
#include "support/rpc_messages.h"
#include "support/test_socket.h"

namespace {

using namespace alderspur;
namespace fs = std::filesystem;
using loopback::FakeCache;

// Three boxes and an origin; a router whose servers come from a watched path; a client that asks
// all the time.
class WatchedListTest : public ::testing::Test {
 protected:
  static constexpr core::Time kWithin = 1'000'000;

  void SetUp() override {
    char name[] = "/tmp/alderspur-watch-XXXXXX";
    folder = ::mkdtemp(name);
    path = folder + "/servers.toml";
    settings.list = path;
    settings.endpoint_set.damping.is_enabled = false;
    settings.change_limits.max_lost_fraction = 0.7;
  }
  void TearDown() override {
    stop();
    ::chmod(path.c_str(), 0600);
    fs::remove_all(folder);
  }
  struct Entry {
    std::string id;
    const FakeCache* box;
    std::string state = "in_service", address = {};
  };
  std::string list(std::uint64_t generation, const std::vector<Entry>& entries,
                   const std::string& head = "") {
    std::string t = "format = 1\ngeneration = " + std::to_string(generation) +
                    "\nservers = " + std::to_string(entries.size() + 1) + "\n" + head +
                    "[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge\"\nhub = \"hub\"\n";
    for (const auto& e : entries) t += server(e, "cache", "point = \"edge\"");
    return t + server({"o", &origin, "in_service", {}}, "origin", "hub = \"hub\"");
  }
  static std::string server(const Entry& e, const char* role, const char* place) {
    return "[[server]]\nid = \"" + e.id + "\"\nrole = \"" + role + "\"\n" + place +
           "\naddress = \"" + (e.address.empty() ? e.box->address() : e.address) +
           "\"\nweight = 4.0\nstate = \"" + e.state + "\"\ncell = 0\n";
  }
  static void write(const std::string& to, const std::string& text) {
    std::ofstream(to, std::ios::binary | std::ios::trunc) << text;
  }
  void rename_in(const std::string& text) {
    write(path + ".next", text);
    fs::rename(path + ".next", path);
  }

  std::string notices;  // what the board knows from the start, where a story has one
  void start() {
    auto config = config::read(
        R"({"name":"n","seed":"7","listen":"127.0.0.1:0","known":{"rev":1,"notices":[)" + notices +
        R"(]},"settings":{"azs":["hub","edge"],"zone":1,"shapes":["small","origin"],"replicas-of-me":1,
      "ceilings":{"dial-timeout":5000000,"idle-close":30000000,"max-attempts":4,"may-cancel":true,
        "streams-per-conn":32},
      "classes":[{"name":"asset","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"}],
      "domain":{"lifetime-by-class":[60000000],"stale-for":[0],"uncached":[false],"source-kind":1,
        "upper-kind":-1,"instances-by-zone":[0,1],"purge-settles":6000000,"stream-kb-per-s":9000}}})");
    log = std::make_unique<log::Log>(log::Settings{},
                                     [this](const std::string& l) { lines.push_back(l); });
    node = std::make_unique<edge_router::EdgeRouter>(
        std::move(config), [](auto&, auto&) {},
        [&](edge_router::EdgeRouter& n) {
          auto made = std::make_unique<control::EndpointController>(n, settings, *log);
          controller = made.get();
          return made;
        });
    controller->start();
    node->loop().on_turn([this] { node->turn(); });
    client = loopback::connect_to(node->front().address());
  }
  void stop() {
    client.reset();
    if (controller) controller->finish();
    controller = nullptr;
    node.reset();
    log.reset();
  }
  // Runs everybody, with requests for ever new objects under way, until it holds.
  bool until(const std::function<bool()>& holds, core::Time most = 20'000'000) {
    for (const core::Time end = net::unix_now() + most; net::unix_now() < end;) {
      ev_run(node->loop().raw(), EVRUN_NOWAIT);
      play();
      if (holds()) return true;
      ::usleep(200);
    }
    return false;
  }
  void for_a_while(core::Time time) {
    until([] { return false; }, time);
  }
  void play() {
    client->poll();
    // Served, or refused by the module's door while it learns what the boxes can do.
    for (const std::string mark : {"bytes of", "Busy"}) {
      for (auto at = client->received.find(mark); at != std::string::npos;
           at = client->received.find(mark)) {
        client->received.replace(at, mark.size(), mark.size(), '#'), ++answered;
      }
    }
    if (client->received.size() > 4096) client->received.erase(0, client->received.size() - 64);
    if (asking && asked - answered < 8 && net::unix_now() > next_ask) {
      ++asked;
      next_ask = net::unix_now() + 1'000;
      char txn[17];
      char item[17];
      std::snprintf(txn, sizeof txn, "%016zx", asked);
      std::snprintf(item, sizeof item, "%016zx", asked * 7919);
      client->write(loopback::encode_request(static_cast<unsigned>(asked), "asset",
                                             {{"txn", txn}, {"item", item}}));
    }
    for (auto* b : {&box[0], &box[1], &box[2], &origin, &stranger}) {
      b->poll();
      for (; served[b] < b->commands.size(); ++served[b]) {
        const auto& c = b->commands[served[b]];
        if (c.verb == "fetch") {
          FakeCache::respond(c, "served", "bytes of " + c.id, loopback::fresh_copy_fields("t"));
        }
      }
    }
  }
  // Each request has its one answer: nothing was lost and nothing came twice.
  void all_answered() {
    asking = false;
    EXPECT_TRUE(until([&] { return answered == asked; })) << answered << " of " << asked;
    for_a_while(100'000);
    EXPECT_EQ(answered, asked);
    asking = true;
  }
  bool logged(const std::string& what) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](auto& l) { return l.find(what) != std::string::npos; });
  }
  bool in_force(std::uint64_t generation) {
    return controller->endpoints().current_list()->generation == generation;
  }
  // The change acts within a second: by the log's figures and by the first request to the box.
  core::Time change(const std::function<void()>& what, std::uint64_t generation) {
    const core::Time begun = net::unix_now();
    what();
    EXPECT_TRUE(until([&] { return in_force(generation); }))
        << generation << (lines.empty() ? "" : lines.back());
    return net::unix_now() - begun;
  }

  std::string folder, path;
  settings::Membership settings;
  FakeCache box[3], origin, stranger;  // the stranger is named by refused files only
  std::unique_ptr<log::Log> log;
  std::unique_ptr<edge_router::EdgeRouter> node;
  control::EndpointController* controller = nullptr;
  std::unique_ptr<loopback::TestSocket> client;
  std::vector<std::string> lines;
  std::map<FakeCache*, std::size_t> served;
  bool asking = true;
  std::size_t asked = 0, answered = 0;
  core::Time next_ask = 0;
};

TEST_F(WatchedListTest, AppliesValidListWithinASecondHoweverItIsWritten) {
  const auto of = [&](std::uint64_t g) {
    return list(g, {{"a", &box[0]}, {"b", &box[1], g % 2 ? "in_service" : "draining"}});
  };
  fs::create_directories(folder + "/v1");
  fs::create_directories(folder + "/v2");
  fs::create_directory_symlink("v1", folder + "/now");
  settings.list = path = folder + "/now/servers.toml";
  write(path, of(1));
  start();
  EXPECT_TRUE(in_force(1));
  EXPECT_LT(change([&] { rename_in(of(2)); }, 2), kWithin);
  EXPECT_LT(change([&] { write(path, of(3)); }, 3), kWithin) << "in place";
  EXPECT_LT(change(
                [&] {
                  write(folder + "/v2/servers.toml", of(4));
                  fs::create_directory_symlink("v2", folder + "/now.next");
                  fs::rename(folder + "/now.next", folder + "/now");
                },
                4),
            kWithin)
      << "a parent is swapped";
  EXPECT_LT(change(
                [&] {
                  fs::rename(folder + "/v2", folder + "/v9");
                  for_a_while(200'000);
                  fs::create_directories(folder + "/v2");
                  write(folder + "/v2/servers.toml", of(5));
                },
                5),
            kWithin + 200'000)
      << "gone and back";
  EXPECT_LT(change(
                [&] {
                  // The same size and the same mtime: only the ctime tells.
                  struct stat is {};
                  ::stat(path.c_str(), &is);
                  write(path, of(6) + std::string());
                  const utimbuf then{is.st_atime, is.st_mtime};
                  ::utime(path.c_str(), &then);
                },
                6),
            kWithin)
      << "mtime standing still";
  EXPECT_LT(change(
                [&] {
                  fs::rename(path, folder + "/v2/real");
                  write(folder + "/v2/real", of(7));
                  fs::create_symlink("real", path);
                },
                7),
            kWithin)
      << "the file is a symlink";
  EXPECT_LT(change([&] { std::thread([&] { rename_in(of(8)); }).join(); }, 8), kWithin);
  EXPECT_LE(controller->counters().lists_rejected, 1u) << "while the directory was gone";
  all_answered();
}

TEST_F(WatchedListTest, SendsNothingToServersOfRejectedLists) {
  const auto good = list(1, {{"a", &box[0]}, {"b", &box[1]}});
  rename_in(good);
  start();
  ASSERT_TRUE(until([&] { return answered > 20; }));
  const auto with = list(2, {{"a", &box[0]}, {"b", &box[1]}, {"x", &stranger}});
  // Cut at every line, in place, each left long enough to be judged.
  std::size_t cuts = 0;
  for (std::size_t at = with.find('\n'); at + 1 < with.size();
       at = with.find('\n', at + 1), ++cuts) {
    write(path, with.substr(0, at + 1));
    if (cuts % 4 == 0) for_a_while(90'000);
  }
  const std::vector<std::pair<const char*, std::string>> bad = {
      {"an id twice", list(3, {{"a", &box[0]}, {"a", &stranger}})},
      {"an address twice", list(3, {{"a", &box[0]}, {"b", &box[0]}, {"x", &stranger}})},
      {"generation back", list(0, {{"a", &box[0]}, {"x", &stranger}})},
      {"the point emptied", list(3, {{"x", &stranger, "draining"}})},
      {"reused", list(1, {{"a", &box[0]}, {"b", &box[1]}, {"x", &stranger}})},
      {"noise", std::string("\xff\xfe\x00[[server]]\n\x00", 15)},
      {"unknown keys", with + "colour = \"red\"\n"},
      {"an unknown zone",
       [&] {
         auto t = with;
         for (std::size_t i; (i = t.find("\"edge\"")) != std::string::npos;) {
           t.replace(i, 6, "\"egde\"");
         }
         return t;
       }()},
  };
  for (const auto& [name, text] : bad) {
    const auto before = controller->counters().lists_rejected;
    rename_in(text);
    EXPECT_TRUE(until([&] { return controller->counters().lists_rejected > before; })) << name;
  }
  // The same refused content written anew is counted, and told once.
  const auto told = lines.size();
  rename_in(bad[0].second);
  ASSERT_TRUE(until([&] { return lines.size() > told; }));
  for_a_while(700'000);  // no longer so young that its date could hide a change
  const auto refused = controller->counters().lists_rejected;
  rename_in(bad[0].second);
  ASSERT_TRUE(until([&] { return controller->counters().lists_rejected > refused; }));
  EXPECT_EQ(lines.size(), told + 1);
  // Byte by byte, with pauses in which the half of it settles.
  {
    std::ofstream slow(path, std::ios::binary | std::ios::trunc);
    for (std::size_t i = 0; i < with.size() / 2; ++i) {
      slow << with[i] << std::flush;
      if (i % 40 == 0) for_a_while(10'000);
    }
  }
  for_a_while(300'000);
  // Two writers in place at once.
  for (int i = 0; i < 10; ++i) {
    std::thread one([&] { write(path, with.substr(0, with.size() / 3)); });
    std::thread two([&] { write(path, good.substr(0, good.size() / 2)); });
    one.join(), two.join();
    for_a_while(20'000);
  }
  fs::remove(path);
  for_a_while(200'000);
  fs::create_directory(path);  // something else in its place
  for_a_while(200'000);
  fs::remove(path);
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0) << "a reader must not wait for a writer";
  for_a_while(200'000);
  fs::remove(path);
  EXPECT_TRUE(in_force(1));
  EXPECT_TRUE(stranger.connections.empty()) << "not so much as a connect";
  EXPECT_TRUE(logged("event=list_refused"));
  // And a good one after all of that acts at once.
  EXPECT_LT(change(
                [&] {
                  rename_in(list(4, {{"a", &box[0]}, {"b", &box[1]}, {"c", &box[2]}}));
                },
                4),
            kWithin);
  all_answered();
}

TEST_F(WatchedListTest, SendsNothingNewToDrainedOrRemovedServers) {
  settings.change_limits.max_lost_fraction = 1;
  rename_in(list(1, {{"a", &box[0]}, {"b", &box[1]}, {"c", &box[2]}}));
  start();
  ASSERT_TRUE(until([&] {
    return box[0].count("fetch") > 3 && box[1].count("fetch") > 3 && box[2].count("fetch") > 3;
  }));
  // Taken back, handed on: the address of b goes to a new id.
  EXPECT_LT(change(
                [&] {
                  rename_in(list(2, {{"a", &box[0]}, {"b", &box[1], "draining"}, {"c", &box[2]}}));
                },
                2),
            kWithin);
  for_a_while(50'000);
  const auto drained = box[1].count("fetch");
  for_a_while(500'000);
  EXPECT_EQ(box[1].count("fetch"), drained);
  EXPECT_LT(change(
                [&] {
                  rename_in(list(3, {{"a", &box[0]}, {"new", &box[1]}, {"c", &box[2]}}));
                },
                3),
            kWithin);
  EXPECT_TRUE(until([&] { return box[1].count("fetch") > drained; }))
      << "the address serves under its new id";
  EXPECT_LT(change([&] { rename_in(list(4, {{"a", &box[0]}, {"new", &box[1]}})); }, 4), kWithin);
  for_a_while(50'000);
  const auto removed = box[2].count("fetch");
  for_a_while(500'000);
  EXPECT_EQ(box[2].count("fetch"), removed);
  all_answered();
}

TEST_F(WatchedListTest, AppliesDirectoryOnlyWhenComplete) {
  settings.list = folder + "/servers.d";
  fs::create_directories(settings.list);
  const auto piece = [&](const std::vector<Entry>& e) {
    std::string t;
    for (const auto& x : e) t += server(x, "cache", "point = \"edge\"");
    return t;
  };
  const auto manifest = [&](std::uint64_t g, const std::vector<std::string>& texts, std::size_t n) {
    auto t = list(g, {});
    t = t.substr(0, t.find("[[server]]"));
    t.replace(t.find("servers = 1"), 11, "servers = " + std::to_string(n));
    for (std::size_t i = 0; i < texts.size(); ++i) {
      t += "[[piece]]\nfile = \"p" + std::to_string(i) + ".toml\"\ndigest = \"" +
           endpoints::format_digest(endpoints::compute_digest(texts[i])) + "\"\n";
    }
    return t;
  };
  const auto put = [&](const std::string& name, const std::string& text) {
    write(settings.list + "/" + name, text);
  };
  const auto o = server({"o", &origin, "in_service", {}}, "origin", "hub = \"hub\"");
  std::vector<std::string> texts = {piece({{"a", &box[0]}}), piece({{"b", &box[1]}}) + o};
  put("p0.toml", texts[0]), put("p1.toml", texts[1]), put("manifest.toml", manifest(1, texts, 3));
  start();
  EXPECT_TRUE(in_force(1));
  // The manifest first: refused until its pieces are there.
  texts[0] = piece({{"a", &box[0]}, {"c", &box[2]}});
  put("manifest.toml", manifest(2, texts, 4));
  EXPECT_TRUE(until([&] { return controller->counters().lists_rejected > 0; }));
  EXPECT_TRUE(in_force(1));
  EXPECT_LT(change([&] { put("p0.toml", texts[0]); }, 2), kWithin);
  put("p1.toml", texts[1].substr(0, 20));
  for_a_while(200'000);
  EXPECT_TRUE(in_force(2));
  all_answered();
}

TEST_F(WatchedListTest, KeepsLastValidListThroughARestart) {
  settings.state_directory = folder + "/state";
  rename_in(list(5, {{"a", &box[0]}, {"b", &box[1]}}));
  start();
  stop();
  write(path, "format = 1\ngeneration");
  start();
  EXPECT_TRUE(in_force(5)) << "from the state";
  EXPECT_TRUE(logged("event=started_from_state generation=5"));
  ASSERT_TRUE(until([&] { return answered > 5; }));
  // What was in force before the restart still binds: no going back, and whoever is new is cold.
  rename_in(list(4, {{"a", &box[0]}, {"b", &box[1]}}));
  EXPECT_TRUE(until([&] { return logged("L020"); }));
  EXPECT_LT(change(
                [&] {
                  rename_in(list(6, {{"a", &box[0]}, {"b", &box[1]}, {"c", &box[2]}}));
                },
                6),
            kWithin);
  stop();
  const auto kept = store::load_endpoint_state(settings.state_directory + "/membership.state");
  ASSERT_TRUE(kept.state) << to_string(*kept.error);
  EXPECT_EQ(kept.state->list->generation, 6u);
  ASSERT_EQ(kept.state->remembered.size(), 1u) << "c is new, so cold";
  fs::remove(path);
  settings.max_state_age = 1;
  EXPECT_THROW(start(), config::Error) << "too old to start from";
  controller = nullptr;
  fs::remove_all(settings.state_directory);
  EXPECT_THROW(start(), config::Error) << "nothing at all to start from";
  controller = nullptr;
}

// The watching threads run without the right to read what only root may: theirs alone, by the raw
// system call.
TEST_F(WatchedListTest, KeepsListWhenFileBecomesUnreadable) {
  if (::geteuid() != 0) GTEST_SKIP() << "needs the right to become somebody else";
  rename_in(list(1, {{"a", &box[0]}}));
  fs::permissions(folder, fs::perms{0755});
  ::syscall(SYS_setresuid, -1, 65534, -1);
  start();
  ::syscall(SYS_setresuid, -1, 0, -1);
  ::chmod(path.c_str(), 0000);
  EXPECT_TRUE(until([&] { return logged("Permission denied"); }));
  EXPECT_TRUE(in_force(1));
  EXPECT_LT(change([&] { rename_in(list(2, {{"a", &box[0]}, {"b", &box[1]}})); }, 2), kWithin);
  all_answered();
}

TEST_F(WatchedListTest, SendsNothingToServersThatOnlyTheFileLists) {
  const auto member = [](const char* id, const FakeCache& b, const char* zone, const char* kind) {
    return R"({"id":")" + std::string(id) + R"(","host_port":")" + b.address() +
           R"(","locality":")" + zone + R"(","flavor":")" + kind +
           R"(","cell":0,"phase":"in_service","size":4,"up_since_ms":0})";
  };
  notices = R"({"rev":1,"pool":{"complete":true,"members":[)" +
            member("a", box[0], "edge", "small") + "," + member("b", box[1], "edge", "small") +
            "," + member("o", origin, "hub", "origin") + "]}}";
  settings.endpoint_set.authority = endpoints::Authority::both;
  rename_in(list(1, {{"a", &box[0]}, {"b", &box[1]}, {"x", &stranger}}));
  start();
  ASSERT_TRUE(until([&] { return box[0].count("fetch") > 3 && box[1].count("fetch") > 3; }));
  EXPECT_LT(
      change(
          [&] {
            rename_in(list(2, {{"a", &box[0], "draining"}, {"b", &box[1]}, {"x", &stranger}}));
          },
          2),
      kWithin);
  for_a_while(50'000);
  const auto drained = box[0].count("fetch");
  for_a_while(300'000);
  EXPECT_EQ(box[0].count("fetch"), drained)
      << "the files' drain holds though the board says in service";
  EXPECT_TRUE(stranger.connections.empty());
  all_answered();
}

TEST_F(WatchedListTest, PollsPathWhenInotifyIsUnavailable) {
  settings.poll_interval = 100'000;
  rename_in(list(1, {{"a", &box[0]}}));
  // No inotify instance is to be had for this process: all its descriptors of that kind are taken.
  std::vector<net::Fd> taken;
  for (int i = 0; i < 4096; ++i) {
    net::Fd fd(::inotify_init1(IN_CLOEXEC));
    if (fd.get() < 0) break;
    taken.push_back(std::move(fd));
  }
  ASSERT_LT(taken.size(), 4096u);
  start();
  taken.clear();
  EXPECT_LT(change([&] { rename_in(list(2, {{"a", &box[0]}, {"b", &box[1]}})); }, 2), kWithin);
}

}  // namespace

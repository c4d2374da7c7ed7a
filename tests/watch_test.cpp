// Tests the watched server list of a running router. The tests write valid and faulty lists while a
// client sends requests, and fake caches count the requests that they receive.
#include <gtest/gtest.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <utime.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "endpoints/list.h"
#include "store/endpoint_state.h"
#include "support/watched_list_fixture.h"

namespace {

using namespace watched_list;

TEST_F(WatchedListTest, AppliesValidListWithinASecondHoweverItIsWritten) {
  const auto list_of_generation = [&](std::uint64_t generation) {
    return list(generation,
                {{"a", &caches[0]}, {"b", &caches[1], generation % 2 ? "in_service" : "draining"}});
  };
  fs::create_directories(folder + "/v1");
  fs::create_directories(folder + "/v2");
  fs::create_directory_symlink("v1", folder + "/now");
  settings.list = path = folder + "/now/servers.toml";
  write(path, list_of_generation(1));
  start();
  EXPECT_TRUE(is_active(1));
  EXPECT_LT(time_until_active([&] { replace_list(list_of_generation(2)); }, 2), kMaxDelay);
  EXPECT_LT(time_until_active([&] { write(path, list_of_generation(3)); }, 3), kMaxDelay)
      << "written in place";
  EXPECT_LT(time_until_active(
                [&] {
                  write(folder + "/v2/servers.toml", list_of_generation(4));
                  fs::create_directory_symlink("v2", folder + "/now.next");
                  fs::rename(folder + "/now.next", folder + "/now");
                },
                4),
            kMaxDelay)
      << "a parent directory is replaced";
  EXPECT_LT(time_until_active(
                [&] {
                  fs::rename(folder + "/v2", folder + "/v9");
                  run_for(200'000);
                  fs::create_directories(folder + "/v2");
                  write(folder + "/v2/servers.toml", list_of_generation(5));
                },
                5),
            kMaxDelay + 200'000)
      << "the directory is temporarily absent";
  EXPECT_LT(time_until_active(
                [&] {
                  // The new file has the same size and mtime; only the ctime differs.
                  struct stat before {};
                  ::stat(path.c_str(), &before);
                  write(path, list_of_generation(6) + std::string());
                  const utimbuf then{before.st_atime, before.st_mtime};
                  ::utime(path.c_str(), &then);
                },
                6),
            kMaxDelay)
      << "the mtime is unchanged";
  EXPECT_LT(time_until_active(
                [&] {
                  fs::rename(path, folder + "/v2/real");
                  write(folder + "/v2/real", list_of_generation(7));
                  fs::create_symlink("real", path);
                },
                7),
            kMaxDelay)
      << "the file is a symlink";
  EXPECT_LT(time_until_active(
                [&] { std::thread([&] { replace_list(list_of_generation(8)); }).join(); }, 8),
            kMaxDelay);
  EXPECT_LE(controller->counters().lists_rejected, 1u) << "only while the directory was absent";
  expect_all_responses();
}

TEST_F(WatchedListTest, SendsNothingToServersOfRejectedLists) {
  const auto good = list(1, {{"a", &caches[0]}, {"b", &caches[1]}});
  replace_list(good);
  start();
  ASSERT_TRUE(run_until([&] { return responses > 20; }));
  const auto with_unlisted = list(2, {{"a", &caches[0]}, {"b", &caches[1]}, {"x", &unlisted}});
  // Writes the list in place, truncated after each line. Some versions stay long enough to be
  // checked.
  std::size_t cuts = 0;
  for (std::size_t at = with_unlisted.find('\n'); at + 1 < with_unlisted.size();
       at = with_unlisted.find('\n', at + 1), ++cuts) {
    write(path, with_unlisted.substr(0, at + 1));
    if (cuts % 4 == 0) run_for(90'000);
  }
  const std::vector<std::pair<const char*, std::string>> bad = {
      {"duplicate id", list(3, {{"a", &caches[0]}, {"a", &unlisted}})},
      {"duplicate address", list(3, {{"a", &caches[0]}, {"b", &caches[0]}, {"x", &unlisted}})},
      {"lower generation", list(0, {{"a", &caches[0]}, {"x", &unlisted}})},
      {"location without caches", list(3, {{"x", &unlisted, "draining"}})},
      {"reused generation", list(1, {{"a", &caches[0]}, {"b", &caches[1]}, {"x", &unlisted}})},
      {"noise", std::string("\xff\xfe\x00[[server]]\n\x00", 15)},
      {"unknown keys", with_unlisted + "colour = \"red\"\n"},
      {"unknown location",
       [&] {
         auto text = with_unlisted;
         for (std::size_t at; (at = text.find("\"edge\"")) != std::string::npos;) {
           text.replace(at, 6, "\"egde\"");
         }
         return text;
       }()},
  };
  for (const auto& [name, text] : bad) {
    const auto before = controller->counters().lists_rejected;
    replace_list(text);
    EXPECT_TRUE(run_until([&] { return controller->counters().lists_rejected > before; })) << name;
  }
  // A rejected list that is written again with the same content is counted again, but not logged
  // again.
  const auto logged_before = lines.size();
  replace_list(bad[0].second);
  ASSERT_TRUE(run_until([&] { return lines.size() > logged_before; }));
  run_for(700'000);  // until the file is old enough that its mtime reveals every change
  const auto rejected = controller->counters().lists_rejected;
  replace_list(bad[0].second);
  ASSERT_TRUE(run_until([&] { return controller->counters().lists_rejected > rejected; }));
  EXPECT_EQ(lines.size(), logged_before + 1);
  // Writes the first half of the list byte by byte, with pauses.
  {
    std::ofstream slow(path, std::ios::binary | std::ios::trunc);
    for (std::size_t i = 0; i < with_unlisted.size() / 2; ++i) {
      slow << with_unlisted[i] << std::flush;
      if (i % 40 == 0) run_for(10'000);
    }
  }
  run_for(300'000);
  // Two writers write in place at the same time.
  for (int i = 0; i < 10; ++i) {
    std::thread one([&] { write(path, with_unlisted.substr(0, with_unlisted.size() / 3)); });
    std::thread two([&] { write(path, good.substr(0, good.size() / 2)); });
    one.join();
    two.join();
    run_for(20'000);
  }
  fs::remove(path);
  run_for(200'000);
  fs::create_directory(path);  // a directory instead of the file
  run_for(200'000);
  fs::remove(path);
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0)
      << "the watcher must not wait for a writer of the FIFO";
  run_for(200'000);
  fs::remove(path);
  EXPECT_TRUE(is_active(1));
  EXPECT_TRUE(unlisted.connections.empty()) << "the router must not even connect";
  EXPECT_TRUE(has_logged("event=list_refused"));
  // A valid list is still applied without delay after all these faults.
  EXPECT_LT(time_until_active(
                [&] {
                  replace_list(list(4, {{"a", &caches[0]}, {"b", &caches[1]}, {"c", &caches[2]}}));
                },
                4),
            kMaxDelay);
  expect_all_responses();
}

TEST_F(WatchedListTest, SendsNothingNewToDrainedOrRemovedServers) {
  settings.change_limits.max_lost_fraction = 1;
  replace_list(list(1, {{"a", &caches[0]}, {"b", &caches[1]}, {"c", &caches[2]}}));
  start();
  ASSERT_TRUE(run_until([&] {
    return caches[0].count("fetch") > 3 && caches[1].count("fetch") > 3 &&
           caches[2].count("fetch") > 3;
  }));
  // Server b is drained; then a server with a new id takes over its address.
  EXPECT_LT(time_until_active(
                [&] {
                  replace_list(list(
                      2, {{"a", &caches[0]}, {"b", &caches[1], "draining"}, {"c", &caches[2]}}));
                },
                2),
            kMaxDelay);
  run_for(50'000);
  const auto drained = caches[1].count("fetch");
  run_for(500'000);
  EXPECT_EQ(caches[1].count("fetch"), drained);
  EXPECT_LT(
      time_until_active(
          [&] {
            replace_list(list(3, {{"a", &caches[0]}, {"new", &caches[1]}, {"c", &caches[2]}}));
          },
          3),
      kMaxDelay);
  EXPECT_TRUE(run_until([&] { return caches[1].count("fetch") > drained; }))
      << "the address must receive requests under its new id";
  EXPECT_LT(time_until_active(
                [&] {
                  replace_list(list(4, {{"a", &caches[0]}, {"new", &caches[1]}}));
                },
                4),
            kMaxDelay);
  run_for(50'000);
  const auto removed = caches[2].count("fetch");
  run_for(500'000);
  EXPECT_EQ(caches[2].count("fetch"), removed);
  expect_all_responses();
}

TEST_F(WatchedListTest, AppliesDirectoryOnlyWhenComplete) {
  settings.list = folder + "/servers.d";
  fs::create_directories(settings.list);
  const auto piece = [&](const std::vector<Entry>& entries) {
    std::string text;
    for (const auto& entry : entries) text += server(entry, "cache", "point = \"edge\"");
    return text;
  };
  const auto manifest = [&](std::uint64_t generation, const std::vector<std::string>& pieces,
                            std::size_t server_count) {
    auto text = list(generation, {});
    text = text.substr(0, text.find("[[server]]"));
    text.replace(text.find("servers = 1"), 11, "servers = " + std::to_string(server_count));
    for (std::size_t i = 0; i < pieces.size(); ++i) {
      text += "[[piece]]\nfile = \"p" + std::to_string(i) + ".toml\"\ndigest = \"" +
              endpoints::format_digest(endpoints::compute_digest(pieces[i])) + "\"\n";
    }
    return text;
  };
  const auto put = [&](const std::string& name, const std::string& text) {
    write(settings.list + "/" + name, text);
  };
  const auto origin_entry = server({"o", &origin, "in_service", {}}, "origin", "hub = \"hub\"");
  std::vector<std::string> texts = {piece({{"a", &caches[0]}}),
                                    piece({{"b", &caches[1]}}) + origin_entry};
  put("p0.toml", texts[0]);
  put("p1.toml", texts[1]);
  put("manifest.toml", manifest(1, texts, 3));
  start();
  EXPECT_TRUE(is_active(1));
  // The manifest is written first, so it is rejected until all its pieces are present.
  texts[0] = piece({{"a", &caches[0]}, {"c", &caches[2]}});
  put("manifest.toml", manifest(2, texts, 4));
  EXPECT_TRUE(run_until([&] { return controller->counters().lists_rejected > 0; }));
  EXPECT_TRUE(is_active(1));
  EXPECT_LT(time_until_active([&] { put("p0.toml", texts[0]); }, 2), kMaxDelay);
  put("p1.toml", texts[1].substr(0, 20));
  run_for(200'000);
  EXPECT_TRUE(is_active(2));
  expect_all_responses();
}

TEST_F(WatchedListTest, KeepsLastValidListThroughARestart) {
  settings.state_directory = folder + "/state";
  replace_list(list(5, {{"a", &caches[0]}, {"b", &caches[1]}}));
  start();
  stop();
  write(path, "format = 1\ngeneration");
  start();
  EXPECT_TRUE(is_active(5)) << "started from the stored state";
  EXPECT_TRUE(has_logged("event=started_from_state generation=5"));
  ASSERT_TRUE(run_until([&] { return responses > 5; }));
  // The list that was active before the restart still counts: a lower generation is rejected, and a
  // new server is in slow start.
  replace_list(list(4, {{"a", &caches[0]}, {"b", &caches[1]}}));
  EXPECT_TRUE(run_until([&] { return has_logged("L020"); }));
  EXPECT_LT(time_until_active(
                [&] {
                  replace_list(list(6, {{"a", &caches[0]}, {"b", &caches[1]}, {"c", &caches[2]}}));
                },
                6),
            kMaxDelay);
  stop();
  const auto saved = store::load_endpoint_state(settings.state_directory + "/membership.state");
  ASSERT_TRUE(saved.state) << to_string(*saved.error);
  EXPECT_EQ(saved.state->list->generation, 6u);
  ASSERT_EQ(saved.state->remembered.size(), 1u) << "server c is new and therefore in slow start";
  fs::remove(path);
  settings.max_state_age = 1;
  EXPECT_THROW(start(), config::Error) << "the stored list is too old";
  controller = nullptr;
  fs::remove_all(settings.state_directory);
  EXPECT_THROW(start(), config::Error) << "there is neither a list nor a stored state";
  controller = nullptr;
}

// The raw system call changes the effective user id of the calling thread only. The threads that
// the router starts inherit it, so that they cannot read a file that only root may read.
TEST_F(WatchedListTest, KeepsListWhenFileBecomesUnreadable) {
  if (::geteuid() != 0) GTEST_SKIP() << "needs root privileges to change the user id";
  replace_list(list(1, {{"a", &caches[0]}}));
  fs::permissions(folder, fs::perms{0755});
  ::syscall(SYS_setresuid, -1, 65534, -1);
  start();
  ::syscall(SYS_setresuid, -1, 0, -1);
  ::chmod(path.c_str(), 0000);
  EXPECT_TRUE(run_until([&] { return has_logged("Permission denied"); }));
  EXPECT_TRUE(is_active(1));
  EXPECT_LT(time_until_active(
                [&] {
                  replace_list(list(2, {{"a", &caches[0]}, {"b", &caches[1]}}));
                },
                2),
            kMaxDelay);
  expect_all_responses();
}

TEST_F(WatchedListTest, SendsNothingToServersThatOnlyTheFileLists) {
  const auto member = [](const char* id, const FakeCache& cache, const char* location,
                         const char* role) {
    return R"({"id":")" + std::string(id) + R"(","host_port":")" + cache.address() +
           R"(","locality":")" + location + R"(","flavor":")" + role +
           R"(","cell":0,"phase":"in_service","size":4,"up_since_ms":0})";
  };
  known_events = R"({"rev":1,"pool":{"complete":true,"members":[)" +
                 member("a", caches[0], "edge", "small") + "," +
                 member("b", caches[1], "edge", "small") + "," +
                 member("o", origin, "hub", "origin") + "]}}";
  settings.endpoint_set.authority = endpoints::Authority::both;
  replace_list(list(1, {{"a", &caches[0]}, {"b", &caches[1]}, {"x", &unlisted}}));
  start();
  ASSERT_TRUE(
      run_until([&] { return caches[0].count("fetch") > 3 && caches[1].count("fetch") > 3; }));
  EXPECT_LT(time_until_active(
                [&] {
                  replace_list(list(
                      2, {{"a", &caches[0], "draining"}, {"b", &caches[1]}, {"x", &unlisted}}));
                },
                2),
            kMaxDelay);
  run_for(50'000);
  const auto drained = caches[0].count("fetch");
  run_for(300'000);
  EXPECT_EQ(caches[0].count("fetch"), drained)
      << "the drain in the file applies although the discovery server lists a as in service";
  EXPECT_TRUE(unlisted.connections.empty());
  expect_all_responses();
}

TEST_F(WatchedListTest, PollsPathWhenInotifyIsUnavailable) {
  settings.poll_interval = 100'000;
  replace_list(list(1, {{"a", &caches[0]}}));
  // Exhausts the inotify instances, so that the watcher cannot create one.
  std::vector<net::Fd> instances;
  for (int i = 0; i < 4096; ++i) {
    net::Fd fd(::inotify_init1(IN_CLOEXEC));
    if (fd.get() < 0) break;
    instances.push_back(std::move(fd));
  }
  ASSERT_LT(instances.size(), 4096u);
  start();
  instances.clear();
  EXPECT_LT(time_until_active(
                [&] {
                  replace_list(list(2, {{"a", &caches[0]}, {"b", &caches[1]}}));
                },
                2),
            kMaxDelay);
}

}  // namespace

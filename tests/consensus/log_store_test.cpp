// A voter's disk, spoilt in every way that a file can be: it is believed as it was written, or not
// at all.
#include "consensus/log_store.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "consensus/conservative_merge.h"

namespace {

using namespace alderspur;
using namespace alderspur::consensus;
namespace fs = std::filesystem;

class DiskTest : public ::testing::Test {
 protected:
  DiskTest() {
    char name[] = "/tmp/alderspur-test-XXXXXX";
    folder = ::mkdtemp(name);
  }
  ~DiskTest() override { fs::remove_all(folder); }
  std::string path(const std::string& name) const { return folder + "/" + name; }
  std::string read(const std::string& name) const {
    std::ifstream in(path(name), std::ios::binary);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
  }
  void write(const std::string& name, const std::string& bytes) const {
    std::ofstream(path(name), std::ios::binary) << bytes;
  }
  void fill() {
    LogStore d(folder);
    ASSERT_EQ(d.load().error, "");
    LogWrite append{LogWrite::Kind::append,
                    1,
                    {{1, 3, "voters"}, {2, 1, std::string(900, 'x')}, {2, 1, "three"}},
                    {}};
    for (const LogWrite& s :
         {LogWrite{LogWrite::Kind::term, 2, {}, {}}, LogWrite{LogWrite::Kind::vote, 77, {}, {}},
          append,
          LogWrite{
              LogWrite::Kind::snapshot, 1, {}, Snapshot{2, 2, {1, {{"a", 1}, {"b", 1}}}, "ledger"}},
          LogWrite{LogWrite::Kind::append, 4, {{2, 1, "four"}}, {}}})
      ASSERT_EQ(d.apply(s), "");
  }
  static bool same(const PersistedLog& s) {
    return s.term == 2 && s.vote == 77 && s.first_index == 2 && s.entries.size() == 3 &&
           s.entries[2].data == "four" && s.snapshot && s.snapshot->data == "ledger" &&
           s.snapshot->configuration.servers.size() == 2;
  }
  std::string folder;
};

TEST_F(DiskTest, WhatWasWrittenIsThereAgainAndCutsKeepTheChain) {
  fill();
  {
    LogStore d(folder);
    const auto l = d.load();
    EXPECT_EQ(l.error, "");
    EXPECT_TRUE(same(l.log));
    EXPECT_EQ(d.apply({LogWrite::Kind::truncate, 4, {}, {}}), "");
    EXPECT_EQ(d.apply({LogWrite::Kind::append, 4, {{3, 1, "other"}, {3, 1, "five"}}, {}}), "");
    EXPECT_EQ(d.apply({LogWrite::Kind::term, 9, {}, {}}), "");
  }
  LogStore d(folder);
  const auto l = d.load();
  EXPECT_EQ(l.error, "");
  EXPECT_EQ(l.log.last_index(), 5u);
  EXPECT_EQ(l.log.vote, 0u) << "a vote is of its term";
  EXPECT_EQ(d.apply({LogWrite::Kind::snapshot, 0, {}, Snapshot{9, 3, {}, "all"}}), "");
}

TEST_F(DiskTest, AnyFlippedByteAndAnyTruncationIsSeenOrChangesNothing) {
  fill();
  const auto db = read("agree.db"), mark = read("agree.mark");
  std::size_t seen = 0, same_still = 0;
  const auto look = [&](const std::string& what) {
    LogStore d(folder);
    const auto l = d.load();
    ++(l.error.empty() ? same_still : seen);
    if (l.error.empty())
      EXPECT_TRUE(same(l.log)) << what;
    else
      EXPECT_TRUE(l.is_corrupt) << what;
    EXPECT_TRUE(l.error.empty() || l.log.is_empty()) << what << ": nothing of it is believed";
  };
  const auto restore = [&] {
    for (const auto& e : fs::directory_iterator(folder)) fs::remove(e.path());
    write("agree.mark", mark);
  };
  for (std::size_t at = 0; at < db.size(); at += 41) {
    restore();
    auto bad = db;
    bad[at] = static_cast<char>(bad[at] ^ 0x15);
    write("agree.db", bad);
    look("flipped " + std::to_string(at));
  }
  for (std::size_t size = 0; size < db.size(); size += 1021) {
    restore();
    write("agree.db", db.substr(0, size));
    look("cut off at " + std::to_string(size));
  }
  EXPECT_GT(seen, 20u);
  restore();
  write("agree.db", db);
  write("agree.mark", "garbage");
  look("mark");
  fs::remove(path("agree.mark"));
  LogStore d(folder);
  EXPECT_TRUE(d.load().is_corrupt) << "the mark is gone";
}

TEST_F(DiskTest, AnOlderFileBroughtBackIsSeenAndAResetStartsAnew) {
  fill();
  const auto old = read("agree.db");
  {
    LogStore d(folder);
    ASSERT_EQ(d.load().error, "");
    ASSERT_EQ(d.apply({LogWrite::Kind::vote, 5, {}, {}}), "");
    ASSERT_EQ(d.apply({LogWrite::Kind::term, 8, {}, {}}), "");
  }
  write("agree.db", old);
  LogStore d(folder);
  const auto l = d.load();
  EXPECT_TRUE(l.is_corrupt);
  EXPECT_NE(d.apply({LogWrite::Kind::vote, 6, {}, {}}), "") << "nothing is taken before the reset";
  EXPECT_EQ(d.apply({LogWrite::Kind::reset, 0, {}, {}}), "");
  EXPECT_EQ(d.apply({LogWrite::Kind::term, 3, {}, {}}), "");
  EXPECT_TRUE(fs::exists(path("agree.db.bad")));
}

// ---- The careful union of lists

endpoints::SnapshotPtr list(
    const std::string& servers) {  // "a" in service, "A" draining, weights by digits
  std::string text = "format = 1\ngeneration = 3\nservers = " + std::to_string(servers.size() / 2) +
                     "\n[[hub]]\nname = \"h\"\n[[point]]\nname = \"p\"\nhub = \"h\"\n";
  for (std::size_t i = 0; i + 1 < servers.size(); i += 2) {
    const bool draining = servers[i] < 'a';
    const char id = static_cast<char>(draining ? servers[i] - 'A' + 'a' : servers[i]);
    text +=
        std::string("[[server]]\nid = \"") + id +
        "\"\nrole = \"cache\"\npoint = \"p\"\naddress = \"127.0.0.1:" + std::to_string(4000 + id) +
        "\"\nweight = " + servers[i + 1] + ".0\nstate = \"" +
        (draining ? "draining" : "in_service") + "\"\ncell = 0\n";
  }
  diagnostics::Findings findings;
  auto read = endpoints::read_list(text, "list", 0, {}, findings);
  EXPECT_TRUE(findings.good());
  return read.list;
}
std::string shown(const endpoints::Snapshot& s) {
  std::string out;
  for (const char id : std::string("abcdef"))
    for (const auto& x : s.servers)
      if (x.name[0] == id)
        out += std::string(
                   1, x.state == endpoints::State::draining ? static_cast<char>(id - 32) : id) +
               std::to_string(static_cast<int>(x.weight));
  return out;
}

TEST(Careful, GoneOverDrainingOverInServiceAndTheSmallerWeight) {
  EXPECT_EQ(shown(merge_conservatively({list("a4b4c4"), list("a2b4")})), "a2b4");
  EXPECT_EQ(shown(merge_conservatively({list("a1b4"), list("a4b4d4")})), "a1b4")
      << "a new one not yet";
  EXPECT_EQ(shown(merge_conservatively({list("a4B4"), list("a4b4")})), "a4B4");
  EXPECT_EQ(shown(merge_conservatively({list("a4b4"), list("a4B4"), list("a4b4")})), "a4B4");
  EXPECT_EQ(shown(merge_conservatively({list("a4b4"), list("c4d4")})), "c4d4")
      << "a place is not left without any";
  const auto text = to_text(merge_conservatively({list("a4b4c4"), list("a2b4")}), 41);
  diagnostics::Findings findings;
  const auto again = endpoints::read_list(text, "list", 0, {}, findings);
  ASSERT_TRUE(findings.good() && again.list);
  EXPECT_EQ(again.list->generation, 41u);
  EXPECT_EQ(shown(*again.list), "a2b4");
}

}  // namespace

// Tests of the conservative merge of endpoint lists.
#include "consensus/conservative_merge.h"

#include <gtest/gtest.h>

namespace alderspur::consensus {
namespace {

// Makes a list from a shorthand with two characters per server: its name, in upper case if it is
// draining, and its weight.
endpoints::SnapshotPtr make_list(const std::string& servers) {
  std::string text = "format = 1\ngeneration = 3\nservers = " + std::to_string(servers.size() / 2) +
                     "\n[[hub]]\nname = \"h\"\n[[point]]\nname = \"p\"\nhub = \"h\"\n";
  for (std::size_t i = 0; i + 1 < servers.size(); i += 2) {
    const bool is_draining = servers[i] < 'a';
    const char id = static_cast<char>(is_draining ? servers[i] - 'A' + 'a' : servers[i]);
    text +=
        std::string("[[server]]\nid = \"") + id +
        "\"\nrole = \"cache\"\npoint = \"p\"\naddress = \"127.0.0.1:" + std::to_string(4000 + id) +
        "\"\nweight = " + servers[i + 1] + ".0\nstate = \"" +
        (is_draining ? "draining" : "in_service") + "\"\ncell = 0\n";
  }
  diagnostics::Findings findings;
  auto result = endpoints::read_list(text, "list", 0, {}, findings);
  EXPECT_TRUE(findings.is_ok());
  return result.list;
}

// Returns the shorthand of a list, sorted by server name; the inverse of make_list().
std::string to_shorthand(const endpoints::Snapshot& list) {
  std::string text;
  for (const char id : std::string("abcdef")) {
    for (const auto& server : list.servers) {
      if (server.name[0] != id) continue;
      const bool is_draining = server.state == endpoints::ServerState::draining;
      text += is_draining ? static_cast<char>(id - 'a' + 'A') : id;
      text += std::to_string(static_cast<int>(server.weight));
    }
  }
  return text;
}

// Merges the lists, oldest first, and returns the shorthand of the result.
std::string merge(const std::vector<std::string>& lists) {
  std::vector<endpoints::SnapshotPtr> parsed;
  parsed.reserve(lists.size());
  for (const auto& list : lists) parsed.push_back(make_list(list));
  return to_shorthand(merge_conservatively(parsed));
}

TEST(ConservativeMerge, TakesTheStricterStateAndTheSmallerWeight) {
  EXPECT_EQ(merge({"a4b4c4", "a2b4"}), "a2b4");
  EXPECT_EQ(merge({"a1b4", "a4b4d4"}), "a1b4")
      << "a server that only one list contains is not used";
  EXPECT_EQ(merge({"a4B4", "a4b4"}), "a4B4");
  EXPECT_EQ(merge({"a4b4", "a4B4", "a4b4"}), "a4B4");
  EXPECT_EQ(merge({"a4b4", "c4d4"}), "c4d4") << "a location must not be left without servers";
  const auto merged = merge_conservatively({make_list("a4b4c4"), make_list("a2b4")});
  const auto text = to_text(merged, 41);
  diagnostics::Findings findings;
  const auto reread = endpoints::read_list(text, "list", 0, {}, findings);
  ASSERT_TRUE(findings.is_ok() && reread.list);
  EXPECT_EQ(reread.list->generation, 41u);
  EXPECT_EQ(to_shorthand(*reread.list), "a2b4");
}

}  // namespace
}  // namespace alderspur::consensus

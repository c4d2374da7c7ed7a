// Tests the reading of lists from their text form: which lists are rejected, and with which
// finding.
#include "endpoints/list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "endpoints/list_fixture.h"
#include "toml/document.h"

namespace alderspur::endpoints {
namespace {

/// A list that must be rejected, with the expected finding.
struct RejectedList {
  const char* name;  // describes the fault
  std::string text;
  std::string code;
  std::uint32_t line;
  std::string message_part;  // contained in the finding
};

/// Returns the text of generation 6, which follows generation 5 of the tests' active list.
std::string next_generation(const std::vector<ServerText>& servers,
                            const std::string& extra_head = "") {
  return list_text(6, servers, extra_head);
}

/// Returns servers in which one new cache replaces both caches at edge-1.
std::vector<ServerText> servers_with_edge_1_replaced() {
  auto servers = default_servers();
  servers.erase(servers.begin());
  servers[0].id = "b2";
  servers[0].address = "127.0.0.1:7";
  return servers;
}

/// Returns texts that are not complete, well-formed lists.
std::vector<RejectedList> malformed_lists(const std::string& valid_text) {
  const auto with = [&](const std::string& old_text, const std::string& new_text) {
    return replace_first(valid_text, old_text, new_text);
  };
  return {
      {"empty", "", "L003", 1, "empty"},
      {"last line truncated", valid_text.substr(0, valid_text.size() - 2), "L003", 43,
       "incomplete"},
      {"not TOML", with("format = 1", "format = "), "L001", 1, ""},
      {"a NUL", with("\"a\"", std::string("\"a\0\"", 4)), "L001", 13, "NUL"},
      {"bad UTF-8", with("\"a\"", "\"a\xff\""), "L001", 13, ""},
      {"duplicate key", with("cell = 0", "cell = 0\ncell = 1"), "L001", 20, ""},
      {"wrong count", with("servers = 4", "servers = 5"), "L005", 0, "truncated"},
      {"unknown key", with("weight", "wieght"), "F004", 17, "did you mean weight?"},
      {"missing key", with("cell = 0\n", ""), "F002", 12, "cell"},
      {"another format", with("format = 1", "format = 2"), "F003", 1, ""},
      {"wrong digest", "digest = \"xxh3:0123456789abcdef\"\n" + valid_text, "L006", 1, "seal"},
  };
}

/// Returns lists with an invalid value.
std::vector<RejectedList> lists_with_bad_values(const std::string& valid_text) {
  const auto with = [&](const std::string& old_text, const std::string& new_text) {
    return replace_first(valid_text, old_text, new_text);
  };
  return {
      {"unknown point", with("point = \"edge-1\"", "point = \"egde-1\""), "L010", 15, "edge-1"},
      {"nan weight", with("weight = 4.0", "weight = nan"), "F003", 17, "not finite"},
      {"infinite weight", with("weight = 4.0", "weight = inf"), "F003", 17, "not finite"},
      {"zero weight", with("weight = 4.0", "weight = 0"), "F003", 17, "out of bounds"},
      {"negative weight", with("weight = 4.0", "weight = -1.0"), "F003", 17, "out of bounds"},
      {"weight as text", with("weight = 4.0", "weight = \"4\""), "F003", 17, "a number"},
      {"host name as address", with("127.0.0.1:1", "localhost:1"), "L011", 16, "127.0.0.1"},
      {"port 0", with("127.0.0.1:1\"", "127.0.0.1:0\""), "L011", 16, ""},
      {"unspecified address", with("127.0.0.1:1\"", "0.0.0.0:1\""), "L011", 16, ""},
      {"invalid name", with("id = \"a\"", "id = \"a b\""), "L012", 12, "letters"},
      {"unknown state", with("\"in_service\"", "\"inservice\""), "F003", 18, "in_service"},
      {"unknown role", with("\"cache\"", "\"cahce\""), "F003", 14, "cache"},
  };
}

/// Returns lists that are inconsistent in themselves or with the active list.
std::vector<RejectedList> inconsistent_lists(const std::string& valid_text) {
  const auto with = [&](const std::string& old_text, const std::string& new_text) {
    return replace_first(valid_text, old_text, new_text);
  };
  auto same_id = default_servers();
  same_id.push_back({"a", "127.0.0.1:4"});
  auto same_address = default_servers();
  same_address[1].address = same_address[0].address;
  auto empty_point = default_servers();
  empty_point[2].state = "draining";
  auto no_origin = default_servers();
  no_origin[3].state = "draining";
  return {
      {"duplicate id", next_generation(same_id), "L008", 45, "first at line"},
      {"duplicate address", next_generation(same_address), "L009", 24, "127.0.0.1:1"},
      {"lower generation", with("generation = 5", "generation = 4"), "L020", 0, "higher than 5"},
      {"reused generation", with("weight = 4.0", "weight = 4.5"), "L021", 0, "different content"},
      {"point without a cache", next_generation(empty_point), "L022", 0, "edge-2"},
      {"role without a server", next_generation(no_origin), "L022", 0, "origin"},
      {"too many departures", next_generation(servers_with_edge_1_replaced()), "L023", 0,
       "confirm = 6"},
  };
}

/// Expects that the list is rejected, with the expected code, line and message.
void expect_rejected(const RejectedList& rejected, const Snapshot* active) {
  diagnostics::Findings findings;
  EXPECT_EQ(read_checked(rejected.text, findings, active), nullptr) << rejected.name;
  const auto& list = findings.list();
  ASSERT_FALSE(list.empty()) << rejected.name;
  const auto finding = std::find_if(list.begin(), list.end(), [&](const auto& candidate) {
    return candidate.code == rejected.code;
  });
  ASSERT_NE(finding, list.end()) << rejected.name << ": " << diagnostics::to_string(list[0]);
  const auto text = diagnostics::to_string(*finding);
  EXPECT_EQ(finding->location.line, rejected.line) << rejected.name << ": " << text;
  EXPECT_NE(text.find(rejected.message_part), std::string::npos) << text;
  EXPECT_EQ(finding->location.file, "servers.toml") << rejected.name;
}

TEST(List, IsRejectedWithLocationAndRemedyWhenInvalid) {
  const std::string valid_text = list_text(5, default_servers());
  const auto active = read_valid(valid_text);
  for (const auto& lists : {malformed_lists(valid_text), lists_with_bad_values(valid_text),
                            inconsistent_lists(valid_text)}) {
    for (const auto& rejected : lists) expect_rejected(rejected, active.get());
  }
}

TEST(List, IsAcceptedWhenUnchangedConfirmedOrSealed) {
  const std::string valid_text = list_text(5, default_servers());
  const auto active = read_valid(valid_text);
  diagnostics::Findings findings;
  EXPECT_TRUE(read_checked(valid_text, findings, active.get()))
      << "the active list is accepted again";
  EXPECT_TRUE(read_checked(next_generation(servers_with_edge_1_replaced(), "confirm = 6\n"),
                           findings, active.get()))
      << "confirmed";
  EXPECT_TRUE(read_checked(with_digest(valid_text), findings, active.get()));
  EXPECT_EQ(with_digest(with_digest(valid_text)), with_digest(valid_text));
  EXPECT_FALSE(read_checked(std::string((std::size_t{16} << 20) + 1, '\n'), findings));
}

// Guards against a list that is truncated at the end of a line, where it is still valid TOML.
TEST(List, IsRejectedWhenTruncatedAnywhere) {
  const std::string valid_text = list_text(5, default_servers());
  const auto whole = read_valid(valid_text);
  for (std::size_t size = 0; size < valid_text.size(); ++size) {
    diagnostics::Findings findings;
    const auto truncated = read_checked(valid_text.substr(0, size), findings);
    EXPECT_FALSE(truncated) << "truncated at byte " << size;
  }
  // A comment after the last server does not change the digest.
  diagnostics::Findings findings;
  const auto with_comment = read_checked(valid_text + "# that was all\n", findings);
  ASSERT_TRUE(with_comment);
  EXPECT_EQ(with_comment->digest, whole->digest);
}

/// Expects that reading in parts gives the same list and findings as reading in one piece.
void expect_same_in_parts(const std::string& text) {
  ListLimits limits;
  diagnostics::Findings whole_findings;
  const auto whole = read_list(text, "s", kStart, limits, whole_findings);
  limits.part_bytes = 2000;
  limits.threads = 4;
  ASSERT_TRUE(limits.is_read_in_parts(text.size()));
  diagnostics::Findings parts_findings;
  const auto parts = read_list(text, "s", kStart, limits, parts_findings);
  ASSERT_EQ(whole.list == nullptr, parts.list == nullptr);
  if (whole.list) {
    EXPECT_EQ(whole.list->digest, parts.list->digest);
  }
  ASSERT_EQ(whole_findings.list().size(), parts_findings.list().size());
  for (std::size_t i = 0; i < whole_findings.list().size(); ++i) {
    EXPECT_EQ(diagnostics::to_string(whole_findings.list()[i]),
              diagnostics::to_string(parts_findings.list()[i]));
  }
  if (whole.list) {
    EXPECT_EQ(whole.list->servers[100].line, parts.list->servers[100].line);
  }
}

// Guards against lists whose result depends on the number of parts or threads. Findings and line
// numbers must be the same as when the text is parsed in one piece.
TEST(List, GivesTheSameResultWhenReadInParts) {
  auto servers = default_servers();
  for (int i = 0; i < 300; ++i) {
    servers.push_back({"n" + std::to_string(i), "127.2.0." + std::to_string(1 + i / 200) + ":" +
                                                    std::to_string(1 + i % 200)});
  }
  const auto valid_text = list_text(5, servers);
  expect_same_in_parts(valid_text);
  expect_same_in_parts(valid_text + "[[point]]\nname = \"late\"\nhub = \"hub\"\n");
  expect_same_in_parts(replace_first(valid_text, "\"n299\"", "\"n7\""));
  expect_same_in_parts(replace_first(valid_text, "\"127.2.0.2:90\"", "\"nowhere\""));
  expect_same_in_parts(valid_text.substr(0, valid_text.size() - 7));
}

TEST(List, ManifestIsValidOnlyWithAllItsPieces) {
  const auto servers = default_servers();
  const auto piece_text = [](const std::vector<ServerText>& listed) {
    const auto text = list_text(1, listed);
    return text.substr(text.find("[[server]]"));
  };
  const std::vector<std::string> texts = {piece_text({servers[0], servers[1]}),
                                          piece_text({servers[2], servers[3]})};
  std::string head = replace_first(list_text(7, {}), "servers = 0", "servers = 4");
  for (std::size_t i = 0; i < 2; ++i) {
    head += "[[piece]]\nfile = \"p" + std::to_string(i) + ".toml\"\ndigest = \"" +
            format_digest(compute_digest(texts[i])) + "\"\n";
  }
  diagnostics::Findings findings;
  const auto manifest = read_list(head, "manifest.toml", kStart, {}, findings);
  ASSERT_TRUE(manifest.list);
  const auto list = read_pieces(manifest, texts, {}, findings);
  ASSERT_TRUE(list);
  EXPECT_EQ(list->servers.size(), 4U);
  EXPECT_EQ(list->digest, read_valid(list_text(7, servers))->digest)
      << "the digest does not depend on the division into pieces";
  EXPECT_EQ(list->file_of(*list->find(server_id("c"))), "p1.toml");

  auto damaged = texts;
  damaged[1].pop_back();
  diagnostics::Findings damaged_findings;
  EXPECT_FALSE(read_pieces(manifest, damaged, {}, damaged_findings));
  EXPECT_EQ(damaged_findings.list()[0].code, "L006");
  EXPECT_EQ(damaged_findings.list()[0].location.line, 15U) << "the line in the manifest";
  for (const char* bad_name : {"../p0.toml", "/etc/passwd", ".hidden", "a/b"}) {
    diagnostics::Findings name_findings;
    const auto text = replace_first(head, "p0.toml", bad_name);
    EXPECT_FALSE(read_list(text, "m", kStart, {}, name_findings).list) << bad_name;
    EXPECT_EQ(name_findings.list()[0].code, "L012");
  }
}

/// Changes a text at random positions.
std::string with_random_edits(std::string text, std::mt19937& random) {
  const auto below = [&](std::size_t limit) { return static_cast<std::size_t>(random()) % limit; };
  const std::size_t edits = 1 + below(4);
  for (std::size_t i = 0; i < edits && !text.empty(); ++i) {
    const auto position = below(text.size());
    switch (below(4)) {
      case 0:
        text[position] = static_cast<char>(random());
        break;
      case 1:
        text.erase(position, 1 + below(40));
        break;
      case 2:
        text.insert(position, text.substr(below(text.size()), 30));
        break;
      default:
        text.resize(position);
    }
  }
  return text;
}

// For any random edits of the text: a list that is accepted passes all checks, and the same text is
// accepted again without any difference.
RC_GTEST_PROP(List, PassesAllChecksWheneverItIsAccepted, ()) {
  static const std::string valid_text = list_text(5, default_servers());
  static const auto active = read_valid(valid_text);
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  for (int round = 0; round < 25; ++round) {
    const std::string text = with_random_edits(valid_text, random);
    diagnostics::Findings findings;
    const auto list = read_checked(text, findings, active.get());
    if (!list) {
      RC_ASSERT(!findings.is_ok());
      continue;
    }
    diagnostics::Findings check_findings;
    check_alone(*list, check_findings);
    check_change(active.get(), *list, {}, check_findings);
    RC_ASSERT(check_findings.is_ok());
    RC_ASSERT(list->generation > 5 || list->digest == active->digest);
    diagnostics::Findings second_findings;
    const auto second = read_checked(text, second_findings, list.get());
    RC_ASSERT(second && second->digest == list->digest &&
              difference(list.get(), *second).is_empty());
  }
}

TEST(TomlQuantity, IsRejectedWithoutUnit) {
  EXPECT_EQ(toml::parse_duration("250 ms"), 250'000);
  EXPECT_EQ(toml::parse_duration("2.5s"), 2'500'000);
  EXPECT_EQ(toml::parse_size("64 MB"), 64e6);
  EXPECT_EQ(toml::parse_size("1 KiB"), 1024);
  for (const char* bad : {"250", "", "ms", "1 S", "-1 s", "1e3 s", "1 s s", "1.2.3 s"}) {
    EXPECT_FALSE(toml::parse_duration(bad)) << bad;
  }
  EXPECT_EQ(diagnostics::closest_match("wieght", {"weight", "state"}), "weight");
  EXPECT_EQ(diagnostics::closest_match("quite another", {"weight", "state"}), "");
}

}  // namespace
}  // namespace alderspur::endpoints

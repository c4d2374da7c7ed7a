// The written form of lists: what is refused, and with which finding.
#include "endpoints/list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "endpoints/list_fixture.h"
#include "toml/document.h"

namespace alderspur::endpoints {
namespace {

/// A list that is refused, with the finding that says why.
struct RefusedList {
  const char* name;
  std::string text;
  std::string code;
  std::uint32_t line;
  std::string message_part;
};

std::string next_generation(const std::vector<ServerText>& servers,
                            const std::string& extra_head = "") {
  return list_text(6, servers, extra_head);
}

std::vector<ServerText> without_half_of_edge_1() {
  auto servers = usual_servers();
  servers.erase(servers.begin());
  servers[0].id = "b2";
  servers[0].address = "127.0.0.1:7";
  return servers;
}

/// Texts that are no list in the written form.
std::vector<RefusedList> malformed_lists(const std::string& good) {
  const auto with = [&](const std::string& what, const std::string& to) {
    return replaced(good, what, to);
  };
  return {
      {"empty", "", "L003", 1, "empty"},
      {"no end", good.substr(0, good.size() - 2), "L003", 43, "half written"},
      {"not TOML", with("format = 1", "format = "), "L001", 1, ""},
      {"a NUL", with("\"a\"", std::string("\"a\0\"", 4)), "L001", 13, "NUL"},
      {"bad UTF-8", with("\"a\"", "\"a\xff\""), "L001", 13, ""},
      {"a key twice", with("cell = 0", "cell = 0\ncell = 1"), "L001", 20, ""},
      {"count", with("servers = 4", "servers = 5"), "L005", 0, "cut off"},
      {"unknown key", with("weight", "wieght"), "F004", 17, "did you mean weight?"},
      {"missing key", with("cell = 0\n", ""), "F002", 12, "cell"},
      {"another format", with("format = 1", "format = 2"), "F003", 1, ""},
      {"bad digest", "digest = \"xxh3:0123456789abcdef\"\n" + good, "L006", 1, "seal"},
  };
}

/// Lists with an unusable value.
std::vector<RefusedList> lists_with_bad_values(const std::string& good) {
  const auto with = [&](const std::string& what, const std::string& to) {
    return replaced(good, what, to);
  };
  return {
      {"unknown point", with("point = \"edge-1\"", "point = \"egde-1\""), "L010", 15, "edge-1"},
      {"nan weight", with("weight = 4.0", "weight = nan"), "F003", 17, "not finite"},
      {"infinite weight", with("weight = 4.0", "weight = inf"), "F003", 17, "not finite"},
      {"no weight", with("weight = 4.0", "weight = 0"), "F003", 17, "out of bounds"},
      {"negative weight", with("weight = 4.0", "weight = -1.0"), "F003", 17, "out of bounds"},
      {"weight as text", with("weight = 4.0", "weight = \"4\""), "F003", 17, "a number"},
      {"a name for an address", with("127.0.0.1:1", "localhost:1"), "L011", 16, "127.0.0.1"},
      {"no port", with("127.0.0.1:1\"", "127.0.0.1:0\""), "L011", 16, ""},
      {"any address", with("127.0.0.1:1\"", "0.0.0.0:1\""), "L011", 16, ""},
      {"a bad name", with("id = \"a\"", "id = \"a b\""), "L012", 12, "letters"},
      {"unknown state", with("\"in_service\"", "\"inservice\""), "F003", 18, "in_service"},
      {"unknown role", with("\"cache\"", "\"cahce\""), "F003", 14, "cache"},
  };
}

/// Lists that clash in themselves or with the list in force.
std::vector<RefusedList> inconsistent_lists(const std::string& good) {
  const auto with = [&](const std::string& what, const std::string& to) {
    return replaced(good, what, to);
  };
  auto same_id = usual_servers();
  same_id.push_back({"a", "127.0.0.1:4"});
  auto same_address = usual_servers();
  same_address[1].address = same_address[0].address;
  auto empty_point = usual_servers();
  empty_point[2].state = "draining";
  auto no_origin = usual_servers();
  no_origin[3].state = "draining";
  return {
      {"id twice", next_generation(same_id), "L008", 45, "first at line"},
      {"address twice", next_generation(same_address), "L009", 24, "127.0.0.1:1"},
      {"generation back", with("generation = 5", "generation = 4"), "L020", 0, "over 5"},
      {"generation reused", with("weight = 4.0", "weight = 4.5"), "L021", 0, "other content"},
      {"point emptied", next_generation(empty_point), "L022", 0, "edge-2"},
      {"role emptied", next_generation(no_origin), "L022", 0, "origin"},
      {"too much at once", next_generation(without_half_of_edge_1()), "L023", 0, "confirm = 6"},
  };
}

void expect_refused(const RefusedList& refused, const Snapshot* in_force) {
  diagnostics::Findings findings;
  EXPECT_EQ(read_checked(refused.text, findings, in_force), nullptr) << refused.name;
  const auto& list = findings.list();
  ASSERT_FALSE(list.empty()) << refused.name;
  const auto finding = std::find_if(list.begin(), list.end(), [&](const auto& candidate) {
    return candidate.code == refused.code;
  });
  ASSERT_NE(finding, list.end()) << refused.name << ": " << diagnostics::to_string(list[0]);
  const auto text = diagnostics::to_string(*finding);
  EXPECT_EQ(finding->location.line, refused.line) << refused.name << ": " << text;
  EXPECT_NE(text.find(refused.message_part), std::string::npos) << text;
  EXPECT_EQ(finding->location.file, "servers.toml") << refused.name;
}

TEST(List, IsRefusedWithPlaceAndRemedyWhenItIsWrong) {
  const std::string good = list_text(5, usual_servers());
  const auto in_force = read_good(good);
  for (const auto& lists :
       {malformed_lists(good), lists_with_bad_values(good), inconsistent_lists(good)}) {
    for (const auto& refused : lists) expect_refused(refused, in_force.get());
  }
}

TEST(List, IsAcceptedWhenUnchangedConfirmedOrSealed) {
  const std::string good = list_text(5, usual_servers());
  const auto in_force = read_good(good);
  diagnostics::Findings findings;
  EXPECT_TRUE(read_checked(good, findings, in_force.get())) << "the same again is no change";
  EXPECT_TRUE(read_checked(next_generation(without_half_of_edge_1(), "confirm = 6\n"), findings,
                           in_force.get()))
      << "confirmed";
  EXPECT_TRUE(read_checked(with_digest(good), findings, in_force.get()));
  EXPECT_EQ(with_digest(with_digest(good)), with_digest(good));
  EXPECT_FALSE(read_checked(std::string((std::size_t{16} << 20) + 1, '\n'), findings));
}

// Guards against a list that is truncated at the end of a line and still well formed.
TEST(List, IsRefusedWhenTruncatedAnywhere) {
  const std::string good = list_text(5, usual_servers());
  const auto whole = read_good(good);
  for (std::size_t size = 0; size < good.size(); ++size) {
    diagnostics::Findings findings;
    const auto truncated = read_checked(good.substr(0, size), findings);
    EXPECT_FALSE(truncated) << "cut at byte " << size;
  }
  // Comments after the last server have no meaning.
  diagnostics::Findings findings;
  const auto with_comment = read_checked(good + "# that was all\n", findings);
  ASSERT_TRUE(with_comment);
  EXPECT_EQ(with_comment->digest, whole->digest);
}

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

// A large list that several threads read in parts gives what it gives as a whole, including
// findings and line numbers.
TEST(List, GivesTheSameWhenReadInParts) {
  auto servers = usual_servers();
  for (int i = 0; i < 300; ++i) {
    servers.push_back({"n" + std::to_string(i), "127.2.0." + std::to_string(1 + i / 200) + ":" +
                                                    std::to_string(1 + i % 200)});
  }
  const auto good = list_text(5, servers);
  expect_same_in_parts(good);
  expect_same_in_parts(good + "[[point]]\nname = \"late\"\nhub = \"hub\"\n");
  expect_same_in_parts(replaced(good, "\"n299\"", "\"n7\""));
  expect_same_in_parts(replaced(good, "\"127.2.0.2:90\"", "\"nowhere\""));
  expect_same_in_parts(good.substr(0, good.size() - 7));
}

TEST(List, ManifestIsValidOnlyWithAllItsPieces) {
  const auto servers = usual_servers();
  const auto piece_text = [](const std::vector<ServerText>& listed) {
    const auto text = list_text(1, listed);
    return text.substr(text.find("[[server]]"));
  };
  const std::vector<std::string> texts = {piece_text({servers[0], servers[1]}),
                                          piece_text({servers[2], servers[3]})};
  std::string head = replaced(list_text(7, {}), "servers = 0", "servers = 4");
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
  EXPECT_EQ(list->digest, read_good(list_text(7, servers))->digest)
      << "the meaning does not depend on pieces";
  EXPECT_EQ(list->file_of(*list->find(server_id("c"))), "p1.toml");

  auto damaged = texts;
  damaged[1].pop_back();
  diagnostics::Findings damaged_findings;
  EXPECT_FALSE(read_pieces(manifest, damaged, {}, damaged_findings));
  EXPECT_EQ(damaged_findings.list()[0].code, "L006");
  EXPECT_EQ(damaged_findings.list()[0].location.line, 15U) << "the manifest's line";
  for (const char* bad_name : {"../p0.toml", "/etc/passwd", ".hidden", "a/b"}) {
    diagnostics::Findings name_findings;
    const auto text = replaced(head, "p0.toml", bad_name);
    EXPECT_FALSE(read_list(text, "m", kStart, {}, name_findings).list) << bad_name;
    EXPECT_EQ(name_findings.list()[0].code, "L012");
  }
}

/// Changes a text at random places.
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

// Random edits of the text: a list that is accepted passes all checks, and reading it twice is no
// change.
RC_GTEST_PROP(List, PassesAllChecksWheneverItIsAccepted, ()) {
  static const std::string good = list_text(5, usual_servers());
  static const auto in_force = read_good(good);
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  for (int round = 0; round < 25; ++round) {
    const std::string text = with_random_edits(good, random);
    diagnostics::Findings findings;
    const auto list = read_checked(text, findings, in_force.get());
    if (!list) {
      RC_ASSERT(!findings.is_ok());
      continue;
    }
    diagnostics::Findings check_findings;
    check_alone(*list, check_findings);
    check_change(in_force.get(), *list, {}, check_findings);
    RC_ASSERT(check_findings.is_ok());
    RC_ASSERT(list->generation > 5 || list->digest == in_force->digest);
    diagnostics::Findings second_findings;
    const auto second = read_checked(text, second_findings, list.get());
    RC_ASSERT(second && second->digest == list->digest &&
              difference(list.get(), *second).is_empty());
  }
}

TEST(TomlQuantity, IsRefusedWithoutItsUnit) {
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

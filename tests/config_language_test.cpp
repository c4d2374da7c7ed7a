// The configuration language by its corpus, and properties of formatting.
//
// tests/config_language/broken/*.alder name in lines "#! LINE CODE text" all findings that they
// must have; tests/config_language/good/*.alder must have no error, and are in canonical format
// unless a file NAME.formatted beside them has it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "config_language/check.h"
#include "config_language/differ.h"
#include "config_language/files.h"
#include "config_language/format.h"
#include "config_language/parser.h"
#include "support/build_paths.h"

namespace {

using namespace alderspur;
namespace fs = std::filesystem;

const fs::path kCorpus = test_paths::kLanguageCorpus;

std::string text_of(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}
std::vector<fs::path> files(const char* folder) {
  std::vector<fs::path> out;
  for (const auto& e : fs::directory_iterator(kCorpus / folder)) {
    if (e.path().extension() == ".alder") out.push_back(e.path());
  }
  std::sort(out.begin(), out.end());
  return out;
}
std::string formatted(const std::string& text, diagnostics::Findings& findings) {
  config_language::Sources sources;
  return config_language::format(
      config_language::parse(sources, sources.add("x.alder", text), findings));
}
config_language::Tree tree(config_language::Sources& sources, const std::string& text) {
  diagnostics::Findings ignored;
  return config_language::parse(sources, sources.add("x.alder", text), ignored);
}

struct Expected {
  std::uint32_t line = 0;
  std::string code;
  std::string words;
};
std::vector<Expected> expectations(const std::string& text) {
  std::vector<Expected> out;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("#! ")) continue;
    std::istringstream words(line.substr(3));
    Expected e;
    words >> e.line >> e.code;
    std::getline(words >> std::ws, e.words);
    out.push_back(std::move(e));
  }
  return out;
}

TEST(CorpusTest, ReportsExpectedFindingsForBrokenFiles) {
  const auto all = files("broken");
  EXPECT_GE(all.size(), 60u);
  for (const auto& path : all) {
    diagnostics::Findings f;
    config_language::FileLoader loader;
    const auto program = config_language::load(path.string(), loader, f);
    (void)config_language::check(program, f);
    auto expected = expectations(text_of(path));
    EXPECT_FALSE(expected.empty()) << path;
    std::string said;
    for (const auto& x : f.list()) {
      const auto line = diagnostics::to_string(x);
      said += line + "\n";
      EXPECT_NE(program.sources.render(x).find('^'), std::string::npos) << line;
      const auto it = std::find_if(expected.begin(), expected.end(), [&](auto& e) {
        return e.code == x.code && e.line == x.location.line &&
               line.find(e.words) != std::string::npos;
      });
      if (it == expected.end()) {
        ADD_FAILURE() << "not expected: " << line;
      } else {
        expected.erase(it);
      }
    }
    for (const auto& e : expected) {
      ADD_FAILURE() << path.filename() << ": missing " << e.line << ' ' << e.code << ' ' << e.words
                    << "; said:\n"
                    << said;
    }
  }
}

TEST(CorpusTest, AcceptsGoodFilesAndKeepsTheirFormat) {
  const auto all = files("good");
  EXPECT_GE(all.size(), 10u);
  for (const auto& path : all) {
    diagnostics::Findings f;
    config_language::FileLoader loader;
    const auto program = config_language::load(path.string(), loader, f);
    (void)config_language::check(program, f);
    for (const auto& x : f.list()) {
      if (x.severity == diagnostics::Severity::error) ADD_FAILURE() << diagnostics::to_string(x);
    }
    const auto text = text_of(path);
    const auto once = formatted(text, f);
    const auto twice = formatted(once, f);
    const auto beside = path.string() + ".formatted";
    EXPECT_EQ(once, fs::exists(beside) ? text_of(beside) : text) << path;
    EXPECT_EQ(twice, once) << path;
  }
}

TEST(CorpusTest, ReportsDifferencesInMeaningForPairs) {
  std::size_t pairs = 0;
  for (const auto& path : files("differ")) {
    const auto name = path.string();
    if (!name.ends_with(".old.alder")) continue;
    ++pairs;
    const auto stem = name.substr(0, name.size() - 10);
    diagnostics::Findings f;
    config_language::FileLoader loader;
    const auto a = config_language::check(config_language::load(name, loader, f), f);
    const auto b = config_language::check(config_language::load(stem + ".new.alder", loader, f), f);
    EXPECT_TRUE(f.is_ok()) << stem;
    std::string said;
    for (const auto& c : config_language::find_changes(a, b)) {
      std::string risk = config_language::to_string(c.risk);
      risk.resize(6, ' ');
      said += risk + c.text + "\n";
    }
    EXPECT_EQ(said, text_of(stem + ".txt")) << stem;
    EXPECT_TRUE(config_language::find_changes(a, a).empty()) << stem;
  }
  EXPECT_GE(pairs, 20u);
}

class Memory : public config_language::Loader {
 public:
  config_language::ReadResult read(const std::string& path) override {
    ++reads[path];
    const auto it = files.find(path);
    if (it == files.end()) return config_language::ReadError::not_found;
    return it->second;
  }
  std::vector<std::string> match(const std::string& pattern) override {
    std::vector<std::string> out;
    const auto star = pattern.find('*');
    for (const auto& [p, t] : files) {
      if (p.starts_with(pattern.substr(0, star)) && p.ends_with(pattern.substr(star + 1))) {
        out.push_back(p);
      }
    }
    return out;
  }
  std::map<std::string, std::string> files;
  std::map<std::string, int> reads;
};

TEST(IncludesTest, ReportsChainWhenIncludesFormACycle) {
  Memory m;
  m.files = {{"d/a.alder", "\ninclude \"b.alder\"\n"},
             {"d/b.alder", "include \"sub/c.alder\"\n"},
             {"d/sub/c.alder", "let x = 1\n\ninclude \"../a.alder\"\n"}};
  diagnostics::Findings f;
  (void)config_language::load("d/a.alder", m, f);
  ASSERT_EQ(f.list().size(), 1u);
  EXPECT_EQ(f.list()[0].code, "A011");
  EXPECT_NE(f.list()[0].text.find("d/a.alder:2 -> d/b.alder:1 -> d/sub/c.alder:3 -> d/a.alder"),
            std::string::npos)
      << f.list()[0].text;
  EXPECT_EQ(m.reads["d/a.alder"], 1);
}

TEST(IncludesTest, ReadsFileOnceWhenIncludedTwiceAndExpandsPatterns) {
  Memory m;
  m.files = {{"main.alder",
              "include \"r/*.alder\"\ninclude \"shared.alder\"\ninclude \"./r/../shared.alder\"\n"},
             {"r/1.alder", "include \"../shared.alder\"\nlet one = 1\n"},
             {"r/2.alder", "let two = 2\n"},
             {"shared.alder", "let all = 3\n"}};
  diagnostics::Findings f;
  const auto program = config_language::load("main.alder", m, f);
  EXPECT_TRUE(f.list().empty());
  EXPECT_EQ(program.statements.size(), 3u);
  for (const auto& [path, n] : m.reads) EXPECT_EQ(n, 1) << path;
  EXPECT_EQ(program.statements[0]->arguments[0].text, "all") << "in the include's place";
  m.files["main.alder"] = "include \"absent.alder\"\n";
  diagnostics::Findings g;
  (void)config_language::load("main.alder", m, g);
  EXPECT_EQ(g.list()[0].code, "A010");
  EXPECT_EQ(g.list()[0].location.line, 1u);
}

TEST(IncludesTest, LimitsDepthAndNumberOfFiles) {
  Memory m;
  for (int i = 0; i < 60; ++i) {
    m.files["f" + std::to_string(i)] = "include \"f" + std::to_string(i + 1) + "\"\n";
  }
  diagnostics::Findings f;
  (void)config_language::load("f0", m, f);
  EXPECT_EQ(f.list().at(0).code, "A007");
  Memory many;
  for (int i = 0; i < 1100; ++i) many.files["r/" + std::to_string(i)] = "";
  many.files["all"] = "include \"r/*\"\n";
  diagnostics::Findings g;
  (void)config_language::load("all", many, g);
  EXPECT_EQ(g.list().at(0).code, "A008");
  diagnostics::Findings h;
  (void)formatted(std::string(100'000, '['), h);
  (void)formatted("a = " + std::string(100'000, '['), h);
  std::string deep;
  for (int i = 0; i < 50'000; ++i) deep += "a {\n";
  (void)formatted(deep, h);
  EXPECT_FALSE(h.is_ok());
}

// Random edits of good files: nothing crashes, and formatting keeps the tree and is idempotent.
RC_GTEST_PROP(FormatTest, IsIdempotentAndKeepsTheMeaning, ()) {
  static const auto all = files("good");
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  const auto below = [&](std::size_t n) { return n ? static_cast<std::size_t>(random()) % n : 0; };
  for (int round = 0; round < 10; ++round) {
    std::string text = text_of(all[below(all.size())]);
    for (std::size_t i = 0, edits = below(4); i < edits && !text.empty(); ++i) {
      const auto at = below(text.size());
      static const std::string bits[] = {"\n", "\n\n", " # c\n", "{", "}",   "[",  "]",
                                         ",",  ";",    "\"",     "=", "20%", "$x", "# d\n"};
      if (random() % 3 == 0) {
        text.erase(at, 1 + below(20));
      } else {
        text.insert(at, bits[below(std::size(bits))]);
      }
    }
    diagnostics::Findings f;
    config_language::Sources sources;
    const auto before = tree(sources, text);
    const auto once = config_language::format(before);
    const auto after = tree(sources, once);
    RC_ASSERT(config_language::is_equivalent(before, after));
    RC_ASSERT(config_language::format(after) == once);
  }
}

}  // namespace

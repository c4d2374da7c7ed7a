// Tests the configuration language on a corpus of files and checks properties of the formatter.
//
// Each file tests/config_language/broken/*.alder lists all expected findings in lines of the form
// "#! LINE CODE text". The files tests/config_language/good/*.alder must have no errors. They are
// in canonical format, unless a file NAME.formatted beside them contains their canonical format.
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

std::string read_text(const fs::path& path) {
  std::ifstream input(path, std::ios::binary);
  std::ostringstream contents;
  contents << input.rdbuf();
  return contents.str();
}
std::vector<fs::path> corpus_files(const char* folder) {
  std::vector<fs::path> paths;
  for (const auto& entry : fs::directory_iterator(kCorpus / folder)) {
    if (entry.path().extension() == ".alder") paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}
std::string format_text(const std::string& text, diagnostics::Findings& findings) {
  config_language::Sources sources;
  return config_language::format(
      config_language::parse(sources, sources.add("x.alder", text), findings));
}
config_language::Tree parse_text(config_language::Sources& sources, const std::string& text) {
  diagnostics::Findings ignored;
  return config_language::parse(sources, sources.add("x.alder", text), ignored);
}

/// A finding that a broken file must have.
struct ExpectedFinding {
  std::uint32_t line = 0;
  std::string code;
  std::string words;  // part of the finding's text
};
std::vector<ExpectedFinding> parse_expected_findings(const std::string& text) {
  std::vector<ExpectedFinding> expected;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("#! ")) continue;
    std::istringstream fields(line.substr(3));
    ExpectedFinding finding;
    fields >> finding.line >> finding.code;
    std::getline(fields >> std::ws, finding.words);
    expected.push_back(std::move(finding));
  }
  return expected;
}

TEST(CorpusTest, ReportsExpectedFindingsForBrokenFiles) {
  const auto paths = corpus_files("broken");
  EXPECT_GE(paths.size(), 60u);
  for (const auto& path : paths) {
    diagnostics::Findings findings;
    config_language::FileLoader loader;
    const auto program = config_language::load(path.string(), loader, findings);
    (void)config_language::check(program, findings);
    auto expected = parse_expected_findings(read_text(path));
    EXPECT_FALSE(expected.empty()) << path;
    std::string reported;
    for (const auto& finding : findings.list()) {
      const auto line = diagnostics::to_string(finding);
      reported += line + "\n";
      EXPECT_NE(program.sources.render(finding).find('^'), std::string::npos) << line;
      const auto match = std::find_if(expected.begin(), expected.end(), [&](auto& candidate) {
        return candidate.code == finding.code && candidate.line == finding.location.line &&
               line.find(candidate.words) != std::string::npos;
      });
      if (match == expected.end()) {
        ADD_FAILURE() << "not expected: " << line;
      } else {
        expected.erase(match);
      }
    }
    for (const auto& missing : expected) {
      ADD_FAILURE() << path.filename() << ": missing " << missing.line << ' ' << missing.code << ' '
                    << missing.words << "; reported:\n"
                    << reported;
    }
  }
}

TEST(CorpusTest, AcceptsGoodFilesAndKeepsTheirFormat) {
  const auto paths = corpus_files("good");
  EXPECT_GE(paths.size(), 10u);
  for (const auto& path : paths) {
    diagnostics::Findings findings;
    config_language::FileLoader loader;
    const auto program = config_language::load(path.string(), loader, findings);
    (void)config_language::check(program, findings);
    for (const auto& finding : findings.list()) {
      if (finding.severity == diagnostics::Severity::error) {
        ADD_FAILURE() << diagnostics::to_string(finding);
      }
    }
    const auto text = read_text(path);
    const auto once = format_text(text, findings);
    const auto twice = format_text(once, findings);
    const auto formatted_path = path.string() + ".formatted";
    EXPECT_EQ(once, fs::exists(formatted_path) ? read_text(formatted_path) : text) << path;
    EXPECT_EQ(twice, once) << path;
  }
}

TEST(CorpusTest, ReportsDifferencesInMeaningForPairs) {
  std::size_t pairs = 0;
  for (const auto& path : corpus_files("differ")) {
    const auto name = path.string();
    if (!name.ends_with(".old.alder")) continue;
    ++pairs;
    const auto stem = name.substr(0, name.size() - 10);
    diagnostics::Findings findings;
    config_language::FileLoader loader;
    const auto before =
        config_language::check(config_language::load(name, loader, findings), findings);
    const auto after = config_language::check(
        config_language::load(stem + ".new.alder", loader, findings), findings);
    EXPECT_TRUE(findings.is_ok()) << stem;
    std::string reported;
    for (const auto& change : config_language::find_changes(before, after)) {
      std::string risk = config_language::to_string(change.risk);
      risk.resize(6, ' ');
      reported += risk + change.text + "\n";
    }
    EXPECT_EQ(reported, read_text(stem + ".txt")) << stem;
    EXPECT_TRUE(config_language::find_changes(before, before).empty()) << stem;
  }
  EXPECT_GE(pairs, 20u);
}

/// Serves files from memory and counts how often each one is read.
class MemoryLoader : public config_language::Loader {
 public:
  config_language::ReadResult read(const std::string& path) override {
    ++reads[path];
    const auto it = files.find(path);
    if (it == files.end()) return config_language::ReadError::not_found;
    return it->second;
  }
  std::vector<std::string> match(const std::string& pattern) override {
    std::vector<std::string> paths;
    const auto star = pattern.find('*');
    for (const auto& [path, text] : files) {
      if (path.starts_with(pattern.substr(0, star)) && path.ends_with(pattern.substr(star + 1))) {
        paths.push_back(path);
      }
    }
    return paths;
  }
  std::map<std::string, std::string> files;
  std::map<std::string, int> reads;
};

TEST(IncludesTest, ReportsChainWhenIncludesFormACycle) {
  MemoryLoader loader;
  loader.files = {{"d/a.alder", "\ninclude \"b.alder\"\n"},
                  {"d/b.alder", "include \"sub/c.alder\"\n"},
                  {"d/sub/c.alder", "let x = 1\n\ninclude \"../a.alder\"\n"}};
  diagnostics::Findings findings;
  (void)config_language::load("d/a.alder", loader, findings);
  ASSERT_EQ(findings.list().size(), 1u);
  EXPECT_EQ(findings.list()[0].code, "A011");
  EXPECT_NE(
      findings.list()[0].text.find("d/a.alder:2 -> d/b.alder:1 -> d/sub/c.alder:3 -> d/a.alder"),
      std::string::npos)
      << findings.list()[0].text;
  EXPECT_EQ(loader.reads["d/a.alder"], 1);
}

TEST(IncludesTest, ReadsFileOnceWhenIncludedTwiceAndExpandsPatterns) {
  MemoryLoader loader;
  loader.files = {
      {"main.alder",
       "include \"r/*.alder\"\ninclude \"shared.alder\"\ninclude \"./r/../shared.alder\"\n"},
      {"r/1.alder", "include \"../shared.alder\"\nlet one = 1\n"},
      {"r/2.alder", "let two = 2\n"},
      {"shared.alder", "let all = 3\n"}};
  diagnostics::Findings findings;
  const auto program = config_language::load("main.alder", loader, findings);
  EXPECT_TRUE(findings.list().empty());
  EXPECT_EQ(program.statements.size(), 3u);
  for (const auto& [path, reads] : loader.reads) EXPECT_EQ(reads, 1) << path;
  EXPECT_EQ(program.statements[0]->arguments[0].text, "all") << "in the include's place";
  loader.files["main.alder"] = "include \"absent.alder\"\n";
  diagnostics::Findings absent_findings;
  (void)config_language::load("main.alder", loader, absent_findings);
  EXPECT_EQ(absent_findings.list()[0].code, "A010");
  EXPECT_EQ(absent_findings.list()[0].location.line, 1u);
}

TEST(IncludesTest, LimitsDepthAndNumberOfFiles) {
  MemoryLoader loader;
  for (int i = 0; i < 60; ++i) {
    loader.files["f" + std::to_string(i)] = "include \"f" + std::to_string(i + 1) + "\"\n";
  }
  diagnostics::Findings findings;
  (void)config_language::load("f0", loader, findings);
  EXPECT_EQ(findings.list().at(0).code, "A007");
  MemoryLoader many_files;
  for (int i = 0; i < 1100; ++i) many_files.files["r/" + std::to_string(i)] = "";
  many_files.files["all"] = "include \"r/*\"\n";
  diagnostics::Findings many_findings;
  (void)config_language::load("all", many_files, many_findings);
  EXPECT_EQ(many_findings.list().at(0).code, "A008");
  diagnostics::Findings nesting_findings;
  (void)format_text(std::string(100'000, '['), nesting_findings);
  (void)format_text("a = " + std::string(100'000, '['), nesting_findings);
  std::string deep;
  for (int i = 0; i < 50'000; ++i) deep += "a {\n";
  (void)format_text(deep, nesting_findings);
  EXPECT_FALSE(nesting_findings.is_ok());
}

// Applies random edits to good files: nothing may crash, and formatting must keep the tree and be
// idempotent.
RC_GTEST_PROP(FormatTest, IsIdempotentAndKeepsTheMeaning, ()) {
  static const auto paths = corpus_files("good");
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  const auto below = [&](std::size_t n) { return n ? static_cast<std::size_t>(random()) % n : 0; };
  for (int round = 0; round < 10; ++round) {
    std::string text = read_text(paths[below(paths.size())]);
    for (std::size_t i = 0, edits = below(4); i < edits && !text.empty(); ++i) {
      const auto at = below(text.size());
      static const std::string fragments[] = {"\n", "\n\n", " # c\n", "{", "}",   "[",  "]",
                                              ",",  ";",    "\"",     "=", "20%", "$x", "# d\n"};
      if (random() % 3 == 0) {
        text.erase(at, 1 + below(20));
      } else {
        text.insert(at, fragments[below(std::size(fragments))]);
      }
    }
    diagnostics::Findings findings;
    config_language::Sources sources;
    const auto before = parse_text(sources, text);
    const auto once = config_language::format(before);
    const auto after = parse_text(sources, once);
    RC_ASSERT(config_language::is_equivalent(before, after));
    RC_ASSERT(config_language::format(after) == once);
  }
}

}  // namespace

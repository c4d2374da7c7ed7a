// Tests of the commands of the program alderspur: their exit codes, messages and the files that
// they change.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "support/build_paths.h"

namespace {

namespace fs = std::filesystem;

class CommandLineTest : public ::testing::Test {
 protected:
  void SetUp() override {
    char name[] = "/tmp/alderspur-program-XXXXXX";
    folder = ::mkdtemp(name);
    write("a.toml", list(1, "in_service", "4.0"));
    write("b.toml", list(2, "in_service", "5.0"));
  }
  void TearDown() override { fs::remove_all(folder); }
  static std::string server(const std::string& id, int port, const std::string& state,
                            const std::string& weight) {
    return "[[server]]\nid = \"" + id +
           "\"\nrole = \"cache\"\npoint = \"edge\"\naddress = \"127.0.0.1:" + std::to_string(port) +
           "\"\nweight = " + weight + "\nstate = \"" + state + "\"\ncell = 0\n";
  }
  static std::string list_header(int generation, int servers) {
    return "format = 1\ngeneration = " + std::to_string(generation) +
           "\nservers = " + std::to_string(servers) +
           "\n[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge\"\nhub = \"hub\"\n";
  }
  static std::string list(int generation, const std::string& state, const std::string& weight) {
    return list_header(generation, 2) + server("s-1", 1, state, weight) +
           server("s-2", 2, "in_service", "4.0");
  }
  void write(const std::string& name, const std::string& text) const {
    std::ofstream(folder + "/" + name, std::ios::binary) << text;
  }
  std::string text(const std::string& name) const {
    std::ifstream in(folder + "/" + name, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
  }
  // Runs the program in the test's folder and returns its exit code. Standard output and standard
  // error are stored in `output`.
  int run(const std::string& arguments) {
    const std::string command =
        "cd " + folder + " && " + test_paths::kProgram + " " + arguments + " 2>&1";
    FILE* out = ::popen(command.c_str(), "r");
    output.clear();
    char buffer[4096];
    for (std::size_t n; (n = std::fread(buffer, 1, sizeof buffer, out)) > 0;) {
      output.append(buffer, n);
    }
    const int status = ::pclose(out);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  bool has_printed(const std::string& expected) const {
    return output.find(expected) != std::string::npos;
  }
  std::string folder;
  std::string output;
};

TEST_F(CommandLineTest, ExitsWithCodeForSuccessFindingsOrUsage) {
  EXPECT_EQ(run("version"), 0);
  EXPECT_EQ(run("--help"), 0);
  EXPECT_EQ(run("check --help"), 0);
  EXPECT_TRUE(has_printed("Example:"));
  for (const char* usage :
       {"", "chek a.toml", "check", "run", "diff a.toml", "check --colour a.toml"}) {
    EXPECT_EQ(run(usage), 2) << usage;
  }
  EXPECT_EQ(run("check a.toml b.toml"), 0) << output;
  write("bad.toml", list(1, "in_sevrice", "4.0"));
  EXPECT_EQ(run("check a.toml bad.toml"), 1);
  EXPECT_TRUE(has_printed("bad.toml:15:9: error F003: state:")) << output;
  EXPECT_TRUE(has_printed("did you mean 'in_service'?")) << output;
  EXPECT_TRUE(has_printed("a.toml: good: 2 servers")) << output;
  EXPECT_EQ(run("check absent.toml"), 1);
  EXPECT_EQ(run("check --json bad.toml"), 1);
  EXPECT_TRUE(has_printed(R"("code":"F003","file":"bad.toml","line":15,"column":9)")) << output;
}

TEST_F(CommandLineTest, ChecksAndDescribesChangeAgainstCurrentList) {
  EXPECT_EQ(run("check --against b.toml a.toml"), 1) << "the generation decreases";
  EXPECT_TRUE(has_printed("L020")) << output;
  EXPECT_EQ(run("check --against a.toml b.toml"), 0) << output;
  EXPECT_TRUE(has_printed("1 with a new weight")) << output;
  EXPECT_EQ(run("diff a.toml b.toml"), 1);
  EXPECT_TRUE(has_printed("generation 1 to 2: 1 with a new weight")) << output;
  EXPECT_EQ(run("diff --json a.toml b.toml"), 1);
  EXPECT_TRUE(has_printed(R"("weighted":["s-1"])")) << output;
  write("order.toml", "# another order, the same list\n" + list_header(3, 2) +
                          server("s-2", 2, "in_service", "4.0") +
                          server("s-1", 1, "in_service", "4.0"));
  EXPECT_EQ(run("diff a.toml order.toml"), 0) << output;
}

TEST_F(CommandLineTest, SealsListWithDigestThatDetectsEdits) {
  EXPECT_EQ(run("seal a.toml"), 0) << output;
  EXPECT_EQ(text("a.toml").rfind("digest = \"xxh3:", 0), 0u);
  EXPECT_EQ(run("check a.toml"), 0) << output;
  auto edited = text("a.toml");
  edited.replace(edited.find("4.0"), 3, "6.0");
  write("a.toml", edited);
  EXPECT_EQ(run("check a.toml"), 1);
  EXPECT_TRUE(has_printed("L006")) << output;
  EXPECT_EQ(run("seal a.toml"), 0);
  EXPECT_EQ(run("check a.toml"), 0);

  fs::create_directory(folder + "/d");
  write("d/one.toml", server("s-1", 1, "in_service", "4.0"));
  write("d/two.toml", server("s-2", 2, "in_service", "4.0"));
  write("d/manifest.toml",
        list_header(1, 2) +
            "[[piece]]\nfile = \"one.toml\"\ndigest = \"xxh3:0000000000000000\"\n"
            "[[piece]]\nfile = \"two.toml\"\ndigest = \"xxh3:0000000000000000\"\n");
  EXPECT_EQ(run("check d"), 1);
  EXPECT_EQ(run("seal d"), 0) << output;
  EXPECT_EQ(run("check d"), 0) << output;
  EXPECT_EQ(run("diff b.toml d"), 1);
  write("d/two.toml", server("s-2", 2, "draining", "4.0"));
  EXPECT_EQ(run("check d"), 1);
  EXPECT_TRUE(has_printed("piece two.toml")) << output;
}

TEST_F(CommandLineTest, ChecksFormatsComparesAndExplainsLanguageFiles) {
  const std::string good =
      "class a {\n  repeat = safe\n  deadline = 1 s\n}\n\nroute r {\n  path = \"/r/{o}\"\n  class "
      "= a\n}\n";
  write("good.alder", good);
  write("unformatted.alder",
        "class a{repeat=safe;deadline=1000ms}\n\nroute r{path=\"/r/{o}\";class=a}");
  write("bad.alder", "class a {\n  repeat = sage\n  deadline = 1000\n}\n");
  EXPECT_EQ(run("check good.alder unformatted.alder"), 0) << output;
  EXPECT_EQ(run("check bad.alder"), 1);
  EXPECT_TRUE(
      has_printed("bad.alder:2:12: error A019: 'sage' is no value of repeat (did you mean safe?)\n"
                  "      repeat = sage\n               ^"))
      << output;
  EXPECT_TRUE(has_printed("1000 ms or 1000 s")) << output;
  EXPECT_EQ(run("fmt --check good.alder"), 0) << output;
  EXPECT_EQ(run("fmt --check unformatted.alder"), 1);
  EXPECT_EQ(run("diff good.alder unformatted.alder"), 0) << output;
  EXPECT_EQ(run("fmt --write unformatted.alder"), 0);
  EXPECT_EQ(run("fmt --check unformatted.alder"), 0);
  EXPECT_EQ(run("diff good.alder unformatted.alder"), 0) << output;
  write("broken.alder", "class a {\n");
  EXPECT_EQ(run("fmt --write broken.alder"), 1);
  EXPECT_EQ(text("broken.alder"), "class a {\n") << "an invalid file is not changed";
  EXPECT_EQ(run("explain good.alder 'GET h/r/7'"), 0) << output;
  EXPECT_TRUE(has_printed("route r (good.alder:6), class a (good.alder:1), o=7")) << output;
  EXPECT_EQ(run("explain good.alder 'GET h/s'"), 1);
  EXPECT_EQ(run("explain good.alder nothing"), 2);
}

TEST_F(CommandLineTest, ExitsWithReasonWhenStartFails) {
  EXPECT_EQ(run("run --settings absent.toml"), 1);
  write("alderspur.toml", "[router]\nconfg = \"config.json\"\n");
  EXPECT_EQ(run("run --settings alderspur.toml"), 1);
  EXPECT_TRUE(has_printed(
      "alderspur.toml:2:1: error F004: the key confg is not known (did you mean config?)"))
      << output;
  write("config.json",
        R"({"listen":"127.0.0.1:0","known":{"rev":0,"notices":[]},"settings":{"azs":["hub","edge"],
    "zone":1,"shapes":["small"],"classes":[{"name":"asset","points":1,"repeat":"safe"}]}})");
  const std::string good =
      "[router]\nconfig = \"config.json\"\n[membership]\nauthority = \"files\"\nlist = "
      "\"l.toml\"\n";
  write("alderspur.toml", good);
  EXPECT_EQ(run("run --settings alderspur.toml"), 1);
  EXPECT_TRUE(has_printed("no usable list of servers")) << output;
  EXPECT_TRUE(has_printed("l.toml: No such file")) << output;
  write("l.toml", "format = 1\n");
  EXPECT_EQ(run("run --settings alderspur.toml"), 1);
  EXPECT_TRUE(has_printed("the key generation is missing")) << output;
  EXPECT_EQ(run("check alderspur.toml"), 1) << "check reads the list that the settings refer to";
  write("l.toml", list(1, "in_service", "4.0"));
  EXPECT_EQ(run("check alderspur.toml"), 0) << output;
  write("alderspur.toml", good + "[routes]\nfile = \"main.alder\"\n");
  const std::string program =
      "class asset {\n  repeat = safe\n  deadline = 1 s\n}\npool p {\n  role = cache\n  point = "
      "\"edge\"\n}\n"
      "route r {\n  path = \"/r/{object}\"\n  class = asset\n  pool = p\n}\n";
  write("main.alder", program);
  EXPECT_EQ(run("check alderspur.toml"), 0) << output;
  write("main.alder", std::string(program).replace(program.find("\"edge\""), 6, "\"egde\""));
  EXPECT_EQ(run("check alderspur.toml"), 1);
  EXPECT_TRUE(has_printed("main.alder:5:6: error A043: pool p selects no server")) << output;
  EXPECT_EQ(run("state ."), 1);
}

}  // namespace

#include "config_language/load.h"

#include <filesystem>
#include <set>
#include <utility>

#include "config_language/parser.h"

namespace alderspur::config_language {
namespace {

std::string normal(const std::string& path) {
  return std::filesystem::path(path).lexically_normal().string();
}

class Reader {
 public:
  Reader(Program& program, Loader& loader, diagnostics::Findings& findings)
      : program_(program), loader_(loader), findings_(findings) {
    // Statements point into the trees: those must never move.
    program_.trees.reserve(kMaxFiles);
  }

  // False: there is no such file, which the caller tells with its place.
  bool file(const std::string& path, std::string& error) {
    if (!read_.insert(path).second) return true;  // read already, by another way
    auto text = loader_.read(path, error);
    if (!text) return false;
    all_ += text->size();
    if (program_.trees.size() >= kMaxFiles || all_ > kMaxProgramBytes) {
      if (!std::exchange(full_, true)) {
        findings_.error("A008", {path, 0, 0}, "the program has too many files or bytes",
                        std::to_string(kMaxFiles) + " files and 16 MiB are the bounds");
      }
      return true;
    }
    const auto id = program_.sources.add(path, std::move(*text));
    program_.trees.push_back(parse(program_.sources, id, findings_));
    chain_.push_back({path, {}});
    for (const auto& s : program_.trees[program_.trees.size() - 1].statements) {
      statements_of(s, path);
    }
    chain_.pop_back();
    return true;
  }

 private:
  struct Step {
    std::string path;
    Span include;
  };

  void statements_of(const Statement& s, const std::string& path) {
    if (s.key != "include") {
      program_.statements.push_back(&s);
      return;
    }
    const auto place = program_.sources.location(s.span);
    if (s.arguments.size() != 1 || s.arguments[0].kind != Value::Kind::string || s.value ||
        s.block) {
      findings_.error("A006", place, "include takes one path in quotes",
                      "include \"routes/*.alder\"");
      return;
    }
    chain_.back().include = s.span;
    const auto& wanted = s.arguments[0].text;
    const auto target = normal((std::filesystem::path(path).parent_path() / wanted).string());
    const bool pattern = wanted.find_first_of("*?") != std::string::npos;
    const auto paths = pattern ? loader_.match(target) : std::vector<std::string>{target};
    if (paths.empty()) {
      findings_.warn("A010", program_.sources.location(s.arguments[0].span),
                     "no file is named by " + wanted);
    }
    for (const auto& p : paths) include(normal(p), s);
  }

  void include(const std::string& path, const Statement& s) {
    const auto place = program_.sources.location(s.arguments[0].span);
    std::string told;
    bool cycle = false;
    for (const auto& step : chain_) {
      cycle |= step.path == path;
      if (cycle) {
        told +=
            step.path + ":" + std::to_string(program_.sources.location(step.include).line) + " -> ";
      }
    }
    if (cycle) {
      findings_.error("A011", place, "include cycle: " + told + path,
                      "remove one of these includes");
      return;
    }
    if (chain_.size() >= kMaxIncludeDepth) {
      findings_.error("A007", place, "includes stand too deep in one another",
                      "at most " + std::to_string(kMaxIncludeDepth));
      return;
    }
    std::string error;
    if (!file(path, error)) findings_.error("A010", place, "cannot read " + path + ": " + error);
  }

  Program& program_;
  Loader& loader_;
  diagnostics::Findings& findings_;
  std::vector<Step> chain_;
  std::set<std::string> read_;
  std::size_t all_ = 0;
  bool full_ = false;
};

}  // namespace

Program load(const std::string& root, Loader& loader, diagnostics::Findings& findings) {
  Program out;
  std::string error;
  if (!Reader(out, loader, findings).file(normal(root), error)) {
    findings.error("A010", {root, 0, 0}, "cannot read " + root + ": " + error);
  }
  return out;
}

}  // namespace alderspur::config_language

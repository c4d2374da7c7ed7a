#include "config_language/load.h"

#include <algorithm>
#include <filesystem>
#include <optional>
#include <set>
#include <utility>

#include "config_language/parser.h"

namespace alderspur::config_language {
namespace {

std::string normalize(const std::filesystem::path& path) {
  return path.lexically_normal().string();
}

std::string describe(const std::string& path, ReadError error) {
  return "cannot read " + path + ": " + to_string(error);
}

bool is_include_of_one_path(const Statement& statement) {
  const auto& arguments = statement.arguments;
  return arguments.size() == 1 && arguments[0].kind == Value::Kind::string && !statement.value &&
         !statement.has_block;
}

class ProgramReader {
 public:
  ProgramReader(Program& program, Loader& loader, diagnostics::Findings& findings)
      : program_(program), loader_(loader), findings_(findings) {
    // Program::statements points into the trees, so the vector must never reallocate.
    program_.trees.reserve(kMaxFiles);
  }

  /// Reads a file and its includes, unless the file has been read before. Returns an error if the
  /// file itself cannot be read; the caller reports it at the place that names the file.
  std::optional<ReadError> read_file(const std::string& path) {
    if (!read_paths_.insert(path).second) return std::nullopt;
    auto result = loader_.read(path);
    if (const auto* error = std::get_if<ReadError>(&result)) return *error;
    auto& text = std::get<std::string>(result);
    total_bytes_ += text.size();
    if (program_.trees.size() >= kMaxFiles || total_bytes_ > kMaxProgramBytes) {
      report_too_large(path);
      return std::nullopt;
    }
    const std::uint32_t file = program_.sources.add(path, std::move(text));
    program_.trees.push_back(parse(program_.sources, file, findings_));
    const Tree& tree = program_.trees.back();
    include_chain_.push_back({path, {}});
    for (const auto& statement : tree.statements) read_statement(statement, path);
    include_chain_.pop_back();
    return std::nullopt;
  }

 private:
  /// A file that is being read and the location of its include that is being processed.
  struct IncludeStep {
    std::string path;
    Span include;
  };

  void report_too_large(const std::string& path) {
    if (std::exchange(is_too_large_, true)) return;
    findings_.error("A008", {path, 0, 0}, "the program has too many files or bytes",
                    std::to_string(kMaxFiles) + " files and 16 MiB are the bounds");
  }

  void read_statement(const Statement& statement, const std::string& path) {
    if (statement.key != "include") {
      program_.statements.push_back(&statement);
      return;
    }
    if (!is_include_of_one_path(statement)) {
      findings_.error("A006", program_.sources.location(statement.span),
                      "include takes one path in quotes", "include \"routes/*.alder\"");
      return;
    }
    include_chain_.back().include = statement.span;
    const Value& argument = statement.arguments[0];
    const auto paths = included_paths(argument.text, path);
    if (paths.empty()) {
      findings_.warn("A010", program_.sources.location(argument.span),
                     "no file is named by " + argument.text);
    }
    for (const auto& included : paths) include(normalize(included), argument.span);
  }

  std::vector<std::string> included_paths(const std::string& text, const std::string& from) {
    const auto path = normalize(std::filesystem::path(from).parent_path() / text);
    const bool is_pattern = text.find_first_of("*?") != std::string::npos;
    if (is_pattern) return loader_.match(path);
    return {path};
  }

  void include(const std::string& path, const Span& span) {
    const auto location = program_.sources.location(span);
    const auto cycle = std::find_if(include_chain_.begin(), include_chain_.end(),
                                    [&path](const auto& step) { return step.path == path; });
    if (cycle != include_chain_.end()) {
      std::string steps;
      for (auto step = cycle; step != include_chain_.end(); ++step) {
        const auto line = program_.sources.location(step->include).line;
        steps += step->path + ":" + std::to_string(line) + " -> ";
      }
      findings_.error("A011", location, "include cycle: " + steps + path,
                      "remove one of these includes");
      return;
    }
    if (include_chain_.size() >= kMaxIncludeDepth) {
      findings_.error("A007", location, "includes stand too deep in one another",
                      "at most " + std::to_string(kMaxIncludeDepth));
      return;
    }
    if (const auto error = read_file(path)) {
      findings_.error("A010", location, describe(path, *error));
    }
  }

  Program& program_;
  Loader& loader_;
  diagnostics::Findings& findings_;
  std::vector<IncludeStep> include_chain_;
  std::set<std::string> read_paths_;
  std::size_t total_bytes_ = 0;
  bool is_too_large_ = false;
};

}  // namespace

const char* to_string(ReadError error) {
  switch (error) {
    case ReadError::not_found:
      return "there is no such file";
    case ReadError::not_a_regular_file:
      return "it is no regular file";
    case ReadError::not_readable:
      break;
  }
  return "it may not be read";
}

Program load(const std::string& root, Loader& loader, diagnostics::Findings& findings) {
  Program program;
  ProgramReader reader(program, loader, findings);
  if (const auto error = reader.read_file(normalize(root))) {
    findings.error("A010", {root, 0, 0}, describe(root, *error));
  }
  return program;
}

}  // namespace alderspur::config_language

#include "config_language/check.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "config_language/constants.h"
#include "config_language/declaration_check.h"
#include "config_language/declaration_reader.h"
#include "config_language/name_check.h"
#include "config_language/reporter.h"
#include "config_language/route_check.h"

namespace alderspur::config_language {

Meaning check(const Program& program, diagnostics::Findings& findings) {
  Reporter reporter(program.sources, findings);
  Constants constants(reporter);
  for (const auto* statement : program.statements) {
    if (statement->key == "let") constants.declare(*statement);
  }
  DeclarationReader reader(reporter, constants);
  for (const auto* statement : program.statements) {
    if (statement->key != "let") reader.read(*statement);
  }
  Meaning meaning(reader.take_declarations());

  // A name that seems unknown may be declared in a part of the program that did not parse.
  const bool is_complete = std::none_of(program.trees.begin(), program.trees.end(),
                                        [](const Tree& tree) { return tree.is_incomplete; });
  NameCheck names(meaning, reporter);
  names.check_duplicates();
  names.check_references(is_complete);
  check_declarations(meaning, reporter);
  check_routes(meaning, reporter);
  // A name that seems unused may be used in a part of the program that has an error.
  if (findings.is_ok()) {
    names.check_unused();
    constants.check_unused();
  }
  return meaning;
}

}  // namespace alderspur::config_language

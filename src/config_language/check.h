// Checks a loaded program and returns its meaning: the declarations with resolved values.
//
// Codes: A006 a statement of another form, A012 a number without a unit, A013 a value of another
// type, A014 out of bounds, A015 an unknown field, A016 an unknown declaration, A017 a duplicate
// field, A018 a missing field, A019 not one of the allowed words; A020 a duplicate name, A021 an
// unknown name, A022 unused (warning), A023 constants that define each other, A024 an unknown
// constant; A030 an attempt's deadline over its request's, A031 a grace time shorter than the fresh
// time (warning), A032 a hedge after the deadline, A033 a policy that retries a class that is not
// idempotent, A034 a target over the deadline, A035 parallel attempts, A036 fills across locations;
// A040 a route that another hides, A041 no path, A042 splits over 100%. The other modules of this
// folder list codes of their own.
#pragma once

#include "config_language/load.h"
#include "config_language/meaning.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// Checks the program and appends errors and warnings to `findings`. The returned meaning is
/// incomplete if an error was reported.
Meaning check(const Program& program, diagnostics::Findings& findings);

}  // namespace alderspur::config_language

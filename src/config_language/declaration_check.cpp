#include "config_language/declaration_check.h"

#include <algorithm>
#include <string>

namespace alderspur::config_language {
namespace {

/// Two numeric settings of a declaration, the first of which exceeds the second.
struct ExceedingPair {
  const Setting* larger = nullptr;
  const Setting* smaller = nullptr;

  explicit operator bool() const { return larger != nullptr; }
};

/// Returns both settings if the first exceeds the second. Returns an empty pair if it does not or
/// if one of them is absent.
ExceedingPair find_exceeding(const Declaration& declaration, const char* first,
                             const char* second) {
  const Setting* larger = declaration.find(first);
  const Setting* smaller = declaration.find(second);
  if (!larger || !smaller || !larger->number || !smaller->number) return {};
  if (*larger->number <= *smaller->number) return {};
  return {larger, smaller};
}

void check_attempt_deadline(const Declaration& declaration, Reporter& reporter) {
  const auto pair = find_exceeding(declaration, "attempt-deadline", "deadline");
  if (!pair) return;
  reporter.error("A030", pair.larger->span,
                 "an attempt's deadline of " + pair.larger->written + " is over its request's of " +
                     pair.smaller->written,
                 "make it shorter, or the other longer");
}

void check_hedge(const Declaration& declaration, Reporter& reporter) {
  if (const auto pair = find_exceeding(declaration, "hedge-after", "deadline")) {
    reporter.error("A032", pair.larger->span,
                   "a hedge after " + pair.larger->written + " comes after the deadline of " +
                       pair.smaller->written,
                   "hedge earlier");
  } else if (const auto ended = find_exceeding(declaration, "hedge-after", "attempt-deadline")) {
    reporter.error("A032", ended.larger->span,
                   "a hedge after " + ended.larger->written +
                       " comes when the attempt has ended, after " + ended.smaller->written,
                   "hedge earlier");
  }
}

void check_target(const Declaration& declaration, Reporter& reporter) {
  const auto pair = find_exceeding(declaration, "target", "deadline");
  if (!pair) return;
  reporter.error(
      "A034", pair.larger->span,
      "a target of " + pair.larger->written + " is over the deadline of " + pair.smaller->written,
      "was another unit meant?");
}

void check_grace(const Declaration& declaration, Reporter& reporter) {
  const auto pair = find_exceeding(declaration, "fresh", "grace");
  if (!pair || *pair.smaller->number <= 0) return;
  reporter.warn("A031", pair.smaller->span,
                "a grace of " + pair.smaller->written + " is shorter than the fresh time of " +
                    pair.larger->written,
                "copies are renewed for most of their life; was another unit meant?");
}

void check_parallel_attempts(const Declaration& declaration, Reporter& reporter) {
  if (declaration.number("parallel", 1) <= 1) return;
  reporter.error("A035", declaration.find("parallel")->span,
                 "two attempts of a request may never be out at once", "parallel = 1");
}

void check_fill(const Declaration& declaration, Reporter& reporter) {
  const Setting* fill = declaration.find("fill");
  if (!fill) return;
  const auto& sources = fill->texts;
  if (std::find(sources.begin(), sources.end(), "other-point") == sources.end()) return;
  reporter.error("A036", fill->span, "no fill may come from a cache of another point",
                 "use parent, origin or point");
}

/// Returns the declaration of this kind that the settings refer to, or null if there is none.
const Declaration* find_referenced(const Meaning& meaning, const char* kind,
                                   const Settings& settings) {
  const auto it = settings.find(kind);
  if (it == settings.end() || it->second.texts.empty()) return nullptr;
  return meaning.find(kind, it->second.texts[0]);
}

void check_policy_of_unsafe_class(const Meaning& meaning, const Declaration& route_class,
                                  const Settings& settings, Reporter& reporter) {
  const Declaration* policy = find_referenced(meaning, "policy", settings);
  if (!policy) return;
  const bool repeats = policy->number("attempts", 1) > 1 || policy->find("hedge-after");
  if (!repeats) return;
  reporter.error("A033", settings.at("policy").span,
                 "class " + route_class.name + " is unsafe to repeat, and policy " + policy->name +
                     " repeats it",
                 "use a policy with attempts = 1 and no hedge");
}

void check_idempotency(const Meaning& meaning, const Declaration& route, Reporter& reporter) {
  const Declaration* route_class = find_referenced(meaning, "class", route.settings);
  const Setting* repeat = route_class ? route_class->find("repeat") : nullptr;
  const bool is_unsafe = repeat && !repeat->texts.empty() && repeat->texts[0] == "unsafe";
  if (!is_unsafe) return;
  check_policy_of_unsafe_class(meaning, *route_class, route.settings, reporter);
  for (const auto& split : route.splits) {
    check_policy_of_unsafe_class(meaning, *route_class, split.settings, reporter);
  }
}

}  // namespace

void check_declarations(const Meaning& meaning, Reporter& reporter) {
  for (const auto& declaration : meaning.declarations()) {
    check_attempt_deadline(declaration, reporter);
    check_hedge(declaration, reporter);
    check_target(declaration, reporter);
    check_grace(declaration, reporter);
    check_parallel_attempts(declaration, reporter);
    check_fill(declaration, reporter);
    if (declaration.kind->name == "route") check_idempotency(meaning, declaration, reporter);
  }
}

}  // namespace alderspur::config_language

#include "policy_state/outcome.h"

namespace alderspur::policy {

bool is_response(AttemptResult result) {
  return result == AttemptResult::ok || result == AttemptResult::error ||
         result == AttemptResult::overloaded || result == AttemptResult::miss;
}

bool never_ran(AttemptResult result) {
  return result == AttemptResult::overloaded || result == AttemptResult::connect_failed ||
         result == AttemptResult::already_finished || result == AttemptResult::miss ||
         result == AttemptResult::not_sent;
}

bool fill_failed(const AttemptOutcome& outcome) {
  return outcome.fill_outcome >= FillOutcome::source_refused;
}

bool source_failed(const AttemptOutcome& outcome) {
  return outcome.fill_outcome == FillOutcome::source_refused ||
         outcome.fill_outcome == FillOutcome::source_unreachable;
}

bool was_filled(const AttemptOutcome& outcome) {
  return outcome.result == AttemptResult::ok &&
         (outcome.fill_outcome == FillOutcome::filled ||
          outcome.fill_outcome == FillOutcome::filled_by_origin);
}

bool needed_no_fill(const AttemptOutcome& outcome) {
  return outcome.fill_outcome == FillOutcome::hit ||
         outcome.fill_outcome == FillOutcome::joined_fill;
}

}  // namespace alderspur::policy

// Classifies the outcome of an attempt without regard to the request and the server. All functions
// are pure.
#pragma once

#include "alderspur/router.h"

namespace alderspur::policy {

/// Reports whether the server itself responded, successfully or not.
bool is_response(AttemptResult result);
/// Reports whether the result proves that the server did not execute the request.
bool never_ran(AttemptResult result);
/// Reports whether the fill failed. The cache that reported the failure is healthy.
bool fill_failed(const AttemptOutcome& outcome);
/// Reports whether the fill failed because its source refused the cache's request or was
/// unreachable.
bool source_failed(const AttemptOutcome& outcome);
/// Reports whether the response was filled from the source.
bool was_filled(const AttemptOutcome& outcome);
/// Reports whether the cache already had the object, or joined the fill of another request.
bool needed_no_fill(const AttemptOutcome& outcome);

}  // namespace alderspur::policy

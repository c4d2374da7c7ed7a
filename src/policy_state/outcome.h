// What the end of an attempt says, independent of the request and the server. Pure functions.
#pragma once

#include "alderspur/router.h"

namespace alderspur::policy {

/// The server itself responded, with success or not.
bool is_response(AttemptResult result);
/// The server did nothing for the request.
bool never_ran(AttemptResult result);
/// The fill failed; the cache that reported it is healthy.
bool fill_failed(const AttemptOutcome& outcome);
/// The source of the fill did not respond to the cache.
bool source_failed(const AttemptOutcome& outcome);
/// The object came from the source.
bool was_filled(const AttemptOutcome& outcome);
/// The cache had the object, or the fill of another request brought it.
bool needed_no_fill(const AttemptOutcome& outcome);

}  // namespace alderspur::policy

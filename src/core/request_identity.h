// Identifies a client's request across its tries. The functions are pure.
#pragma once

#include <cstdint>
#include <optional>

#include "alderspur/router.h"
#include "core/engine.h"

namespace alderspur::core {

/// Returns the identity of a request whose class does not allow it to run twice: its idempotency
/// key or, without one, its id and class. Returns nullopt if these are not hexadecimal.
std::optional<alderspur::RequestIdentity> request_identity(const RequestView& view);

/// Returns a hash of what is the same in all tries of a request: the class, the object, the part
/// and the body. It is the same only within one process.
std::uint64_t content_hash(const RequestView& view);

}  // namespace alderspur::core

// Operators' calls on versions: reads proposals from the query and the body of a call.
// docs/versions.md explains the calls. No I/O and no state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "admin/admin_handler.h"
#include "consensus/node_events.h"

namespace alderspur::control {

/// The proposal, or the reply that says why the call is not one.
using ProposalOrReply = std::variant<consensus::OperatorProposal, admin::HttpReply>;

/// `path`: what follows the common prefix of these calls; `nonce`: of the proposal, unless the
/// query gives one, as a caller does that has not received the reply to an earlier call.
ProposalOrReply read_proposal(std::string_view path, std::string_view query,
                              const std::string& body, std::uint64_t nonce);

/// The number at the end of a path; 0: there is none.
std::uint64_t read_number(std::string_view text);

}  // namespace alderspur::control

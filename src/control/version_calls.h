// Parses the admin calls by which operators propose versions, changes of the voters and decisions
// on canary rollouts. docs/versions.md describes the calls. The functions do no I/O and keep no
// state.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "admin/admin_handler.h"
#include "consensus/node_events.h"

namespace alderspur::control {

/// A proposal, or the error reply to a call that is not a valid proposal.
using ProposalOrReply = std::variant<consensus::OperatorProposal, admin::HttpReply>;

/// Parses a proposal. `path` is the path of the call after the common prefix of the version calls.
/// `nonce` identifies the proposal, unless the query contains a nonce: a client that retries a call
/// whose reply it has not received sends the nonce of that call.
ProposalOrReply read_proposal(std::string_view path, std::string_view query,
                              const std::string& body, std::uint64_t nonce);

/// Returns the decimal number at the start of `text`, or 0 if there is none.
std::uint64_t read_number(std::string_view text);

}  // namespace alderspur::control

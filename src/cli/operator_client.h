// One HTTP call to the operators' address of a running router, for the subcommands that ask it.
// Blocks the calling thread, for 3 s at most in each step.
#pragma once

#include <string>

namespace alderspur::cli {

/// The status of a reply that has the requested content.
constexpr int kHttpOk = 200;
/// The status of a reply to a proposal that is not decided yet.
constexpr int kHttpAccepted = 202;

/// A router's reply.
struct OperatorReply {
  int status = 0;  // the HTTP status; 0: no router replied
  std::string body;
};

/// Sends one request and waits for the whole reply. `address`: host and port as numbers; `target`:
/// path and query.
OperatorReply call_operators(const std::string& address, const std::string& method,
                             const std::string& target, const std::string& body = {});

}  // namespace alderspur::cli

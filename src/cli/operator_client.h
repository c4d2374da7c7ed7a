// A blocking HTTP client that sends one request to the operators' address of a running router. Each
// socket operation blocks the calling thread for at most 3 s.
#pragma once

#include <string>

namespace alderspur::cli {

/// The HTTP status of a reply that contains the requested content.
constexpr int kHttpOk = 200;
/// The HTTP status of a reply to a proposal that has not been decided yet.
constexpr int kHttpAccepted = 202;

/// A router's reply.
struct OperatorReply {
  int status = 0;  // HTTP status; 0: no valid reply was received
  std::string body;
};

/// Sends one request and waits for the complete reply. `address` is a numeric address and a port;
/// `target` is the path and the query.
OperatorReply call_operators(const std::string& address, const std::string& method,
                             const std::string& target, const std::string& body = {});

}  // namespace alderspur::cli

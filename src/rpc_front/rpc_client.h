// The state of one client's connection, and the limits that several source files of RpcFront use.
// Internal to RpcFront: only its source files include this header. Used on the event loop's thread
// only. Times are in microseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "core/engine.h"
#include "net/connection.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {

/// The platform allows at most this many open calls on one connection.
constexpr std::size_t kMaxOpenCalls = 32;
/// A connection without an open call is closed if its client has not begun a first message for this
/// time, or to make room for a new client if it has not continued an incomplete message for so
/// long.
constexpr core::Time kSilenceTimeout = 2'000'000;
/// The first message of a new client is expected within this time. Until then, a graceful shutdown
/// and the choice of an idle connection to close both spare the client.
constexpr core::Time kNewClientGrace = 150'000;

/// A client is closed while at most this many bytes are on their way to it. The slowest clients
/// read 1 MB a second, and a request that crosses a close within 50 ms is sent again.
constexpr std::size_t kMaxUndeliveredBytes = 50'000;

/// One client's connection, its open calls and the state that its timeouts and limits depend on.
struct RpcFront::Client {
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::uint64_t, core::RequestHandle> open_calls;
  bool is_closed = false;
  bool lingers = false;                // closed; its queued responses are still sent
  bool is_ending = false;              // closes once all calls are answered; new calls are rejected
  bool may_have_disconnected = false;  // waited longer than kMaxAcceptDelay to be accepted
  bool has_disconnected = false;       // closed its sending side before it was accepted
  bool has_sent_message = false;       // sent at least one complete message
  bool has_sent_request = false;       // sent at least one request that was admitted
  core::Time accepted_at = 0;
  core::Time partial_since = 0;       // start of an incomplete message; 0: none
  core::Time idle_since = 0;          // when its last response was delivered, or its accept
  core::Time last_delivery_at = 0;    // last time when the client's side acknowledged bytes
  core::Time waits_until = 0;         // the latest time until which it waits for a response
  std::uint64_t delivered_bytes = 0;  // total bytes that it has acknowledged
  std::size_t queued_bytes = 0;       // its share of RpcFront::queued_bytes_
  std::size_t unread_bytes = 0;       // its share of RpcFront::unread_bytes_
  std::size_t index = 0;              // position in clients_
  std::size_t fewest_open_calls = kMaxOpenCalls;  // minimum since the handoff began
  bool is_marked_changed = false;                 // listed in changed_clients_

  /// Returns whether a call is open, or a response was not sent completely. The client would lose
  /// the responses if its connection were closed now.
  bool awaits_responses() const { return !open_calls.empty() || connection->unwritten() > 0; }
};

}  // namespace alderspur::rpc_front

// The state of a client's connection, and the bounds that the sources of RpcFront share. Internal
// to RpcFront. The loop's thread only; times are microseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "core/engine.h"
#include "net/connection.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {

/// The platform's bound on open calls of one connection.
constexpr std::size_t kMaxOpenCalls = 32;
/// A client that has sent nothing, or no further part of an incomplete message, for this time is
/// closed.
constexpr core::Time kSilenceTimeout = 2'000'000;
/// The first message of a client that has just connected arrives in this time.
constexpr core::Time kNewClientGrace = 150'000;

/// One client's connection with its open calls.
struct RpcFront::Client {
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::uint64_t, core::RequestHandle> open_calls;
  bool is_closed = false;
  bool lingers = false;                // closed, and what was written to it is still sent
  bool is_ending = false;              // closes once its calls are answered; new ones are rejected
  bool may_have_disconnected = false;  // it waited long to be accepted
  bool has_sent_message = false;       // at least one complete message
  bool has_sent_request = false;       // of a kind that could be admitted
  core::Time accepted_at = 0;
  core::Time partial_since = 0;                   // of an incomplete message; 0: there is none
  core::Time idle_since = 0;                      // when its last open call ended
  core::Time last_delivery_at = 0;                // when bytes last left its write queue
  std::uint64_t delivered_bytes = 0;              // bytes that have left its write queue
  std::size_t queued_bytes = 0;                   // as counted in queued_bytes_
  std::size_t unread_bytes = 0;                   // as counted in unread_bytes_
  std::size_t index = 0;                          // position in clients_
  std::size_t fewest_open_calls = kMaxOpenCalls;  // minimum since the handoff began
  bool is_marked_changed = false;                 // listed in changed_clients_
};

}  // namespace alderspur::rpc_front

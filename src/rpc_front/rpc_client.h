// A client's connection as RpcFront keeps it, and the bounds that its sources share. Internal to
// RpcFront. The loop's thread only; times are microseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "core/engine.h"
#include "net/connection.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {

/// Open calls on one connection, as the platform bounds them.
constexpr std::size_t kMaxOpenCalls = 32;
/// A client that has sent nothing, or nothing more of half a message, for so long is closed.
constexpr core::Time kSilenceTimeout = 2'000'000;
/// What a client that has just connected may be sending arrives in this time.
constexpr core::Time kNewClientGrace = 150'000;

struct RpcFront::Client {
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::uint64_t, core::RequestHandle> open_calls;
  bool is_closed = false;
  bool lingers = false;           // closed, but still gets all that was written to it
  bool is_ending = false;         // closes once its calls are answered; new ones are refused
  bool may_have_left = false;     // while it waited to be accepted
  bool has_called = false;        // a whole message came
  bool has_sent_request = false;  // of a kind that could be admitted
  core::Time accepted_at = 0;
  core::Time partial_since = 0;  // half a message has been here since; 0: none
  core::Time idle_since = 0;     // no call has been open since
  core::Time last_taken_at = 0;  // when it last took some of the bytes that wait for it
  std::uint64_t taken_bytes = 0;
  std::size_t queued_bytes = 0;                   // as counted in queued_bytes_
  std::size_t unread_bytes = 0;                   // as counted in unread_bytes_
  std::size_t index = 0;                          // in clients_
  std::size_t fewest_open_calls = kMaxOpenCalls;  // seen since the handoff began
  bool is_touched = false;                        // in touched_
};

}  // namespace alderspur::rpc_front

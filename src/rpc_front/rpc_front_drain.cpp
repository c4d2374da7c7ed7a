// RpcFront: graceful shutdown, and the handoff of clients to a successor process.
#include <algorithm>
#include <stdexcept>

#include "net/lingering.h"
#include "rpc_front/rpc_client.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {
namespace {

/// TCP handshakes in progress when new connections are steered to the successor finish in this
/// time.
constexpr core::Time kHandshakeTime = 100'000;
constexpr core::Time kDrainCheckInterval = 10'000;

}  // namespace

// The listening socket has established connections in its queue, and others whose handshake is in
// progress. New ones are steered to the successor first; the others are accepted here, and the
// socket closes once their handshakes must have finished.
void RpcFront::start_handoff(core::Time drain_by) {
  if (std::exchange(is_handing_off_, true)) return;
  const bool is_steering = listener_ && listener_->steer_to_successor();
  deadlines_.set(engine_.now() + (is_steering ? kHandshakeTime : 0), [this] {
    if (!is_handing_off_ || !listener_) return;
    listener_->accept_rest_and_stop(net::Listener::AcceptRest::all);
    listener_.reset();
  });
  handoff_started_at_ = engine_.now();
  drain_by_ = std::max(drain_by, handoff_started_at_);
  start_drain_checks();
}

void RpcFront::cancel_handoff() {
  if (!std::exchange(is_handing_off_, false) || is_draining_) return;
  if (listener_) return listener_->stop_steering();
  try {
    listen(address_);
  } catch (const std::runtime_error&) {
    // Another process has bound the address and accepts these clients.
  }
}

void RpcFront::drain() {
  if (std::exchange(is_draining_, true)) return;
  start_drain_checks();
}

void RpcFront::finish_all_now() {
  drain();
  if (listener_) {
    listener_->accept_rest_and_stop(net::Listener::AcceptRest::all);
    listener_.reset();
  }
  // Calls of clients that have just connected are rejected; check_drain() closes these clients.
  const core::Time now = engine_.now();
  for (auto& client : clients_) {
    if (client->is_closed) continue;
    if (client->has_sent_message || client->partial_since ||
        now > client->accepted_at + kNewClientGrace) {
      finish_now(*client);
    }
  }
}

void RpcFront::close_all() {
  for (auto& client : clients_) close(*client, CloseMode::immediate);
  while (loop_.lingering().close_oldest()) {
  }
}

bool RpcFront::is_drained() const {
  return !listener_ && client_count_ == 0 && loop_.lingering().size() == 0;
}

void RpcFront::start_drain_checks() {
  if (!std::exchange(checks_drain_, true)) check_drain();
}

void RpcFront::check_drain() {
  checks_drain_ = is_handing_off_ || is_draining_;
  if (!checks_drain_) return;
  if (is_draining_ && listener_ &&
      listener_->accept_rest_and_stop(net::Listener::AcceptRest::within_limits)) {
    listener_.reset();
  }
  const core::Time now = engine_.now();
  for (auto& client : clients_) {
    if (!client->is_closed) check_client_drain(*client, now);
  }
  deadlines_.set(now + kDrainCheckInterval, [this] { check_drain(); });
}

// A handoff fails the calls that are open when an active client is closed, so the client should be
// closed when few are open. The first third of the time only records the minimum; in the second
// third the client is closed when it is down to that minimum, in the last third when it is within
// one of it, and at the end in any case.
void RpcFront::check_client_drain(Client& client, core::Time now) {
  if (may_close_now(client)) {
    if (client.has_sent_message || now > client.accepted_at + kNewClientGrace) {
      close(client, CloseMode::lingering);
    }
    return;
  }
  if (!is_handing_off_) return;
  const core::Time third = std::max<core::Time>(1, (drain_by_ - handoff_started_at_) / 3);
  const std::size_t open_calls = client.open_calls.size();
  if (now < handoff_started_at_ + third) {
    client.fewest_open_calls = std::min(client.fewest_open_calls, open_calls);
    return;
  }
  const std::size_t tolerance = now > handoff_started_at_ + 2 * third ? 1 : 0;
  if (open_calls <= client.fewest_open_calls + tolerance || now >= drain_by_) finish_now(client);
}

// A client is closed at the first moment at which it has all of its responses and no request
// pending: how long it has been idle does not predict when its next request comes. A client that
// never has such a moment may go on sending requests, and those open when the process ends are
// lost. Bytes that have arrived and were not read yet count as a pending request.
bool RpcFront::may_close_now(const Client& client) const {
  if (!is_handing_off_ && !is_draining_) return false;
  const net::Connection& connection = *client.connection;
  return !client.is_closed && client.open_calls.empty() && connection.unwritten() == 0 &&
         connection.unread() == 0 && !connection.has_input_waiting();
}

// The final responses are given in this turn; later calls are rejected.
void RpcFront::finish_now(Client& client) {
  client.is_ending = true;
  for (const auto& [call_id, request] : client.open_calls) engine_.finish_now(request);
  mark_changed(client);
}

}  // namespace alderspur::rpc_front

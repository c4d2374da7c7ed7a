// Implements the part of RpcFront that drains clients: graceful shutdown, and the handoff of
// clients to a successor process.
#include <algorithm>
#include <stdexcept>

#include "net/lingering.h"
#include "rpc_front/rpc_client.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {
namespace {

/// A TCP handshake that is in progress when the kernel starts to steer new connections to the
/// successor is expected to finish within this time.
constexpr core::Time kHandshakeTime = 100'000;
constexpr core::Time kDrainCheckInterval = 10'000;

}  // namespace

// The queue of the listening socket contains established connections, and connections whose
// handshake is in progress. First the kernel is told to steer new connections to the successor.
// This process still accepts the connections in its queue, and closes the socket once their
// handshakes must have finished.
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
    // Another process has bound the address, so it accepts the clients.
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
  // Clients that have just connected are skipped: their calls are rejected, and check_drain()
  // closes them.
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

// Closing an active client during a handoff fails its open calls, so the client should be closed
// when few calls are open. In the first third of the drain time, this function only records the
// minimum number of open calls. In the second third it closes the client when the number is down to
// that minimum, in the last third when it is at most one above it, and at the end in any case.
void RpcFront::check_client_drain(Client& client, core::Time now) {
  if (has_ended(client)) return close(client, CloseMode::lingering);
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

// A client may be closed as soon as all of its responses have been written and no request is
// pending. There is no need to wait longer: the time for which a client has been idle does not
// predict when it sends its next request. A client that always has a request pending is not closed
// here, and the calls that it has open when the process ends are lost. Bytes that have arrived but
// were not read yet count as a pending request.
bool RpcFront::may_close_now(const Client& client) const {
  if (!is_handing_off_ && !is_draining_) return false;
  const net::Connection& connection = *client.connection;
  return !client.is_closed && connection.unread() == 0 && !connection.has_input_waiting() &&
         has_received_most(client);
}

// Sends the final responses to all open calls in this turn. Later calls are rejected.
void RpcFront::finish_now(Client& client) {
  client.is_ending = true;
  for (const auto& [call_id, request] : client.open_calls) engine_.finish_now(request);
  mark_changed(client);
}

}  // namespace alderspur::rpc_front

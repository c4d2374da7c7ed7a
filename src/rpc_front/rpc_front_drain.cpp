// Graceful shutdown of the platform's front, and the handoff of its clients to a successor.
#include <algorithm>
#include <stdexcept>

#include "net/lingering.h"
#include "rpc_front/rpc_client.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {
namespace {

/// Handshakes under way when new connections are steered to the successor end in this time.
constexpr core::Time kHandshakeTime = 100'000;
constexpr core::Time kDrainCheckInterval = 10'000;

}  // namespace

// The listening socket has connections in its queue, and some whose handshake is under way. New
// ones are steered to the successor first; the socket closes once the others must have been
// completed, and they are accepted here.
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
    // Another process has the address: it takes these clients.
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
  // Those that have just connected are refused, and closed by check_drain().
  const core::Time now = engine_.now();
  for (auto& client : clients_) {
    if (client->is_closed) continue;
    if (client->has_called || client->partial_since ||
        now > client->accepted_at + kNewClientGrace) {
      finish_now(*client);
    }
  }
}

void RpcFront::close_all() {
  for (auto& client : clients_) close(*client, CloseMode::immediate);
  while (loop_.lingering().cut_oldest()) {
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

// A handoff costs a busy client the calls that are open when it is closed: fewest at the best
// moment, which nobody knows beforehand. A third of the time is spent watching; then the first
// moment as good as the best one seen is taken, or nearly as good in the last third; and at the end
// any.
void RpcFront::check_client_drain(Client& client, core::Time now) {
  if (may_close_now(client)) {
    if (client.has_called || now > client.accepted_at + kNewClientGrace) {
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

// A client is told to go by a close, in the first moment in which it has its responses and asks for
// nothing: how long that has lasted says nothing of when its next request comes. Until that moment
// it may send requests for ever, and what is open when the process ends is lost. What has arrived
// and is not read yet counts as well.
bool RpcFront::may_close_now(const Client& client) const {
  if (!is_handing_off_ && !is_draining_) return false;
  const net::Connection& connection = *client.connection;
  return !client.is_closed && client.open_calls.empty() && connection.unwritten() == 0 &&
         connection.unread() == 0 && !connection.arrived();
}

// The final responses are given in this turn; later calls are refused.
void RpcFront::finish_now(Client& client) {
  client.is_ending = true;
  for (const auto& [call_id, request] : client.open_calls) engine_.finish_now(request);
  touch(client);
}

}  // namespace alderspur::rpc_front

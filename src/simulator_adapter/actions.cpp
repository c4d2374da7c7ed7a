#include "simulator_adapter/actions.h"

#include <algorithm>
#include <variant>

namespace alderspur::simulator_adapter {
namespace {

/// Action codes of a reply, as they are sent on the wire.
enum class ActionCode : std::uint8_t {
  reject = 3,
  send_with_fill = 4,
  send = 5,
  subscribe = 6,
  health_check = 7,
  fail = 8,
  set_timer = 10,
  cancel = 12
};

// Bits of the flags byte of a fill.
constexpr unsigned kMayJoinBit = 1;
constexpr unsigned kCachedOnlyBit = 2;
constexpr unsigned kRefreshBit = 8;

void write_send(WireWriter& writer, const alderspur::Send& send) {
  writer.u64(send.id.value);
  writer.server_id(send.server);
  writer.duration(std::max<alderspur::Time>(send.timeout, 1));
  if (!send.fill) return;
  const alderspur::Fill& fill = *send.fill;
  writer.server_id(fill.source);
  writer.u8(static_cast<std::uint8_t>(fill.cache_rank));
  writer.duration(fill.max_age);
  const unsigned flags = (fill.may_join ? kMayJoinBit : 0U) |
                         (fill.cached_only ? kCachedOnlyBit : 0U) |
                         (fill.refresh_in_background ? kRefreshBit : 0U);
  writer.u8(static_cast<std::uint8_t>(flags));
}

}  // namespace

void write_action(WireWriter& writer, std::uint32_t instance, const alderspur::Action& action) {
  const auto begin = [&](ActionCode code) {
    writer.u8(static_cast<std::uint8_t>(code));
    writer.u32(instance);
  };
  if (const auto* send = std::get_if<alderspur::Send>(&action)) {
    begin(send->fill ? ActionCode::send_with_fill : ActionCode::send);
    write_send(writer, *send);
  } else if (const auto* reject = std::get_if<alderspur::Reject>(&action)) {
    begin(ActionCode::reject);
    writer.u64(reject->id.value);
    writer.duration(reject->retry_after);
  } else if (const auto* fail = std::get_if<alderspur::Fail>(&action)) {
    begin(ActionCode::fail);
    writer.u64(fail->id.value);
  } else if (const auto* cancel = std::get_if<alderspur::Cancel>(&action)) {
    begin(ActionCode::cancel);
    writer.u64(cancel->id.value);
    writer.u8(static_cast<std::uint8_t>(cancel->attempt.value));
  } else if (const auto* check = std::get_if<alderspur::HealthCheck>(&action)) {
    begin(ActionCode::health_check);
    writer.server_id(check->server);
  } else if (const auto* timer = std::get_if<alderspur::SetTimer>(&action)) {
    begin(ActionCode::set_timer);
    writer.u32(timer->timer.value);
    writer.u64(static_cast<std::uint64_t>(timer->at));
  } else {
    begin(ActionCode::subscribe);
    writer.u8(1);
  }
}

}  // namespace alderspur::simulator_adapter

#include "simulator_adapter/records.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

#include "config/config.h"

namespace alderspur::simulator_adapter {
namespace {

/// Bit of a request's flags that marks a write.
constexpr std::uint16_t kWriteBit = 4;
/// Upper bounds of clocks and start times, in microseconds. They keep sums of both from
/// overflowing.
constexpr auto kMaxClock =
    static_cast<std::uint64_t>(std::numeric_limits<alderspur::Time>::max() / 4);
constexpr std::uint64_t kMaxStartTime = 1ULL << 60;

alderspur::AttemptResult read_result(WireReader& reader) {
  switch (reader.u16()) {
    case 0:
      return alderspur::AttemptResult::ok;
    case 1:
      return alderspur::AttemptResult::cancelled;
    case 4:
      return alderspur::AttemptResult::timeout;
    case 5:
      return alderspur::AttemptResult::miss;
    case 8:
      return alderspur::AttemptResult::overloaded;
    case 9:
      return alderspur::AttemptResult::already_finished;
    case 10:
      return alderspur::AttemptResult::reset;
    case 14:
      return alderspur::AttemptResult::connect_failed;
    default:  // 13, or a code of a later version; the attempt may have been executed
      return alderspur::AttemptResult::error;
  }
}

alderspur::FillOutcome read_fill_outcome(WireReader& reader) {
  const std::uint32_t code = reader.u32();
  constexpr auto kLast = static_cast<std::uint32_t>(alderspur::FillOutcome::origin_failed);
  return code <= kLast ? static_cast<alderspur::FillOutcome>(code) : alderspur::FillOutcome::none;
}

alderspur::ServerStatus read_status(WireReader& reader) {
  switch (reader.u8()) {
    case 1:
      return alderspur::ServerStatus::ready;
    case 2:
      return alderspur::ServerStatus::draining;
    default:
      return alderspur::ServerStatus::gone;
  }
}

alderspur::LoadReport read_load_report(WireReader& reader, const config::Names& names) {
  const std::vector<float> gauges = reader.gauges();
  alderspur::LoadReport report;
  for (std::size_t i = 0; i < gauges.size() && i < names.report_fields.size(); ++i) {
    if (!std::isfinite(gauges[i])) continue;
    const std::string& field = names.report_fields[i];
    if (field == "outstanding") report.in_flight = gauges[i];
    if (field == "utilization") report.utilization = gauges[i];
    if (field == "x1") report.link_or_fill_utilization = gauges[i];
  }
  return report;
}

}  // namespace

BatchHeader read_header(std::string_view bytes) {
  WireReader reader(bytes);
  BatchHeader header;
  header.length = reader.u32();
  header.clock = reader.u64();
  header.record_count = reader.u32();
  header.sequence_number = reader.u32();
  if (header.clock > kMaxClock) throw WireError("clock of the batch is out of range");
  return header;
}

config::RoutingSettings read_settings(std::string_view json) {
  try {
    return config::read_routing_settings(json);
  } catch (const config::Error& error) {
    throw WireError(error.what());
  }
}

std::vector<ListedServer> read_endpoint_list(WireReader& reader) {
  const std::uint32_t size = reader.u32();
  std::vector<ListedServer> list;
  for (std::uint32_t i = 0; i < size; ++i) {
    ListedServer listed;
    alderspur::Server& server = listed.server;
    server.id = reader.server_id();
    server.location = {reader.u16()};
    listed.kind = reader.u8();
    server.cell = {reader.u16()};
    server.status = read_status(reader);
    server.weight = reader.f32();
    server.started_at = static_cast<alderspur::Time>(std::min(reader.u64(), kMaxStartTime));
    list.push_back(listed);
  }
  return list;
}

alderspur::Request read_request(WireReader& reader) {
  alderspur::Request request;
  request.id = {reader.u64()};
  request.part = reader.integer_f32();
  request.size_kb = reader.f32();
  request.time_budget = reader.u32();
  reader.u16();  // the client's location, which is not used
  request.class_id = {reader.u16()};
  request.is_write = (reader.u16() & kWriteBit) != 0;
  request.group = {reader.integer_f32()};
  request.object = {reader.u64()};
  return request;
}

alderspur::ResponseStarted read_response_started(WireReader& reader) {
  alderspur::ResponseStarted started;
  started.id = {reader.u64()};
  started.attempt = {reader.u8()};
  reader.server_id();
  reader.u32();  // the time at which the response started, which is not used
  return started;
}

alderspur::AttemptOutcome read_outcome(WireReader& reader, const config::Names& names) {
  alderspur::AttemptOutcome outcome;
  outcome.id = {reader.u64()};
  outcome.fill_outcome = read_fill_outcome(reader);
  outcome.result = read_result(reader);
  outcome.server = reader.server_id();
  outcome.response_delivered = reader.u8() != 0;
  outcome.time_to_first_byte = reader.u32();
  outcome.attempt = {reader.u8()};
  outcome.elapsed = reader.u32();
  outcome.report = read_load_report(reader, names);
  return outcome;
}

alderspur::HealthCheckResult read_health_check(WireReader& reader, const config::Names& names) {
  alderspur::HealthCheckResult result;
  result.server = reader.server_id();
  result.is_healthy = reader.u16() == 0;
  result.elapsed = reader.u32();
  result.report = read_load_report(reader, names);
  return result;
}

alderspur::Purge read_purge(WireReader& reader) {
  alderspur::Purge purge;
  const std::uint64_t object = reader.u64();
  if (object != 0) purge.object = alderspur::ObjectId{object};
  purge.group = {reader.u16()};
  purge.age = reader.u32();
  return purge;
}

}  // namespace alderspur::simulator_adapter

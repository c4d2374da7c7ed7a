#include "simulator_adapter/codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace alderspur::simulator_adapter {
namespace al = ::alderspur;

namespace {

/// Records of a batch, by their code on the wire.
enum class RecordCode : std::uint8_t {
  init = 1,
  members = 2,
  request = 3,
  first_byte = 4,
  outcome = 5,
  client_left = 6,
  timer = 7,
  probed = 8,
  peer = 9,
  stop = 10,
  purge = 11,
  list = 12
};

/// Actions of a reply, by their code on the wire.
enum class ActionCode : std::uint8_t {
  refuse = 3,
  send_with_fill = 4,
  send = 5,
  subscribe = 6,
  probe = 7,
  fail = 8,
  timer = 10,
  cancel = 12
};

constexpr std::uint8_t kMayJoinBit = 1;
constexpr std::uint8_t kCachedOnlyBit = 2;
constexpr std::uint8_t kRefreshBit = 8;
constexpr std::uint16_t kWriteBit = 4;
/// Larger numbers that come as floats are taken for absent ones.
constexpr float kLargestWholeNumber = 1e9F;

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  std::string_view take(std::size_t size) {
    if (bytes_.size() < size) throw WireError("a record ends early");
    const auto part = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return part;
  }
  template <class T>
  T number() {
    T value = 0;
    const auto part = take(sizeof(T));
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      value |= static_cast<T>(static_cast<T>(static_cast<unsigned char>(part[i])) << (8 * i));
    }
    return value;
  }
  std::uint8_t u8() { return number<std::uint8_t>(); }
  std::uint16_t u16() { return number<std::uint16_t>(); }
  std::uint32_t u32() { return number<std::uint32_t>(); }
  std::uint64_t u64() { return number<std::uint64_t>(); }
  float f32() { return std::bit_cast<float>(u32()); }
  /// A whole number that stands as a float; 0 where it is out of range.
  std::uint32_t whole_f32() {
    const float value = f32();
    return value >= 0 && value < kLargestWholeNumber ? static_cast<std::uint32_t>(value) : 0;
  }
  al::ServerId server_id() {
    const std::uint64_t address = u32();
    const std::uint64_t port = u16();
    return {address | port << 32};
  }
  std::vector<float> gauges() {
    std::vector<float> values(u8());
    for (auto& value : values) value = f32();
    return values;
  }
  bool is_at_end() const { return bytes_.empty(); }

 private:
  std::string_view bytes_;
};

class Writer {
 public:
  template <class T>
  void number(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      bytes_.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
  }
  void u8(std::uint8_t value) { number(value); }
  void u16(std::uint16_t value) { number(value); }
  void u32(std::uint32_t value) { number(value); }
  void u64(std::uint64_t value) { number(value); }
  void duration(al::Time value) {
    constexpr al::Time kMaxEncodedTime = std::numeric_limits<std::int32_t>::max();
    u32(static_cast<std::uint32_t>(std::clamp<al::Time>(value, 0, kMaxEncodedTime)));
  }
  void server_id(al::ServerId id) {
    u32(static_cast<std::uint32_t>(id.value & 0xffffffff));
    u16(static_cast<std::uint16_t>(id.value >> 32));
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

al::AttemptResult read_result(Reader& reader) {
  switch (reader.u16()) {
    case 0:
      return al::AttemptResult::ok;
    case 1:
      return al::AttemptResult::cancelled;
    case 4:
      return al::AttemptResult::timeout;
    case 5:
      return al::AttemptResult::miss;
    case 8:
      return al::AttemptResult::overloaded;
    case 9:
      return al::AttemptResult::already_finished;
    case 10:
      return al::AttemptResult::reset;
    case 14:
      return al::AttemptResult::connect_failed;
    default:  // 13, and what this version does not know: it may have run
      return al::AttemptResult::error;
  }
}

al::FillOutcome read_fill_outcome(Reader& reader) {
  const std::uint32_t code = reader.u32();
  constexpr auto kLast = static_cast<std::uint32_t>(al::FillOutcome::origin_failed);
  return code <= kLast ? static_cast<al::FillOutcome>(code) : al::FillOutcome::none;
}

al::ServerStatus read_status(Reader& reader) {
  switch (reader.u8()) {
    case 1:
      return al::ServerStatus::ready;
    case 2:
      return al::ServerStatus::draining;
    default:
      return al::ServerStatus::gone;
  }
}

al::Request read_request(Reader& reader) {
  al::Request request;
  request.id = {reader.u64()};
  request.part = reader.whole_f32();
  request.size_kb = reader.f32();
  request.time_budget = reader.u32();
  reader.u16();  // the client's location
  request.class_id = {reader.u16()};
  request.is_write = (reader.u16() & kWriteBit) != 0;
  request.group = {reader.whole_f32()};
  request.object = {reader.u64()};
  return request;
}

al::ResponseStarted read_response_started(Reader& reader) {
  al::ResponseStarted started;
  started.id = {reader.u64()};
  started.attempt = {reader.u8()};
  reader.server_id();
  reader.u32();  // since when
  return started;
}

al::LoadReport read_load_report(Reader& reader, const config::Names& names) {
  const std::vector<float> gauges = reader.gauges();
  al::LoadReport report;
  for (std::size_t i = 0; i < gauges.size() && i < names.report_fields.size(); ++i) {
    if (!std::isfinite(gauges[i])) continue;
    const std::string& field = names.report_fields[i];
    if (field == "outstanding") report.in_flight = gauges[i];
    if (field == "utilization") report.utilization = gauges[i];
    if (field == "x1") report.link_or_fill_utilization = gauges[i];
  }
  return report;
}

al::AttemptOutcome read_outcome(Reader& reader, const config::Names& names) {
  al::AttemptOutcome outcome;
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

al::HealthCheckResult read_health_check(Reader& reader, const config::Names& names) {
  al::HealthCheckResult result;
  result.server = reader.server_id();
  result.is_healthy = reader.u16() == 0;
  result.elapsed = reader.u32();
  result.report = read_load_report(reader, names);
  return result;
}

al::Purge read_purge(Reader& reader) {
  al::Purge purge;
  const std::uint64_t object = reader.u64();
  if (object != 0) purge.object = al::ObjectId{object};
  purge.group = {reader.u16()};
  purge.age = reader.u32();
  return purge;
}

void write_send(Writer& writer, const al::Send& send) {
  writer.u64(send.id.value);
  writer.server_id(send.server);
  writer.duration(std::max<al::Time>(send.timeout, 1));
  if (!send.fill) return;
  const al::Fill& fill = *send.fill;
  writer.server_id(fill.source);
  writer.u8(static_cast<std::uint8_t>(fill.cache_rank));
  writer.duration(fill.max_age);
  const unsigned flags = (fill.may_join ? kMayJoinBit : 0U) |
                         (fill.cached_only ? kCachedOnlyBit : 0U) |
                         (fill.refresh_in_background ? kRefreshBit : 0U);
  writer.u8(static_cast<std::uint8_t>(flags));
}

void write_action(Writer& writer, std::uint32_t instance, const al::Action& action) {
  const auto begin = [&](ActionCode code) {
    writer.u8(static_cast<std::uint8_t>(code));
    writer.u32(instance);
  };
  if (const auto* send = std::get_if<al::Send>(&action)) {
    begin(send->fill ? ActionCode::send_with_fill : ActionCode::send);
    write_send(writer, *send);
  } else if (const auto* reject = std::get_if<al::Reject>(&action)) {
    begin(ActionCode::refuse);
    writer.u64(reject->id.value);
    writer.duration(reject->retry_after);
  } else if (const auto* fail = std::get_if<al::Fail>(&action)) {
    begin(ActionCode::fail);
    writer.u64(fail->id.value);
  } else if (const auto* cancel = std::get_if<al::Cancel>(&action)) {
    begin(ActionCode::cancel);
    writer.u64(cancel->id.value);
    writer.u8(static_cast<std::uint8_t>(cancel->attempt.value));
  } else if (const auto* check = std::get_if<al::HealthCheck>(&action)) {
    begin(ActionCode::probe);
    writer.server_id(check->server);
  } else if (const auto* timer = std::get_if<al::SetTimer>(&action)) {
    begin(ActionCode::timer);
    writer.u32(timer->timer.value);
    writer.u64(static_cast<std::uint64_t>(timer->at));
  } else {
    begin(ActionCode::subscribe);
    writer.u8(1);
  }
}

}  // namespace

struct Host::Instance {
  al::Router router;
  config::Names names;
};

Host::Host() = default;
Host::~Host() = default;

BatchHeader read_header(std::string_view bytes) {
  Reader reader(bytes);
  BatchHeader header;
  header.length = reader.u32();
  header.clock = reader.u64();
  header.records = reader.u32();
  header.number = reader.u32();
  if (header.clock > static_cast<std::uint64_t>(std::numeric_limits<al::Time>::max() / 4)) {
    throw WireError("the clock is out of range");
  }
  return header;
}

config::RoutingSettings read_settings(std::string_view text) {
  try {
    return config::read_routing_settings(text);
  } catch (const config::Error& e) {
    throw WireError(e.what());
  }
}

/// The reading of one batch.
class Host::Batch {
 public:
  Batch(Host& host, const BatchHeader& header, std::string_view body)
      : host_(host), header_(header), reader_(body) {}

  std::string reply() {
    for (std::uint32_t i = 0; i < header_.records; ++i) read_record();
    if (!reader_.is_at_end()) throw WireError("a batch is longer than its records");
    std::string actions;
    for (const auto& [instance, writer] : replies_) actions += writer.bytes();
    Writer head;
    head.u32(static_cast<std::uint32_t>(actions.size()));
    head.u32(header_.number);
    return head.bytes() + actions;
  }

 private:
  void read_record() {
    const auto code = static_cast<RecordCode>(reader_.u8());
    if (code == RecordCode::list) return read_list();
    const std::uint32_t id = reader_.u32();
    switch (code) {
      case RecordCode::init:
        return start_instance(id);
      case RecordCode::stop:
        replies_.erase(id);
        host_.instances_.erase(id);
        return;
      case RecordCode::peer:
        reader_.u32();
        reader_.take(reader_.u16());
        return;
      default:
        break;
    }
    const auto found = host_.instances_.find(id);
    const bool is_known = found != host_.instances_.end();
    // What concerns an unknown instance is read all the same, to find the next record.
    static const config::Names no_names;
    const al::Event event = read_event(code, is_known ? found->second.names : no_names);
    if (!is_known) return;
    actions_.clear();
    found->second.router.handle(static_cast<al::Time>(header_.clock), event, actions_);
    for (const auto& action : actions_) write_action(replies_[id], id, action);
  }
  al::Event read_event(RecordCode code, const config::Names& names) {
    switch (code) {
      case RecordCode::members:
        return read_endpoint_update(names);
      case RecordCode::request:
        return read_request(reader_);
      case RecordCode::first_byte:
        return read_response_started(reader_);
      case RecordCode::outcome:
        return read_outcome(reader_, names);
      case RecordCode::client_left:
        return al::ClientGone{{reader_.u64()}};
      case RecordCode::timer:
        return al::TimerExpired{{reader_.u32()}};
      case RecordCode::probed:
        return read_health_check(reader_, names);
      case RecordCode::purge:
        return read_purge(reader_);
      default:
        throw WireError("unknown record code " + std::to_string(static_cast<unsigned>(code)));
    }
  }
  void read_list() {
    const std::uint32_t id = reader_.u32();
    const std::uint32_t size = reader_.u32();
    std::vector<ListedServer> list;
    for (std::uint32_t i = 0; i < size; ++i) {
      constexpr std::uint64_t kLatestStart = 1ULL << 60;
      ListedServer listed;
      al::Server& server = listed.server;
      server.id = reader_.server_id();
      server.location = {reader_.u16()};
      listed.kind = reader_.u8();
      server.cell = {reader_.u16()};
      server.status = read_status(reader_);
      server.weight = reader_.f32();
      server.started_at = static_cast<al::Time>(std::min(reader_.u64(), kLatestStart));
      list.push_back(listed);
    }
    host_.lists_[id] = std::move(list);
  }
  void start_instance(std::uint32_t id) {
    const std::uint64_t seed = reader_.u64();
    auto [settings, names] = read_settings(reader_.take(reader_.u32()));
    replies_.erase(id);
    host_.instances_.insert_or_assign(id, Instance{al::Router(settings, seed), std::move(names)});
  }
  al::EndpointUpdate read_endpoint_update(const config::Names& names) {
    const std::uint8_t mode = reader_.u8();
    reader_.u32();
    const std::uint32_t list = reader_.u32();
    al::EndpointUpdate update;
    update.is_complete = mode == 1 || mode == 2;
    update.has_failed = mode > 2;
    if (update.has_failed) return update;
    const auto found = host_.lists_.find(list);
    if (found == host_.lists_.end()) {
      throw WireError("a membership names a list that was not sent");
    }
    for (const ListedServer& listed : found->second) {
      al::Server server = listed.server;
      if (listed.kind == names.parent_kind) server.role = al::Role::parent;
      if (listed.kind == names.origin_kind) server.role = al::Role::origin;
      update.servers.push_back(server);
    }
    return update;
  }

  Host& host_;
  const BatchHeader& header_;
  Reader reader_;
  std::vector<al::Action> actions_;
  /// By instance: one that is stopped later in the batch acts no more.
  std::map<std::uint32_t, Writer> replies_;
};

std::string Host::answer(const BatchHeader& header, std::string_view body) {
  return Batch(*this, header, body).reply();
}

}  // namespace alderspur::simulator_adapter

#include "simulator_adapter/codec.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <set>

namespace alderspur::simulator_adapter {
namespace al = ::alderspur;

namespace {

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  std::string_view take(std::size_t n) {
    if (bytes_.size() < n) throw WireError("a record ends early");
    const auto part = bytes_.substr(0, n);
    bytes_.remove_prefix(n);
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
  al::ServerId store() {
    const std::uint64_t address = u32(), port = u16();
    return {address | port << 32};
  }
  std::vector<float> gauge() {
    std::vector<float> values(u8());
    for (auto& v : values) v = f32();
    return values;
  }
  bool done() const { return bytes_.empty(); }

 private:
  std::string_view bytes_;
};

class Writer {
 public:
  template <class T>
  void number(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
  }
  void u8(std::uint8_t v) { number(v); }
  void u16(std::uint16_t v) { number(v); }
  void u32(std::uint32_t v) { number(v); }
  void u64(std::uint64_t v) { number(v); }
  void span(al::Time v) {
    u32(static_cast<std::uint32_t>(
        std::clamp<al::Time>(v, 0, std::numeric_limits<std::int32_t>::max())));
  }
  void store(al::ServerId id) {
    u32(static_cast<std::uint32_t>(id.value & 0xffffffff));
    u16(static_cast<std::uint16_t>(id.value >> 32));
  }
  std::string out;
};

al::AttemptResult result_of(std::uint16_t disposition) {
  switch (disposition) {
    case 0:
      return al::AttemptResult::ok;
    case 8:
      return al::AttemptResult::overloaded;
    case 4:
      return al::AttemptResult::timeout;
    case 14:
      return al::AttemptResult::connect_failed;
    case 10:
      return al::AttemptResult::reset;
    case 1:
      return al::AttemptResult::cancelled;
    case 9:
      return al::AttemptResult::already_finished;
    case 5:
      return al::AttemptResult::miss;
    default:
      return al::AttemptResult::error;  // 13, and what this version does not know: it may have run
  }
}

void write_action(Writer& w, std::uint32_t who, const al::Action& action) {
  const auto head = [&](std::uint8_t code) {
    w.u8(code);
    w.u32(who);
  };
  if (const auto* send = std::get_if<al::Send>(&action)) {
    head(send->fill ? 4 : 5);
    w.u64(send->id.value);
    w.store(send->server);
    w.span(std::max<al::Time>(send->timeout, 1));
    if (!send->fill) return;
    w.store(send->fill->source);
    w.u8(static_cast<std::uint8_t>(send->fill->cache_rank));
    w.span(send->fill->max_age);
    w.u8(static_cast<std::uint8_t>((send->fill->may_join ? 1 : 0) |
                                   (send->fill->cached_only ? 2 : 0) |
                                   (send->fill->refresh_in_background ? 8 : 0)));
  } else if (const auto* refuse = std::get_if<al::Reject>(&action)) {
    head(3);
    w.u64(refuse->id.value);
    w.span(refuse->retry_after);
  } else if (const auto* fail = std::get_if<al::Fail>(&action)) {
    head(8);
    w.u64(fail->id.value);
  } else if (const auto* cancel = std::get_if<al::Cancel>(&action)) {
    head(12);
    w.u64(cancel->id.value);
    w.u8(static_cast<std::uint8_t>(cancel->attempt.value));
  } else if (const auto* probe = std::get_if<al::HealthCheck>(&action)) {
    head(7);
    w.store(probe->server);
  } else if (const auto* timer = std::get_if<al::SetTimer>(&action)) {
    head(10);
    w.u32(timer->timer.value);
    w.u64(static_cast<std::uint64_t>(timer->at));
  } else {
    head(6);
    w.u8(1);
  }
}

}  // namespace

struct Host::Instance {
  al::Router router;
  config::Names names;

  al::LoadReport report(const std::vector<float>& gauge) const {
    al::LoadReport r;
    for (std::size_t i = 0; i < gauge.size() && i < names.report_fields.size(); ++i) {
      if (!std::isfinite(gauge[i])) continue;
      if (names.report_fields[i] == "outstanding") r.in_flight = gauge[i];
      if (names.report_fields[i] == "utilization") r.utilization = gauge[i];
      if (names.report_fields[i] == "x1") r.link_or_fill_utilization = gauge[i];
    }
    return r;
  }
};

Host::Host() = default;
Host::~Host() = default;

BatchHeader read_header(std::string_view bytes) {
  Reader r(bytes);
  BatchHeader h;
  h.length = r.u32();
  h.clock = r.u64();
  h.records = r.u32();
  h.number = r.u32();
  if (h.clock > static_cast<std::uint64_t>(std::numeric_limits<al::Time>::max() / 4)) {
    throw WireError("the clock is out of range");
  }
  return h;
}

std::pair<al::Settings, config::Names> read_settings(std::string_view text) {
  try {
    return config::read_settings(text);
  } catch (const config::Error& e) {
    throw WireError(e.what());
  }
}

std::string Host::answer(const BatchHeader& header, std::string_view body) {
  Reader r(body);
  const auto now = static_cast<al::Time>(header.clock);
  std::vector<al::Action> actions;
  std::map<std::uint32_t, Writer>
      replies;  // an instance that is killed later in the batch acts no more

  for (std::uint32_t n = 0; n < header.records; ++n) {
    const auto code = r.u8();
    if (code == 12) {
      const auto id = r.u32();
      const auto entries = r.u32();
      std::vector<Listed> list;
      for (std::uint32_t i = 0; i < entries; ++i) {
        Listed l;
        l.server.id = r.store();
        l.server.location = {r.u16()};
        l.kind = r.u8();
        l.server.cell = {r.u16()};
        const auto readiness = r.u8();
        l.server.status = readiness == 1   ? al::ServerStatus::ready
                          : readiness == 2 ? al::ServerStatus::draining
                                           : al::ServerStatus::gone;
        l.server.weight = r.f32();
        l.server.started_at = static_cast<al::Time>(std::min<std::uint64_t>(r.u64(), 1ULL << 60));
        list.push_back(l);
      }
      lists_[id] = std::move(list);
      continue;
    }
    const auto who = r.u32();
    const auto it = instances_.find(who);
    Instance* instance = it == instances_.end() ? nullptr : &it->second;
    al::Event event = al::ClientGone{};
    switch (code) {
      case 1: {
        const auto seed = r.u64();
        auto [settings, names] = read_settings(r.take(r.u32()));
        replies.erase(who);
        instances_.insert_or_assign(who, Instance{al::Router(settings, seed), std::move(names)});
        continue;
      }
      case 10:
        replies.erase(who);
        instances_.erase(who);
        continue;
      case 2: {
        const auto mode = r.u8();
        r.u32();
        const auto list = r.u32();
        al::EndpointUpdate update;
        update.is_complete = mode == 1 || mode == 2;
        update.has_failed = mode > 2;
        if (!update.has_failed) {
          const auto found = lists_.find(list);
          if (found == lists_.end()) throw WireError("a membership names a list that was not sent");
          for (const auto& l : found->second) {
            auto server = l.server;
            if (instance && l.kind == instance->names.parent_kind) server.role = al::Role::parent;
            if (instance && l.kind == instance->names.origin_kind) server.role = al::Role::origin;
            update.servers.push_back(server);
          }
        }
        event = std::move(update);
        break;
      }
      case 3: {
        al::Request q;
        q.id = {r.u64()};
        const float part = r.f32();
        q.part = part >= 0 && part < 1e9f ? static_cast<std::uint32_t>(part) : 0;
        q.size_kb = r.f32();
        q.time_budget = r.u32();
        r.u16();
        q.class_id = {r.u16()};
        q.is_write = (r.u16() & 4) != 0;
        const float group = r.f32();
        q.group = {group >= 0 && group < 1e9f ? static_cast<std::uint32_t>(group) : 0};
        q.object = {r.u64()};
        event = q;
        break;
      }
      case 4: {
        const al::RequestId id{r.u64()};
        const al::AttemptNo attempt{r.u8()};
        r.store();
        r.u32();
        event = al::ResponseStarted{id, attempt};
        break;
      }
      case 5: {
        al::AttemptOutcome o;
        o.id = {r.u64()};
        const auto note = r.u32();
        o.fill_outcome = note <= 10 ? static_cast<al::FillOutcome>(note) : al::FillOutcome::none;
        o.result = result_of(r.u16());
        o.server = r.store();
        o.response_delivered = r.u8() != 0;
        o.time_to_first_byte = r.u32();
        o.attempt = {r.u8()};
        o.elapsed = r.u32();
        const auto gauge = r.gauge();
        if (instance) o.report = instance->report(gauge);
        event = o;
        break;
      }
      case 6:
        event = al::ClientGone{{r.u64()}};
        break;
      case 7:
        event = al::TimerExpired{{r.u32()}};
        break;
      case 8: {
        al::HealthCheckResult p;
        p.server = r.store();
        p.is_healthy = r.u16() == 0;
        p.elapsed = r.u32();
        const auto gauge = r.gauge();
        if (instance) p.report = instance->report(gauge);
        event = p;
        break;
      }
      case 9:
        r.u32();
        r.take(r.u16());
        continue;
      case 11: {
        al::Purge p;
        const auto object = r.u64();
        if (object != 0) p.object = al::ObjectId{object};
        p.group = {r.u16()};
        p.age = r.u32();
        event = p;
        break;
      }
      default:
        throw WireError("unknown record code " + std::to_string(code));
    }
    if (!instance) continue;
    actions.clear();
    instance->router.handle(now, event, actions);
    for (const auto& action : actions) write_action(replies[who], who, action);
  }
  if (!r.done()) throw WireError("a batch is longer than its records");
  Writer reply;
  std::string orders;
  for (const auto& [who, writer] : replies) orders += writer.out;
  reply.u32(static_cast<std::uint32_t>(orders.size()));
  reply.u32(header.number);
  return reply.out + orders;
}

}  // namespace alderspur::simulator_adapter

#include "platform/rpc_codec.h"

#include "core/parsing.h"
#include "msgpack_codec/document.h"
#include "msgpack_codec/writer.h"

namespace alderspur::platform {
namespace {

using msgpack_codec::Document;
using msgpack_codec::MeasureStatus;
using msgpack_codec::Writer;

constexpr std::uint64_t kResponseType = 1;                          // of a MessagePack-RPC message
constexpr std::size_t kMessageMost = 64 << 10, kBodyMost = 48'000;  // of a write
constexpr double kLimitMost = 1e7, kSizeMost = 1e6;                 // milliseconds, KB
constexpr std::uint32_t kPartMost = 1'000'000, kGroupMost = 255;

std::string_view text(const msgpack_object& o) {
  if (o.type == MSGPACK_OBJECT_STR) return {o.via.str.ptr, o.via.str.size};
  if (o.type == MSGPACK_OBJECT_BIN) return {o.via.bin.ptr, o.via.bin.size};
  return {};
}
bool is_text(const msgpack_object& o) {
  return o.type == MSGPACK_OBJECT_STR || o.type == MSGPACK_OBJECT_BIN;
}

// A map of strings to strings; what is not known is passed over.
bool read_fields(const msgpack_object& map, Call& call) {
  if (map.type != MSGPACK_OBJECT_MAP) return false;
  for (std::uint32_t i = 0; i < map.via.map.size; ++i) {
    const auto& [key, value] = map.via.map.ptr[i];
    if (!is_text(key) || !is_text(value)) return false;
    const auto name = text(key);
    std::string_view* field = name == "txn"      ? &call.txn
                              : name == "limit"  ? &call.limit
                              : name == "unique" ? &call.unique
                              : name == "item"   ? &call.item
                              : name == "slice"  ? &call.slice
                              : name == "set"    ? &call.set
                              : name == "ram"    ? &call.ram
                              : name == "seen"   ? &call.seen
                                                 : nullptr;
    if (field) *field = text(value);
  }
  return true;
}

Parsed read_call(const msgpack_object& o, Call& call) {
  if (o.type != MSGPACK_OBJECT_ARRAY || o.via.array.size < 3) return Parsed::unreadable;
  const msgpack_object* part = o.via.array.ptr;
  const std::size_t size = o.via.array.size;
  const auto is_number = [](const msgpack_object& x) {
    return x.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
  };
  if (!is_number(part[0])) return Parsed::unreadable;
  if (part[0].via.u64 == 2 && size == 3) {
    call.notification = true;
    call.method = text(part[1]);
    const auto& args = part[2];
    call.well_formed = args.type == MSGPACK_OBJECT_ARRAY && args.via.array.size >= 1 &&
                       is_number(args.via.array.ptr[0]);
    if (call.well_formed) call.id = args.via.array.ptr[0].via.u64;
    return Parsed::whole;
  }
  if (part[0].via.u64 != 0 || size != 4 || !is_number(part[1])) return Parsed::unreadable;
  call.id = part[1].via.u64;
  call.method = text(part[2]);
  const auto& args = part[3];
  if (args.type != MSGPACK_OBJECT_ARRAY || args.via.array.size < 1) return Parsed::whole;
  call.well_formed = read_fields(args.via.array.ptr[0], call);
  if (args.via.array.size > 1) {
    const auto& body = args.via.array.ptr[1];
    call.well_formed = call.well_formed && (is_text(body) || body.type == MSGPACK_OBJECT_NIL);
    call.body = text(body);
  }
  return Parsed::whole;
}

void begin_answer(Writer& writer, std::uint64_t id) {
  writer.array(4).number(kResponseType).number(id);
}

}  // namespace

Parsed next_call(std::string_view& bytes, Call& call) {
  call = {};
  if (bytes.empty()) return Parsed::partial;
  const auto first = static_cast<unsigned char>(bytes[0]);
  if (first != 0x93 && first != 0x94) return Parsed::unreadable;  // an array of three or four
  const auto measured = msgpack_codec::measure_item(bytes, kMessageMost);
  if (measured.status == MeasureStatus::incomplete) return Parsed::partial;
  if (measured.status == MeasureStatus::invalid) return Parsed::unreadable;
  const auto document = Document::of_measured_item(bytes.substr(0, measured.size));
  if (!document.is_valid()) return Parsed::unreadable;
  bytes.remove_prefix(document.size());
  return read_call(document.root(), call);
}

bool to_request_view(const Call& c, const ClassForm& form, core::RequestView& d) {
  double limit = 0;
  if (!c.well_formed || !core::is_hex_word(c.txn, 16) || !core::is_hex_word(c.item, 16) ||
      !core::is_plain_word(c.seen) || !core::parse_number(c.item, d.object, 16)) {
    return false;
  }
  if (form.keyed ? !core::is_hex_word(c.unique, 32) : !c.unique.empty()) return false;
  if (!core::parse_number(c.limit, limit) || limit < 1 || limit > kLimitMost) return false;
  d.time_limit = static_cast<core::Time>(limit * 1000);
  if (form.longest > 0 && d.time_limit > form.longest + 1000) return false;
  if (!core::parse_number(c.slice, d.part) || d.part > kPartMost) return false;
  if (!core::parse_number(c.set, d.group) || d.group > kGroupMost) return false;
  if (!c.ram.empty() &&
      (!core::parse_number(c.ram, d.size_kb) || d.size_kb < 0 || d.size_kb > kSizeMost)) {
    return false;
  }
  if (c.body.size() > (form.write ? kBodyMost : 0)) return false;
  d.id = c.txn;
  d.idempotency_key = c.unique;
  d.client_copy_tag = c.seen;
  d.object_text = c.item;
  d.body = c.body;
  return true;
}

Encoded encode_answer(std::uint64_t id, const core::Response& answer) {
  Writer head;
  begin_answer(head, id);
  if (answer.status == core::FinalStatus::served) {
    Writer tail;
    head.nil().array(2).bytes_header(answer.body.size());
    tail.map(answer.not_modified ? 1 : 0);
    if (answer.not_modified) tail.text("current").text("1");
    return {head.str(), tail.str()};
  }
  const bool refused = answer.status == core::FinalStatus::rejected;
  const bool later = refused && answer.retry_after > 0;
  head.array(2).text(refused ? "Busy" : "Failed").map(later ? 1 : 0);
  if (later) head.text("later").text(std::to_string((answer.retry_after + 999) / 1000));
  head.nil();
  return {head.str(), {}};
}

std::string encode_status(std::uint64_t id) {
  Writer writer;
  begin_answer(writer, id);
  writer.nil().array(2).boolean_true().map(0);
  return writer.str();
}

}  // namespace alderspur::platform

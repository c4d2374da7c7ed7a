#include "rpc_front/rpc_codec.h"

#include "core/parsing.h"
#include "msgpack_codec/document.h"
#include "msgpack_codec/measure.h"
#include "msgpack_codec/writer.h"

namespace alderspur::rpc_front {
namespace {

using msgpack_codec::Document;
using msgpack_codec::MeasureStatus;
using msgpack_codec::Writer;

// The types of MessagePack-RPC messages, and the number of items in a message of each type.
constexpr std::uint64_t kRequestType = 0;
constexpr std::uint64_t kResponseType = 1;
constexpr std::uint64_t kNotificationType = 2;
constexpr std::uint32_t kRequestItems = 4;
constexpr std::uint32_t kResponseItems = 4;
constexpr std::uint32_t kNotificationItems = 3;
// The first byte of a MessagePack array with three items, and with four.
constexpr unsigned char kArrayOfThree = 0x93;
constexpr unsigned char kArrayOfFour = 0x94;

constexpr std::size_t kMaxMessageBytes = 64 << 10;
constexpr std::size_t kMaxWriteBodyBytes = 48'000;
constexpr double kMaxTimeLimitMilliseconds = 1e7;
constexpr double kMaxSizeKb = 1e6;
constexpr std::uint32_t kMaxPart = 1'000'000;
constexpr std::uint32_t kMaxGroup = 255;
constexpr std::size_t kIdDigits = 16;
constexpr std::size_t kIdempotencyKeyDigits = 32;
constexpr int kHexBase = 16;
constexpr core::Time kMicrosecondsPerMillisecond = 1000;

constexpr std::string_view kLivenessMethod = "status";
constexpr std::string_view kCancelMethod = "withdraw";
constexpr std::string_view kRejectedError = "Busy";
constexpr std::string_view kFailedError = "Failed";
constexpr std::string_view kRetryAfterField = "later";
constexpr std::string_view kNotModifiedField = "current";

/// Maps the name of a request's field on the wire to the member of Call that holds its value.
struct RequestField {
  std::string_view name;
  std::string_view Call::*value;
};
constexpr RequestField kRequestFields[] = {
    {"txn", &Call::request_id},
    {"limit", &Call::time_limit},
    {"unique", &Call::idempotency_key},
    {"item", &Call::object},
    {"slice", &Call::part},
    {"set", &Call::group},
    {"ram", &Call::size_kb},
    {"seen", &Call::client_copy_tag},
    {"second", &Call::retry_mark},
};

bool is_number(const msgpack_object& object) {
  return object.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

bool is_text(const msgpack_object& object) {
  return object.type == MSGPACK_OBJECT_STR || object.type == MSGPACK_OBJECT_BIN;
}

std::string_view text(const msgpack_object& object) {
  if (object.type == MSGPACK_OBJECT_STR) return {object.via.str.ptr, object.via.str.size};
  if (object.type == MSGPACK_OBJECT_BIN) return {object.via.bin.ptr, object.via.bin.size};
  return {};
}

// Reads the fields of a request from a map of strings to strings and ignores unknown names. Returns
// false if `map` is not a map of strings to strings.
bool read_fields(const msgpack_object& map, Call& call) {
  if (map.type != MSGPACK_OBJECT_MAP) return false;
  for (std::uint32_t i = 0; i < map.via.map.size; ++i) {
    const auto& [key, value] = map.via.map.ptr[i];
    if (!is_text(key) || !is_text(value)) return false;
    const auto name = text(key);
    for (const RequestField& field : kRequestFields) {
      if (field.name == name) call.*field.value = text(value);
    }
  }
  return true;
}

void read_notification(const msgpack_object* items, Call& call) {
  call.kind = CallKind::ignored;
  const auto& arguments = items[2];
  const bool has_call_id = arguments.type == MSGPACK_OBJECT_ARRAY &&
                           arguments.via.array.size >= 1 && is_number(arguments.via.array.ptr[0]);
  if (text(items[1]) != kCancelMethod || !has_call_id) return;
  call.kind = CallKind::cancellation;
  call.id = arguments.via.array.ptr[0].via.u64;
}

void read_request(const msgpack_object* items, Call& call) {
  call.id = items[1].via.u64;
  const auto method = text(items[2]);
  if (method == kLivenessMethod) {
    call.kind = CallKind::liveness_query;
    return;
  }
  call.class_name = method;
  const auto& arguments = items[3];
  if (arguments.type != MSGPACK_OBJECT_ARRAY || arguments.via.array.size < 1) return;
  call.is_well_formed = read_fields(arguments.via.array.ptr[0], call);
  if (arguments.via.array.size == 1) return;
  const auto& body = arguments.via.array.ptr[1];
  if (!is_text(body) && body.type != MSGPACK_OBJECT_NIL) call.is_well_formed = false;
  call.body = text(body);
}

core::ParseStatus read_call(const msgpack_object& message, Call& call) {
  if (message.type != MSGPACK_OBJECT_ARRAY) return core::ParseStatus::invalid;
  const std::uint32_t size = message.via.array.size;
  const msgpack_object* items = message.via.array.ptr;
  if (size < kNotificationItems || !is_number(items[0])) return core::ParseStatus::invalid;
  const std::uint64_t type = items[0].via.u64;
  if (type == kNotificationType && size == kNotificationItems) {
    read_notification(items, call);
    return core::ParseStatus::complete;
  }
  if (type == kRequestType && size == kRequestItems && is_number(items[1])) {
    read_request(items, call);
    return core::ParseStatus::complete;
  }
  return core::ParseStatus::invalid;
}

std::optional<core::Time> read_time_limit(const Call& call, const RequestRules& rules) {
  const auto milliseconds = core::parse_number<double>(call.time_limit);
  if (!milliseconds) return std::nullopt;
  if (*milliseconds < 1 || *milliseconds > kMaxTimeLimitMilliseconds) return std::nullopt;
  const auto time_limit = static_cast<core::Time>(*milliseconds * kMicrosecondsPerMillisecond);
  const core::Time max_time_limit = rules.max_time_limit + kMicrosecondsPerMillisecond;
  if (rules.max_time_limit > 0 && time_limit > max_time_limit) return std::nullopt;
  return time_limit;
}

// Returns 0 if the client did not send a size, and nullopt if the size is invalid.
std::optional<double> read_size_kb(const Call& call) {
  if (call.size_kb.empty()) return 0;
  const auto size_kb = core::parse_number<double>(call.size_kb);
  if (!size_kb || *size_kb < 0 || *size_kb > kMaxSizeKb) return std::nullopt;
  return size_kb;
}

std::optional<std::uint32_t> read_bounded_number(std::string_view text, std::uint32_t max) {
  const auto number = core::parse_number<std::uint32_t>(text);
  if (!number || *number > max) return std::nullopt;
  return number;
}

bool are_words_valid(const Call& call, const RequestRules& rules) {
  if (!core::is_hex_word(call.request_id, kIdDigits)) return false;
  if (!core::is_hex_word(call.object, kIdDigits)) return false;
  if (!core::is_plain_word(call.client_copy_tag)) return false;
  return rules.requires_idempotency_key
             ? core::is_hex_word(call.idempotency_key, kIdempotencyKeyDigits)
             : call.idempotency_key.empty();
}

void begin_response(Writer& writer, std::uint64_t call_id) {
  writer.array(kResponseItems).number(kResponseType).number(call_id);
}

EncodedResponse encode_error(std::uint64_t call_id, const core::Response& response) {
  const bool is_rejected = response.status == core::FinalStatus::rejected;
  const bool has_retry_after = is_rejected && response.retry_after > 0;
  Writer head;
  begin_response(head, call_id);
  head.array(2).text(is_rejected ? kRejectedError : kFailedError).map(has_retry_after ? 1 : 0);
  if (has_retry_after) {
    const core::Time rounded_up = response.retry_after + kMicrosecondsPerMillisecond - 1;
    head.text(kRetryAfterField).text(std::to_string(rounded_up / kMicrosecondsPerMillisecond));
  }
  head.nil();
  return {head.str(), {}};
}

}  // namespace

core::ParseStatus next_call(std::string_view& bytes, Call& call) {
  call = {};
  if (bytes.empty()) return core::ParseStatus::partial;
  const auto first = static_cast<unsigned char>(bytes[0]);
  if (first != kArrayOfThree && first != kArrayOfFour) return core::ParseStatus::invalid;
  const auto measured = msgpack_codec::measure_item(bytes, kMaxMessageBytes);
  if (measured.status == MeasureStatus::incomplete) return core::ParseStatus::partial;
  if (measured.status == MeasureStatus::invalid) return core::ParseStatus::invalid;
  const auto document = Document::of_measured_item(bytes.substr(0, measured.size));
  if (!document.is_valid()) return core::ParseStatus::invalid;
  bytes.remove_prefix(document.size());
  return read_call(document.root(), call);
}

std::optional<core::RequestView> to_request_view(const Call& call, const RequestRules& rules) {
  if (!call.is_well_formed || !are_words_valid(call, rules)) return std::nullopt;
  if (call.body.size() > (rules.is_write ? kMaxWriteBodyBytes : 0)) return std::nullopt;
  const auto object = core::parse_number<std::uint64_t>(call.object, kHexBase);
  const auto time_limit = read_time_limit(call, rules);
  const auto part = read_bounded_number(call.part, kMaxPart);
  const auto group = read_bounded_number(call.group, kMaxGroup);
  const auto size_kb = read_size_kb(call);
  if (!object || !time_limit || !part || !group || !size_kb) return std::nullopt;
  core::RequestView view;
  view.id = call.request_id;
  view.idempotency_key = call.idempotency_key;
  view.client_copy_tag = call.client_copy_tag;
  view.object_text = call.object;
  view.body = call.body;
  view.object = *object;
  view.time_limit = *time_limit;
  view.part = *part;
  view.group = *group;
  view.size_kb = *size_kb;
  view.is_retry = !call.retry_mark.empty();
  return view;
}

EncodedResponse encode_response(std::uint64_t call_id, const core::Response& response) {
  if (response.status != core::FinalStatus::served) return encode_error(call_id, response);
  Writer head;
  begin_response(head, call_id);
  head.nil().array(2).bytes_header(response.body.size());
  Writer tail;
  tail.map(response.not_modified ? 1 : 0);
  if (response.not_modified) tail.text(kNotModifiedField).text("1");
  return {head.str(), tail.str()};
}

std::string encode_liveness_response(std::uint64_t call_id) {
  Writer writer;
  begin_response(writer, call_id);
  writer.nil().array(2).boolean_true().map(0);
  return writer.str();
}

}  // namespace alderspur::rpc_front

// The client's side of the platform's client protocol, for tests: encodes calls and decodes
// responses.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace loopback {

/// The idempotency key of requests whose class requires one.
inline const std::string kIdempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// Returns an idempotency key of its own for each number.
inline std::string idempotency_key(unsigned number) {
  char key[33];
  std::snprintf(key, sizeof key, "5c0f6e1a2b3d4c59a8b7c6d5%08x", number);
  return key;
}

/// Returns the bytes that `pack` writes to the packer that it is called with.
inline std::string pack_message(const std::function<void(msgpack_packer*)>& pack) {
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init(&buffer);
  msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
  pack(&packer);
  std::string bytes(buffer.data, buffer.size);
  msgpack_sbuffer_destroy(&buffer);
  return bytes;
}

/// Packs a string.
inline void pack_text(msgpack_packer* packer, const std::string& text) {
  msgpack_pack_str_with_body(packer, text.data(), text.size());
}

/// Encodes a request of a class. Fields that are not given have default values; the default `txn`
/// is derived from `id`, so that it is different for each id.
inline std::string encode_request(unsigned id, const std::string& class_name,
                                  std::map<std::string, std::string> fields,
                                  const std::string& body = {}) {
  char transaction[17];
  std::snprintf(transaction, sizeof transaction, "9b1f03aa5c7e2%03x", 0xd40 + id);
  fields.emplace("txn", transaction);
  fields.emplace("limit", "20000");
  fields.emplace("item", "7f3a9c21e0b4d655");
  fields.emplace("slice", "0");
  fields.emplace("set", "17");
  return pack_message([&](msgpack_packer* packer) {
    msgpack_pack_array(packer, 4);
    msgpack_pack_int(packer, 0);
    msgpack_pack_unsigned_int(packer, id);
    pack_text(packer, class_name);
    msgpack_pack_array(packer, 2);
    msgpack_pack_map(packer, fields.size());
    for (const auto& [name, value] : fields) {
      pack_text(packer, name);
      pack_text(packer, value);
    }
    msgpack_pack_bin_with_body(packer, body.data(), body.size());
  });
}

/// Encodes the notification that cancels the call with this id.
inline std::string encode_cancel(unsigned id) {
  return pack_message([&](msgpack_packer* packer) {
    msgpack_pack_array(packer, 3);
    msgpack_pack_int(packer, 2);
    pack_text(packer, "withdraw");
    msgpack_pack_array(packer, 1);
    msgpack_pack_unsigned_int(packer, id);
  });
}

/// A response as a client decodes it.
struct RpcResponse {
  std::uint64_t id = 0;
  std::string error;  // empty on success
  std::string body;
  std::map<std::string, std::string> fields;
};

/// Decodes all complete responses in `received`, the bytes that a client has received. Sets
/// `consumed` to the number of bytes that they occupy.
inline std::vector<RpcResponse> decode_responses(const std::string& received,
                                                 std::size_t& consumed) {
  const auto text = [](const msgpack_object& object) {
    return std::string(object.via.bin.ptr, object.via.bin.size);
  };
  std::vector<RpcResponse> responses;
  msgpack_unpacked message;
  msgpack_unpacked_init(&message);
  consumed = 0;
  for (std::size_t offset = 0; msgpack_unpack_next(&message, received.data(), received.size(),
                                                   &offset) == MSGPACK_UNPACK_SUCCESS;) {
    consumed = offset;
    const auto* elements = message.data.via.array.ptr;
    const bool has_failed = elements[2].type != MSGPACK_OBJECT_NIL;
    const auto& payload = (has_failed ? elements[2] : elements[3]).via.array;
    RpcResponse response;
    response.id = elements[1].via.u64;
    if (has_failed) {
      response.error = text(payload.ptr[0]);
    } else if (payload.ptr[0].type == MSGPACK_OBJECT_BIN) {
      response.body = text(payload.ptr[0]);
    }
    const auto& fields = payload.ptr[1].via.map;
    for (std::uint32_t i = 0; i < fields.size; ++i) {
      response.fields[text(fields.ptr[i].key)] = text(fields.ptr[i].val);
    }
    responses.push_back(response);
  }
  msgpack_unpacked_destroy(&message);
  return responses;
}
/// Decodes all complete responses in `received`.
inline std::vector<RpcResponse> decode_responses(const std::string& received) {
  std::size_t consumed = 0;
  return decode_responses(received, consumed);
}

}  // namespace loopback

#include "platform/rpc_codec.h"

#include <msgpack.h>

#include <memory>

#include "core/parsing.h"

namespace alderspur::platform {
namespace {

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

class Packer {
 public:
  Packer() {
    msgpack_sbuffer_init(&buffer_);
    msgpack_packer_init(&packer_, &buffer_, msgpack_sbuffer_write);
  }
  ~Packer() { msgpack_sbuffer_destroy(&buffer_); }
  Packer(const Packer&) = delete;
  Packer& operator=(const Packer&) = delete;
  msgpack_packer* get() { return &packer_; }
  void str(std::string_view s) { msgpack_pack_str_with_body(&packer_, s.data(), s.size()); }
  std::string out() const { return {buffer_.data ? buffer_.data : "", buffer_.size}; }

 private:
  msgpack_sbuffer buffer_;
  msgpack_packer packer_;
};
void begin_answer(Packer& p, std::uint64_t id) {
  msgpack_pack_array(p.get(), 4);
  msgpack_pack_int(p.get(), 1);
  msgpack_pack_uint64(p.get(), id);
}

}  // namespace

Parsed measure(std::string_view bytes, std::size_t& size, std::size_t most) {
  std::size_t at = 0;
  for (std::uint64_t items = 1; items > 0; --items) {
    if (at >= bytes.size()) return Parsed::partial;
    const auto c = static_cast<unsigned char>(bytes[at++]);
    const auto number = [&](std::size_t width) {
      std::uint64_t n = 0;
      for (std::size_t i = 0; i < width; ++i) {
        n = n << 8 | static_cast<unsigned char>(bytes[at + i]);
      }
      return n;
    };
    std::size_t width = 0;  // of the length or count that follows the first byte
    std::uint64_t skip = 0;
    if (c == 0xc1) return Parsed::unreadable;
    if (c >= 0xc4 && c <= 0xc9) {
      width = std::size_t{1} << (c - 0xc4) % 3;
    } else if (c >= 0xd9 && c <= 0xdb) {
      width = std::size_t{1} << (c - 0xd9);
    } else if (c >= 0xdc && c <= 0xdf) {
      width = std::size_t{2} << (c - 0xdc) % 2;
    }
    if (bytes.size() - at < width) return Parsed::partial;
    if (c >= 0x80 && c <= 0x8f) {
      items += std::uint64_t{2} * (c & 15u);
    } else if (c >= 0x90 && c <= 0x9f) {
      items += c & 15u;
    } else if (c >= 0xa0 && c <= 0xbf) {
      skip = c & 31u;
    } else if (c >= 0xdc && c <= 0xdf) {
      items += number(width) * (c < 0xde ? 1 : 2);
    } else if (width) {
      skip = width + number(width) + (c >= 0xc7 && c <= 0xc9 ? 1 : 0);
    } else if (c == 0xca || c == 0xcb) {
      skip = c == 0xca ? 4 : 8;
    } else if (c >= 0xcc && c <= 0xd3) {
      skip = std::uint64_t{1} << c % 4;
    } else if (c >= 0xd4 && c <= 0xd8) {
      skip = 1 + (std::uint64_t{1} << (c - 0xd4));
    }
    if (c >= 0xdc && c <= 0xdf) skip = width;
    if (at + skip + items - 1 > most) return Parsed::unreadable;
    if (bytes.size() - at < skip) return Parsed::partial;
    at += static_cast<std::size_t>(skip);
  }
  size = at;
  return Parsed::whole;
}

Parsed next_call(std::string_view& bytes, Call& call) {
  call = {};
  if (bytes.empty()) return Parsed::partial;
  const auto first = static_cast<unsigned char>(bytes[0]);
  if (first != 0x93 && first != 0x94) return Parsed::unreadable;  // an array of three or four
  std::size_t size = 0;
  if (const auto measured = measure(bytes, size, kMessageMost); measured != Parsed::whole) {
    return measured;
  }
  msgpack_unpacked unpacked;
  msgpack_unpacked_init(&unpacked);
  const std::unique_ptr<msgpack_unpacked, void (*)(msgpack_unpacked*)> guard(
      &unpacked, msgpack_unpacked_destroy);
  std::size_t used = 0;
  if (msgpack_unpack_next(&unpacked, bytes.data(), size, &used) != MSGPACK_UNPACK_SUCCESS) {
    return Parsed::unreadable;
  }
  bytes.remove_prefix(used);
  return read_call(unpacked.data, call);
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
  Packer head, tail;
  begin_answer(head, id);
  if (answer.status == core::FinalStatus::served) {
    msgpack_pack_nil(head.get());
    msgpack_pack_array(head.get(), 2);
    msgpack_pack_bin(head.get(), answer.body.size());
    msgpack_pack_map(tail.get(), answer.not_modified ? 1 : 0);
    if (answer.not_modified) tail.str("current"), tail.str("1");
    return {head.out(), tail.out()};
  }
  const bool refused = answer.status == core::FinalStatus::rejected;
  const bool later = refused && answer.retry_after > 0;
  msgpack_pack_array(head.get(), 2);
  head.str(refused ? "Busy" : "Failed");
  msgpack_pack_map(head.get(), later ? 1 : 0);
  if (later) head.str("later"), head.str(std::to_string((answer.retry_after + 999) / 1000));
  msgpack_pack_nil(head.get());
  return {head.out(), {}};
}

std::string encode_status(std::uint64_t id) {
  Packer p;
  begin_answer(p, id);
  msgpack_pack_nil(p.get());
  msgpack_pack_array(p.get(), 2);
  msgpack_pack_true(p.get());
  msgpack_pack_map(p.get(), 0);
  return p.out();
}

}  // namespace alderspur::platform

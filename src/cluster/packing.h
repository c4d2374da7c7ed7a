// MessagePack arrays as the cluster's messages and records use them: packed in order, read in
// order.
//
// Further elements at the end of an array are passed over, so that a later version may add some.
// Texts are printable and of kMaxNameLength characters where nothing else is said. No I/O.
#pragma once

#include <msgpack.h>

#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/member.h"
#include "msgpack_codec/measure.h"

namespace alderspur::cluster {

class Packer {
 public:
  Packer() {
    msgpack_sbuffer_init(&buffer_);
    msgpack_packer_init(&p_, &buffer_, msgpack_sbuffer_write);
  }
  ~Packer() { msgpack_sbuffer_destroy(&buffer_); }
  Packer(const Packer&) = delete;
  Packer& operator=(const Packer&) = delete;
  Packer& array(std::size_t n) { return msgpack_pack_array(&p_, n), *this; }
  Packer& number(std::uint64_t n) { return msgpack_pack_uint64(&p_, n), *this; }
  Packer& real(double d) { return msgpack_pack_double(&p_, d), *this; }
  Packer& flag(bool b) { return number(b ? 1 : 0); }
  Packer& bytes(std::string_view s) {
    msgpack_pack_bin(&p_, s.size());
    return msgpack_pack_bin_body(&p_, s.data(), s.size()), *this;
  }
  Packer& text(std::string_view s) {
    return msgpack_pack_str_with_body(&p_, s.data(), s.size()), *this;
  }
  std::string take() const { return {buffer_.data, buffer_.size}; }

 private:
  msgpack_sbuffer buffer_;
  msgpack_packer p_;
};

// Reads an array element by element; once something does not fit, everything after it reads as not
// there.
class Reader {
 public:
  Reader(const msgpack_object& o, std::size_t least) {
    if (o.type != MSGPACK_OBJECT_ARRAY || o.via.array.size < least) return;
    at_ = o.via.array.ptr;
    left_ = o.via.array.size;
    good = true;
  }
  const msgpack_object& next() {
    static const msgpack_object kNothing{};
    if (!good || left_ == 0) return good = false, kNothing;
    --left_;
    return *at_++;
  }
  bool more() const { return good && left_ > 0; }  // fields of a later form
  std::uint64_t number(std::uint64_t most = ~0ULL) {
    const auto& o = next();
    if (o.type != MSGPACK_OBJECT_POSITIVE_INTEGER || o.via.u64 > most) return good = false, 0;
    return o.via.u64;
  }
  // The elements of a nested array, each by a reader of its own.
  std::uint32_t array(std::size_t most) {
    const auto& o = next();
    if (o.type != MSGPACK_OBJECT_ARRAY || o.via.array.size > most) return good = false, 0;
    inner_ = o.via.array.ptr;
    return o.via.array.size;
  }
  Reader item(std::uint32_t i, std::size_t least) const { return Reader(inner_[i], least); }
  std::string element_text(std::uint32_t i) {
    Reader r;
    r.at_ = inner_ + i, r.left_ = 1, r.good = true;
    auto out = r.text();
    good = good && r.good;
    return out;
  }
  double real() {
    const auto& o = next();
    const bool is = o.type == MSGPACK_OBJECT_FLOAT64 && std::isfinite(o.via.f64) && o.via.f64 >= 0;
    if (!is) return good = false, 0;
    return o.via.f64;
  }
  bool flag() { return number(1) == 1; }
  std::string_view bytes(std::size_t most) {
    const auto& o = next();
    if (o.type != MSGPACK_OBJECT_BIN || o.via.bin.size > most)
      return good = false, std::string_view();
    return {o.via.bin.ptr, o.via.bin.size};
  }
  std::string text(std::size_t most = kMaxNameLength) {
    const auto& o = next();
    if (o.type != MSGPACK_OBJECT_STR || o.via.str.size > most) return good = false, std::string();
    // Such words come into logs and answers.
    for (std::uint32_t i = 0; i < o.via.str.size; ++i)
      if (o.via.str.ptr[i] < ' ' || o.via.str.ptr[i] > '~' || o.via.str.ptr[i] == '"')
        return good = false, std::string();
    return {o.via.str.ptr, o.via.str.size};
  }
  bool good = false;

 private:
  Reader() = default;
  const msgpack_object *at_ = nullptr, *inner_ = nullptr;
  std::size_t left_ = 0;
};

struct Unpacked {
  explicit Unpacked(std::string_view bytes) {
    msgpack_unpacked_init(&m);
    const auto measured = msgpack_codec::measure_item(bytes, bytes.size());
    if (measured.status != msgpack_codec::MeasureStatus::complete) return;
    std::size_t used = 0;
    good = msgpack_unpack_next(&m, bytes.data(), bytes.size(), &used) == MSGPACK_UNPACK_SUCCESS &&
           used == bytes.size();
  }
  ~Unpacked() { msgpack_unpacked_destroy(&m); }
  Unpacked(const Unpacked&) = delete;
  Unpacked& operator=(const Unpacked&) = delete;
  msgpack_unpacked m;
  bool good = false;
};

}  // namespace alderspur::cluster

#include "consensus/persisted_state.h"

#include <utility>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kFieldCount = 4;

PersistedState read_state(msgpack_codec::Reader& reader) {
  if (reader.number() != kFormatVersion) reader.fail();
  PersistedState state;
  state.current = read_version(reader);
  state.accepted = read_optional_version(reader);
  state.voters = read_names(reader);
  return state;
}

}  // namespace

std::string encode(const PersistedState& state) {
  msgpack_codec::Writer writer;
  writer.array(kFieldCount).number(kFormatVersion);
  pack(writer, state.current);
  pack(writer, state.accepted);
  pack(writer, state.voters);
  return writer.str();
}

std::optional<PersistedState> decode_persisted_state(std::string_view bytes) {
  return msgpack_codec::decode_array(bytes, kFieldCount, read_state);
}

}  // namespace alderspur::consensus

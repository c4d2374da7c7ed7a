#include "consensus/persisted_state.h"

#include <utility>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

constexpr std::uint64_t kForm = 1;
constexpr std::size_t kFields = 4;

}  // namespace

std::string encode(const PersistedState& state) {
  msgpack_codec::Writer writer;
  writer.array(kFields).number(kForm);
  pack(writer, state.current);
  pack(writer, state.accepted);
  pack(writer, state.voters);
  return writer.str();
}

std::optional<PersistedState> decode_persisted_state(std::string_view bytes) {
  const msgpack_codec::Document unpacked(bytes);
  if (!unpacked.is_valid()) return {};
  msgpack_codec::Reader reader(unpacked.root(), kFields);
  if (reader.number() != kForm) return {};
  PersistedState state;
  state.current = read_version(reader);
  state.accepted = read_optional_version(reader);
  state.voters = read_names(reader);
  return reader.ok() ? std::optional(std::move(state)) : std::nullopt;
}

}  // namespace alderspur::consensus

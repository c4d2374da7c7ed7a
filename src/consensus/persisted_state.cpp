#include "consensus/persisted_state.h"

#include <utility>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

constexpr std::uint64_t kForm = 1;
constexpr std::size_t kFields = 4;

}  // namespace

std::string encode(const PersistedState& state) {
  cluster::Packer packer;
  packer.array(kFields).number(kForm);
  pack(packer, state.current);
  pack(packer, state.accepted);
  pack(packer, state.voters);
  return packer.take();
}

std::optional<PersistedState> decode_persisted_state(std::string_view bytes) {
  const cluster::Unpacked unpacked(bytes);
  if (!unpacked.good) return {};
  cluster::Reader reader(unpacked.m.data, kFields);
  if (reader.number() != kForm) return {};
  PersistedState state;
  state.current = read_version(reader);
  state.accepted = read_optional_version(reader);
  state.voters = read_names(reader);
  return reader.good ? std::optional(std::move(state)) : std::nullopt;
}

}  // namespace alderspur::consensus

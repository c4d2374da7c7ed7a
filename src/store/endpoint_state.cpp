#include "store/endpoint_state.h"

#include <cmath>

#include "core/parsing.h"
#include "state_generated.h"

namespace alderspur::store {
namespace {

constexpr std::uint32_t kFormat = 1;

template <class T, class U>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<T>>> vector_of(
    flatbuffers::FlatBufferBuilder& b, const std::vector<U>& from, const auto& each) {
  std::vector<flatbuffers::Offset<T>> out;
  out.reserve(from.size());
  for (const auto& x : from) out.push_back(each(x));
  return b.CreateVector(out);
}
std::string text(const flatbuffers::String* s) { return s ? s->str() : std::string(); }

bool usable(const endpoints::Listed& s, const endpoints::Snapshot& list) {
  const auto places = s.role == Role::cache ? list.points.size() : list.hubs.size();
  return !s.name.empty() && core::is_plain_word(s.name) && s.place < places &&
         std::isfinite(s.weight) && s.weight > 0;
}

std::shared_ptr<endpoints::Snapshot> list_of(const fb::State& state) {
  auto list = std::make_shared<endpoints::Snapshot>();
  list->generation = state.generation();
  list->source = text(state.source());
  list->taken = state.taken();
  for (const auto* h : *state.hubs()) list->hubs.push_back(text(h));
  for (const auto* p : *state.points()) {
    if (p->hub() >= list->hubs.size()) return nullptr;
    list->points.push_back({text(p->name()), p->hub()});
  }
  for (const auto* s : *state.servers()) {
    endpoints::Listed out;
    out.name = text(s->name());
    out.id = endpoints::server_id(out.name);
    out.address = text(s->address());
    if (s->role() > 2 || s->state() > 1) return nullptr;
    out.role = static_cast<Role>(s->role());
    out.place = s->place();
    out.state = static_cast<endpoints::State>(s->state());
    out.cell = s->cell();
    out.weight = s->weight();
    if (!usable(out, *list)) return nullptr;
    list->servers.push_back(std::move(out));
  }
  list->seal();
  return list->digest == state.digest() ? list : nullptr;
}

}  // namespace

std::string encode(const EndpointState& state) {
  const auto& list = *state.list;
  flatbuffers::FlatBufferBuilder b(64 + list.servers.size() * 96);
  const auto hubs =
      vector_of<flatbuffers::String>(b, list.hubs, [&](auto& h) { return b.CreateString(h); });
  const auto points = vector_of<fb::Point>(
      b, list.points, [&](auto& p) { return fb::CreatePoint(b, b.CreateString(p.name), p.hub); });
  const auto servers = vector_of<fb::Server>(b, list.servers, [&](const endpoints::Listed& s) {
    const auto name = b.CreateString(s.name), address = b.CreateString(s.address);
    return fb::CreateServer(b, name, address, static_cast<std::uint8_t>(s.role), s.place,
                            static_cast<std::uint8_t>(s.state), s.cell, s.weight);
  });
  const auto remembered =
      vector_of<fb::Remembered>(b, state.remembered, [&](const endpoints::Remembered& r) {
        return fb::CreateRemembered(b, r.id.value, r.born, r.weight, r.penalty, r.penalty_at,
                                    r.held);
      });
  const auto source = b.CreateString(list.source);
  fb::FinishStateBuffer(
      b, fb::CreateState(b, kFormat, list.generation, source, list.taken, list.digest, state.saved,
                         hubs, points, servers, remembered));
  return {reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()};
}

std::optional<EndpointState> decode(std::string_view payload, std::string& error) {
  // 100,000 servers make some 100,000 tables and 200,000 texts; the verifier counts tables only.
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(payload.data()),
                                 payload.size(), 16, 2'000'000);
  if (!fb::VerifyStateBuffer(verifier))
    return error = "it is not the buffer of a state", std::nullopt;
  const auto* state = fb::GetState(payload.data());
  if (state->format() != kFormat)
    return error = "it has format " + std::to_string(state->format()) + ", not 1", std::nullopt;
  EndpointState out;
  const auto list = list_of(*state);
  if (!list) return error = "its list does not hold together", std::nullopt;
  out.list = list;
  out.saved = state->saved();
  for (const auto* r : *state->remembered()) {
    if (!std::isfinite(r->weight()) || !std::isfinite(r->penalty()) || r->weight() < 0 ||
        r->penalty() < 0)
      continue;
    out.remembered.push_back(
        {{r->id()}, r->born(), r->weight(), r->penalty(), r->penalty_at(), r->held()});
  }
  return out;
}

std::string save(const std::string& path, const EndpointState& state, const StepHook& hook) {
  return replace_file(path, encode(state), hook);
}

Restored load(const std::string& path) {
  Restored out;
  auto loaded = load_file(path, kStateMost);
  out.absent = loaded.absent;
  out.error = loaded.error;
  if (!loaded.payload) return out;
  out.state = decode(*loaded.payload, out.error);
  if (!out.state) out.error = path + ": " + out.error;
  return out;
}

}  // namespace alderspur::store

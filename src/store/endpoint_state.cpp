#include "store/endpoint_state.h"

#include <cmath>
#include <memory>
#include <utility>

#include "core/parsing.h"
#include "state_generated.h"

namespace alderspur::store {
namespace {

constexpr std::uint32_t kFormat = 1;
// 100,000 servers need about 100,000 tables and 200,000 strings. The verifier counts only tables.
constexpr std::size_t kMaxVerifiedDepth = 16;
constexpr std::size_t kMaxVerifiedTables = 2'000'000;
// An estimate for the initial size of the buffer, which grows if needed.
constexpr std::size_t kBytesPerServer = 96;
constexpr std::size_t kBytesOfStateFields = 64;
constexpr std::uint8_t kMaxRole = static_cast<std::uint8_t>(Role::origin);
constexpr std::uint8_t kMaxState = static_cast<std::uint8_t>(endpoints::ServerState::draining);

/// Creates a vector of the offsets that `encode_one` returns for the elements.
template <class Encoded, class Element, class EncodeOne>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Encoded>>> encode_each(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<Element>& elements,
    const EncodeOne& encode_one) {
  std::vector<flatbuffers::Offset<Encoded>> offsets;
  offsets.reserve(elements.size());
  for (const auto& element : elements) offsets.push_back(encode_one(element));
  return builder.CreateVector(offsets);
}

std::string to_std_string(const flatbuffers::String* text) {
  return text ? text->str() : std::string();
}

bool is_usable(const endpoints::ListedServer& server, const endpoints::Snapshot& list) {
  const auto location_count = server.role == Role::cache ? list.points.size() : list.hubs.size();
  return !server.name.empty() && core::is_plain_word(server.name) &&
         server.location_index < location_count && std::isfinite(server.weight) &&
         server.weight > 0;
}

std::optional<endpoints::ListedServer> decode_server(const fb::Server& stored,
                                                     const endpoints::Snapshot& list) {
  if (stored.role() > kMaxRole || stored.state() > kMaxState) return {};
  endpoints::ListedServer server;
  server.name = to_std_string(stored.name());
  server.id = endpoints::server_id(server.name);
  server.address = to_std_string(stored.address());
  server.role = static_cast<Role>(stored.role());
  server.location_index = stored.place();
  server.state = static_cast<endpoints::ServerState>(stored.state());
  server.cell = stored.cell();
  server.weight = stored.weight();
  if (!is_usable(server, list)) return {};
  return server;
}

/// Returns null if the list refers to a location that it does not contain, has an invalid server,
/// or does not match its digest.
endpoints::SnapshotPtr decode_list(const fb::State& state) {
  auto list = std::make_shared<endpoints::Snapshot>();
  list->generation = state.generation();
  list->source = to_std_string(state.source());
  list->read_at = state.taken();
  for (const auto* hub : *state.hubs()) list->hubs.push_back(to_std_string(hub));
  for (const auto* point : *state.points()) {
    if (point->hub() >= list->hubs.size()) return nullptr;
    list->points.push_back({to_std_string(point->name()), point->hub()});
  }
  for (const auto* stored : *state.servers()) {
    auto server = decode_server(*stored, *list);
    if (!server) return nullptr;
    list->servers.push_back(std::move(*server));
  }
  list->seal();
  return list->digest == state.digest() ? list : nullptr;
}

bool is_usable(const fb::Remembered& stored) {
  return std::isfinite(stored.weight()) && std::isfinite(stored.penalty()) &&
         stored.weight() >= 0 && stored.penalty() >= 0;
}

std::vector<endpoints::Remembered> decode_remembered(const fb::State& state) {
  std::vector<endpoints::Remembered> result;
  for (const auto* stored : *state.remembered()) {
    if (!is_usable(*stored)) continue;
    result.push_back({{stored->id()},
                      stored->born(),
                      stored->weight(),
                      stored->penalty(),
                      stored->penalty_at(),
                      stored->held()});
  }
  return result;
}

std::string describe(const FileError& error) { return to_string(error); }
std::string describe(const InvalidState& error) {
  return error.path + ": " + to_string(error.cause);
}

}  // namespace

std::string to_string(const DecodeError& error) {
  switch (error.reason) {
    case DecodeError::Reason::not_a_state_buffer:
      return "the content is not an endpoint state buffer";
    case DecodeError::Reason::unknown_format:
      return "the state has format " + std::to_string(error.format) + ", but only format " +
             std::to_string(kFormat) + " is supported";
    case DecodeError::Reason::inconsistent_list:
      return "the endpoint list in the state is inconsistent";
  }
  return {};
}

std::string to_string(const LoadError& error) {
  return std::visit([](const auto& specific) { return describe(specific); }, error);
}

// The order in which the parts are created determines the bytes of the file.
std::string encode(const EndpointState& state) {
  const endpoints::Snapshot& list = *state.list;
  flatbuffers::FlatBufferBuilder builder(kBytesOfStateFields +
                                         list.servers.size() * kBytesPerServer);
  const auto hubs = encode_each<flatbuffers::String>(
      builder, list.hubs, [&](const std::string& hub) { return builder.CreateString(hub); });
  const auto points =
      encode_each<fb::Point>(builder, list.points, [&](const endpoints::Point& point) {
        return fb::CreatePoint(builder, builder.CreateString(point.name), point.hub);
      });
  const auto servers =
      encode_each<fb::Server>(builder, list.servers, [&](const endpoints::ListedServer& server) {
        const auto name = builder.CreateString(server.name);
        const auto address = builder.CreateString(server.address);
        return fb::CreateServer(builder, name, address, static_cast<std::uint8_t>(server.role),
                                server.location_index, static_cast<std::uint8_t>(server.state),
                                server.cell, server.weight);
      });
  const auto remembered = encode_each<fb::Remembered>(
      builder, state.remembered, [&](const endpoints::Remembered& server) {
        return fb::CreateRemembered(builder, server.id.value, server.started_at, server.weight,
                                    server.penalty, server.penalty_at, server.is_suppressed);
      });
  const auto source = builder.CreateString(list.source);
  fb::FinishStateBuffer(
      builder, fb::CreateState(builder, kFormat, list.generation, source, list.read_at, list.digest,
                               state.saved_at, hubs, points, servers, remembered));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::variant<EndpointState, DecodeError> decode_endpoint_state(std::string_view payload) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(payload.data()),
                                 payload.size(), kMaxVerifiedDepth, kMaxVerifiedTables);
  if (!fb::VerifyStateBuffer(verifier)) {
    return DecodeError{DecodeError::Reason::not_a_state_buffer, 0};
  }
  const fb::State& stored = *fb::GetState(payload.data());
  if (stored.format() != kFormat) {
    return DecodeError{DecodeError::Reason::unknown_format, stored.format()};
  }
  auto list = decode_list(stored);
  if (!list) return DecodeError{DecodeError::Reason::inconsistent_list, 0};
  return EndpointState{std::move(list), decode_remembered(stored), stored.saved()};
}

std::optional<FileError> save_endpoint_state(const std::string& path, const EndpointState& state,
                                             const WriteStepHook& hook) {
  return replace_file(path, encode(state), hook);
}

LoadedEndpointState load_endpoint_state(const std::string& path) {
  LoadedEndpointState result;
  const LoadedFile file = load_file(path, kMaxStateFileBytes);
  result.is_absent = file.is_absent;
  if (!file.payload) {
    if (file.error) result.error = *file.error;
    return result;
  }
  auto decoded = decode_endpoint_state(*file.payload);
  if (auto* state = std::get_if<EndpointState>(&decoded)) {
    result.state = std::move(*state);
  } else {
    result.error = InvalidState{path, std::get<DecodeError>(decoded)};
  }
  return result;
}

}  // namespace alderspur::store

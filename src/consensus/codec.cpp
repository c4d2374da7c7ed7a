#include "consensus/codec.h"

#include <utility>

#include "consensus/applied_state.h"

namespace alderspur::consensus {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

namespace {

constexpr std::size_t kVersionFields = 6;  // without the canary rollout
constexpr std::size_t kCanaryFields = 4;
constexpr std::size_t kServerFields = 2;
constexpr std::size_t kConfigurationFields = 2;

CanaryRollout read_canary_fields(Reader& fields) {
  CanaryRollout canary;
  canary.routers = read_names(fields);
  canary.duration = static_cast<Time>(fields.number(kMaxCanaryDuration));
  canary.max_failure_increase = fields.real();
  canary.promote_on_expiry = fields.flag();
  return canary;
}

Version read_version_fields(Reader& fields) {
  Version version;
  version.number = fields.number();
  version.digest = fields.text();
  version.base_number = fields.number();
  version.content_size = fields.number(kMaxContentBytes);
  version.author = fields.text();
  version.note = fields.text(kMaxNoteLength);
  if (fields.has_more()) {
    version.canary = fields.record(kCanaryFields, read_canary_fields);
  }
  return version;
}

RaftServer read_server_fields(Reader& fields) {
  RaftServer server;
  server.name = fields.text();
  server.role = static_cast<int>(fields.number(RAFT_SPARE));
  return server;
}

Configuration read_configuration_fields(Reader& fields) {
  Configuration configuration;
  configuration.index = fields.number();
  configuration.servers = read_servers(fields);
  return configuration;
}

}  // namespace

void pack(Writer& writer, const Version& version) {
  writer.array(version.is_canary() ? kVersionFields + 1 : kVersionFields);
  writer.number(version.number).text(version.digest);
  writer.number(version.base_number).number(version.content_size);
  writer.text(version.author).text(version.note);
  if (!version.is_canary()) return;
  writer.array(kCanaryFields);
  pack(writer, version.canary.routers);
  writer.number(static_cast<std::uint64_t>(version.canary.duration));
  writer.real(version.canary.max_failure_increase);
  writer.flag(version.canary.promote_on_expiry);
}

Version read_version(Reader& reader) { return reader.record(kVersionFields, read_version_fields); }

void pack(Writer& writer, const std::optional<Version>& version) {
  writer.array(version ? 1 : 0);
  if (version) pack(writer, *version);
}

std::optional<Version> read_optional_version(Reader& reader) {
  auto versions = reader.records(1, kVersionFields, read_version_fields);
  if (versions.empty()) return std::nullopt;
  return std::move(versions.front());
}

void pack(Writer& writer, const std::vector<std::string>& names) {
  writer.array(names.size());
  for (const auto& name : names) writer.text(name);
}

std::vector<std::string> read_names(Reader& reader) { return reader.texts(kMaxVoters); }

void pack(Writer& writer, const std::vector<RaftServer>& servers) {
  writer.array(servers.size());
  for (const auto& server : servers) {
    writer.array(kServerFields).text(server.name).number(static_cast<std::uint64_t>(server.role));
  }
}

std::vector<RaftServer> read_servers(Reader& reader) {
  return reader.records(kMaxRaftServers, kServerFields, read_server_fields);
}

void pack(Writer& writer, const Configuration& configuration) {
  writer.array(kConfigurationFields).number(configuration.index);
  pack(writer, configuration.servers);
}

Configuration read_configuration(Reader& reader) {
  return reader.record(kConfigurationFields, read_configuration_fields);
}

}  // namespace alderspur::consensus

#include "consensus/codec.h"

#include <utility>

#include "consensus/applied_state.h"

namespace alderspur::consensus {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

namespace {

constexpr std::size_t kVersionFields = 6;  // without a canary rollout
constexpr std::size_t kCanaryFields = 4;

CanaryRollout read_canary(Reader& reader) {
  Reader fields(reader.next(), kCanaryFields);
  CanaryRollout canary;
  canary.routers = read_names(fields);
  canary.duration = static_cast<Time>(fields.number(kMaxCanaryDuration));
  canary.max_failure_increase = fields.real();
  canary.promote_on_expiry = fields.flag();
  reader.fail_with(fields);
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
  if (fields.has_more()) version.canary = read_canary(fields);
  return version;
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

Version read_version(Reader& reader) {
  Reader fields(reader.next(), kVersionFields);
  Version version = read_version_fields(fields);
  reader.fail_with(fields);
  return version;
}

void pack(Writer& writer, const std::optional<Version>& version) {
  writer.array(version ? 1 : 0);
  if (version) pack(writer, *version);
}

std::optional<Version> read_optional_version(Reader& reader) {
  if (reader.array(1) == 0) return {};
  Reader fields = reader.element(0, kVersionFields);
  Version version = read_version_fields(fields);
  reader.fail_with(fields);
  return version;
}

void pack(Writer& writer, const std::vector<std::string>& names) {
  writer.array(names.size());
  for (const auto& name : names) writer.text(name);
}

std::vector<std::string> read_names(Reader& reader) {
  std::vector<std::string> names;
  const auto count = reader.array(kMaxVoters);
  for (std::uint32_t i = 0; i < count; ++i) names.push_back(reader.element_text(i));
  return names;
}

void pack(Writer& writer, const std::vector<RaftServer>& servers) {
  writer.array(servers.size());
  for (const auto& server : servers) {
    writer.array(2).text(server.name).number(static_cast<std::uint64_t>(server.role));
  }
}

std::vector<RaftServer> read_servers(Reader& reader) {
  std::vector<RaftServer> servers;
  const auto count = reader.array(kMaxRaftServers);
  for (std::uint32_t i = 0; i < count; ++i) {
    Reader fields = reader.element(i, 2);
    RaftServer server;
    server.name = fields.text();
    server.role = static_cast<int>(fields.number(RAFT_SPARE));
    reader.fail_with(fields);
    servers.push_back(std::move(server));
  }
  return servers;
}

void pack(Writer& writer, const Configuration& configuration) {
  writer.array(2).number(configuration.index);
  pack(writer, configuration.servers);
}

Configuration read_configuration(Reader& reader) {
  Reader fields(reader.next(), 2);
  Configuration configuration;
  configuration.index = fields.number();
  configuration.servers = read_servers(fields);
  reader.fail_with(fields);
  return configuration;
}

}  // namespace alderspur::consensus

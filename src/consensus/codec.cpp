#include "consensus/codec.h"

#include <utility>

#include "consensus/applied_state.h"

namespace alderspur::consensus {

using cluster::Packer;
using cluster::Reader;

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
  reader.good = reader.good && fields.good;
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
  if (fields.more()) version.canary = read_canary(fields);
  return version;
}

}  // namespace

void pack(Packer& packer, const Version& version) {
  packer.array(version.is_canary() ? kVersionFields + 1 : kVersionFields);
  packer.number(version.number).text(version.digest);
  packer.number(version.base_number).number(version.content_size);
  packer.text(version.author).text(version.note);
  if (!version.is_canary()) return;
  packer.array(kCanaryFields);
  pack(packer, version.canary.routers);
  packer.number(static_cast<std::uint64_t>(version.canary.duration));
  packer.real(version.canary.max_failure_increase);
  packer.flag(version.canary.promote_on_expiry);
}

Version read_version(Reader& reader) {
  Reader fields(reader.next(), kVersionFields);
  Version version = read_version_fields(fields);
  reader.good = reader.good && fields.good;
  return version;
}

void pack(Packer& packer, const std::optional<Version>& version) {
  packer.array(version ? 1 : 0);
  if (version) pack(packer, *version);
}

std::optional<Version> read_optional_version(Reader& reader) {
  if (reader.array(1) == 0) return {};
  Reader fields = reader.item(0, kVersionFields);
  Version version = read_version_fields(fields);
  reader.good = reader.good && fields.good;
  return version;
}

void pack(Packer& packer, const std::vector<std::string>& names) {
  packer.array(names.size());
  for (const auto& name : names) packer.text(name);
}

std::vector<std::string> read_names(Reader& reader) {
  std::vector<std::string> names;
  const auto count = reader.array(kMaxVoters);
  for (std::uint32_t i = 0; i < count; ++i) names.push_back(reader.element_text(i));
  return names;
}

void pack(Packer& packer, const std::vector<RaftServer>& servers) {
  packer.array(servers.size());
  for (const auto& server : servers) {
    packer.array(2).text(server.name).number(static_cast<std::uint64_t>(server.role));
  }
}

std::vector<RaftServer> read_servers(Reader& reader) {
  std::vector<RaftServer> servers;
  const auto count = reader.array(kMaxRaftServers);
  for (std::uint32_t i = 0; i < count; ++i) {
    Reader fields = reader.item(i, 2);
    RaftServer server;
    server.name = fields.text();
    server.role = static_cast<int>(fields.number(RAFT_SPARE));
    reader.good = reader.good && fields.good;
    servers.push_back(std::move(server));
  }
  return servers;
}

void pack(Packer& packer, const Configuration& configuration) {
  packer.array(2).number(configuration.index);
  pack(packer, configuration.servers);
}

Configuration read_configuration(Reader& reader) {
  Reader fields(reader.next(), 2);
  Configuration configuration;
  configuration.index = fields.number();
  configuration.servers = read_servers(fields);
  reader.good = reader.good && fields.good;
  return configuration;
}

}  // namespace alderspur::consensus

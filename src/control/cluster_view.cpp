// Renders the cluster view as JSON. docs/cluster.md describes the fields; their order is fixed.
#include <utility>

#include "control/cluster_service.h"

namespace alderspur::control {
namespace {

constexpr core::Time kMicrosecondsPerMillisecond = 1'000;

void write_identity(json::Writer& writer, const cluster::GossipUpdate& update) {
  json::write_text(writer, "name", update.identity.name);
  json::write_text(writer, "address", update.identity.address);
  json::write_text(writer, "point", update.identity.point);
  json::write_text(writer, "version", update.identity.version);
  json::write_count(writer, "epoch", update.identity.epoch);
  writer.Key("incarnation");
  writer.Uint(update.incarnation);
  writer.Key("share");
  writer.Double(update.identity.share);
  json::write_text(writer, "state", cluster::to_string(update.state));
}

void write_members(json::Writer& writer, const cluster::Membership& membership, core::Time now) {
  writer.Key("members");
  writer.StartArray();
  for (const auto& member : membership.members()) {
    writer.StartObject();
    write_identity(writer, member.update);
    writer.Key("for_ms");
    writer.Int64((now - member.state_since) / kMicrosecondsPerMillisecond);
    writer.Key("heard_ms");
    if (member.last_heard) {
      writer.Int64((now - member.last_heard) / kMicrosecondsPerMillisecond);
    } else {
      writer.Null();
    }
    if (member.update.state == cluster::MemberState::suspect) {
      json::write_text(writer, "by", member.update.reported_by);
    }
    writer.EndObject();
  }
  writer.EndArray();
}

void write_counters(json::Writer& writer, const cluster::MembershipCounters& membership,
                    const cluster_transport::TransportCounters& transport) {
  const std::pair<const char*, std::uint64_t> counts[] = {
      {"pings", membership.pings},
      {"asks", membership.ping_requests},
      {"gossips", membership.gossips},
      {"suspicions", membership.suspicions},
      {"failures", membership.failures},
      {"refutations", membership.refutations},
      {"conflicts", membership.conflicts},
      {"refused", membership.rejected},
      {"stalls", membership.stalls},
      {"datagrams_in", transport.datagrams_in},
      {"datagrams_out", transport.datagrams_out},
      {"bytes_in", transport.bytes_in},
      {"bytes_out", transport.bytes_out},
      {"exchanges", transport.exchanges},
      {"dropped", transport.dropped}};
  writer.Key("counts");
  writer.StartObject();
  for (const auto& [key, value] : counts) json::write_count(writer, key, value);
  writer.EndObject();
}

}  // namespace

std::string cluster_view(const cluster::Membership& membership,
                         const cluster_transport::TransportCounters& counters, core::Time now,
                         const ViewExtension& extension) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::write_text(writer, "whole", cluster::to_string(membership.health()));
  json::write_count(writer, "seen", membership.live_count() + 1);
  json::write_count(writer, "known", membership.known_count() + 1);
  writer.Key("doubt");
  writer.Int(membership.local_health_score());
  writer.Key("self");
  writer.StartObject();
  write_identity(writer,
                 {membership.self(), membership.incarnation(), cluster::MemberState::alive, {}});
  writer.EndObject();
  write_members(writer, membership, now);
  write_counters(writer, membership.counters(), counters);
  if (extension) extension(writer);
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

}  // namespace alderspur::control

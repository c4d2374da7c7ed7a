// Renders the versions view as JSON. docs/versions.md describes the fields; their names and order
// are fixed.
#include <string>
#include <vector>

#include "control/consensus_service.h"
#include "json/writer.h"

namespace alderspur::control {
namespace {

using json::write_count;
using json::write_text;

constexpr core::Time kMicrosecondsPerMillisecond = 1'000;

void write_names(json::Writer& writer, const char* key, const std::vector<std::string>& names) {
  writer.Key(key);
  writer.StartArray();
  for (const auto& name : names) writer.String(name.c_str());
  writer.EndArray();
}

void write_milliseconds(json::Writer& writer, const char* key, core::Time microseconds) {
  writer.Key(key);
  writer.Int64(microseconds / kMicrosecondsPerMillisecond);
}

void write_share(json::Writer& writer, const char* key, double share) {
  writer.Key(key);
  writer.Double(share);
}

/// Writes the version as a JSON object. The caller has written the key, if the object has one.
void write_version(json::Writer& writer, const consensus::Version& version, const char* state) {
  writer.StartObject();
  write_count(writer, "number", version.number);
  write_text(writer, "digest", version.digest);
  write_count(writer, "base", version.base_number);
  write_text(writer, "author", version.author);
  write_text(writer, "note", version.note);
  write_count(writer, "bytes", version.content_size);
  write_text(writer, "state", state);
  if (version.is_canary()) write_names(writer, "first", version.canary.routers);
  writer.EndObject();
}

void write_active(json::Writer& writer, const consensus::NodeStatus& status) {
  const consensus::ActiveVersion& active = status.active;
  writer.Key("acting");
  write_version(writer, active.version, active.is_conservative ? "careful" : "leased");
  write_milliseconds(writer, "lease_ms", status.lease_left);
  write_count(writer, "heard", active.newer_contents.size());
  write_share(writer, "share_all", active.total_share);
  write_share(writer, "share_point", active.location_share);
}

void write_pending(json::Writer& writer, const consensus::NodeStatus& status) {
  if (!status.pending) return;
  writer.Key("pending");
  write_version(writer, *status.pending, status.is_pending_accepted ? "agreed" : "offered");
}

void write_node(json::Writer& writer, const consensus::NodeStatus& status) {
  write_text(writer, "part", consensus::role_name(status.role));
  write_text(writer, "leader", status.leader);
  writer.Key("leads");
  writer.Bool(status.is_leader);
  write_count(writer, "term", status.term);
  write_count(writer, "log", status.last_log_index);
  write_text(writer, "trouble", status.fault);
  write_names(writer, "voters", status.voters);
  write_names(writer, "behind", status.routers_behind);
}

/// Writes the routers to which this leader has granted leases.
void write_lease_holders(json::Writer& writer, const consensus::LeaseTable& leases,
                         core::Time now) {
  writer.Key("holders");
  writer.StartArray();
  for (const auto& [name, holder] : leases.holders()) {
    writer.StartObject();
    write_text(writer, "name", name);
    write_count(writer, "acting", holder.active_number);
    write_count(writer, "holds", holder.stored_number);
    write_milliseconds(writer, "heard_ms", now - holder.last_request_at);
    write_share(writer, "share", holder.total_share);
    if (holder.rejected_number) write_text(writer, "refused", holder.rejection_reason);
    writer.EndObject();
  }
  writer.EndArray();
}

void write_history(json::Writer& writer, const consensus::NodeStatus& status) {
  writer.Key("history");
  writer.StartArray();
  for (const auto& entry : status.history) {
    write_version(writer, entry.version, entry.outcome.c_str());
  }
  writer.EndArray();
}

}  // namespace

std::string versions_view(const consensus::NodeStatus& status, const consensus::LeaseTable& leases,
                          core::Time now) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  write_active(writer, status);
  write_pending(writer, status);
  write_node(writer, status);
  if (status.is_leader) write_lease_holders(writer, leases, now);
  write_history(writer, status);
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

}  // namespace alderspur::control

// The view of versions as JSON. docs/versions.md explains its fields, whose order is fixed.
#include "control/consensus_service.h"
#include "control/json.h"

namespace alderspur::control {
namespace {

using namespace alderspur::consensus;  // NOLINT(google-build-using-namespace): all of its messages
                                       // are handled here

void version(Writer& w, const char* key, const Version& v, const char* state) {
  if (key) w.Key(key);
  w.StartObject();
  w.Key("number"), w.Uint64(v.number), text(w, "digest", v.digest), w.Key("base"),
      w.Uint64(v.base_number);
  text(w, "author", v.author), text(w, "note", v.note), w.Key("bytes"), w.Uint64(v.content_size);
  text(w, "state", state);
  if (v.is_canary()) {
    w.Key("first"), w.StartArray();
    for (const auto& n : v.canary.routers) w.String(n.c_str());
    w.EndArray();
  }
  w.EndObject();
}

}  // namespace

std::string versions_view(const NodeStatus& v, const LeaseTable& book, Time now) {
  rapidjson::StringBuffer out;
  Writer w(out);
  w.StartObject();
  version(w, "acting", v.active.version, v.active.is_conservative ? "careful" : "leased");
  w.Key("lease_ms"), w.Int64(v.lease_left / 1000);
  w.Key("heard"), w.Uint64(v.active.newer_contents.size());
  w.Key("share_all"), w.Double(v.active.total_share), w.Key("share_point"),
      w.Double(v.active.location_share);
  if (v.pending) version(w, "pending", *v.pending, v.is_pending_accepted ? "agreed" : "offered");
  text(w, "part", role_name(v.role)), text(w, "leader", v.leader);
  w.Key("leads"), w.Bool(v.is_leader), w.Key("term"), w.Uint64(v.term), w.Key("log"),
      w.Uint64(v.last_log_index);
  text(w, "trouble", v.fault);
  w.Key("voters"), w.StartArray();
  for (const auto& n : v.voters) w.String(n.c_str());
  w.EndArray();
  w.Key("behind"), w.StartArray();
  for (const auto& n : v.routers_behind) w.String(n.c_str());
  w.EndArray();
  if (v.is_leader) {
    w.Key("holders"), w.StartArray();
    for (const auto& [name, h] : book.holders()) {
      w.StartObject();
      text(w, "name", name), w.Key("acting"), w.Uint64(h.active_number), w.Key("holds"),
          w.Uint64(h.stored_number);
      w.Key("heard_ms"), w.Int64((now - h.last_request_at) / 1000), w.Key("share"),
          w.Double(h.total_share);
      if (h.rejected_number) text(w, "refused", h.rejection_reason);
      w.EndObject();
    }
    w.EndArray();
  }
  w.Key("history"), w.StartArray();
  for (const auto& past : v.history) version(w, nullptr, past.version, past.outcome.c_str());
  w.EndArray(), w.EndObject();
  return std::string(out.GetString(), out.GetSize()) + "\n";
}

}  // namespace alderspur::control

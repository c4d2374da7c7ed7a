#include "xds/eds.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>

#include "core/parsing.h"

namespace alderspur::xds {
namespace al = ::alderspur;
namespace {

constexpr std::string_view kType =
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void text(Writer& w, std::string_view s) {
  w.String(s.data(), static_cast<rapidjson::SizeType>(s.size()));
}

void assignment(Writer& w, const std::string& cluster,
                const std::vector<al::EndpointStatus>& standings,
                const std::function<std::string(al::ServerId)>& address) {
  w.StartObject();
  w.Key("@type"), text(w, kType);
  w.Key("cluster_name"), text(w, cluster);
  w.Key("endpoints"), w.StartArray(), w.StartObject();
  w.Key("lb_endpoints"), w.StartArray();
  for (const auto& s : standings) {
    const auto at = address(s.server.id);
    const auto colon = at.rfind(':');
    if (s.server.status == al::ServerStatus::gone || colon == std::string::npos) continue;
    w.StartObject();
    w.Key("endpoint"), w.StartObject(), w.Key("address"), w.StartObject();
    w.Key("socket_address"), w.StartObject();
    w.Key("address"), text(w, std::string_view{at}.substr(0, colon));
    w.Key("port_value"), w.Int(std::atoi(at.c_str() + colon + 1));
    w.EndObject(), w.EndObject(), w.EndObject();
    const bool draining = s.server.status == al::ServerStatus::draining;
    w.Key("health_status"), text(w, draining ? "DRAINING" : s.is_usable ? "HEALTHY" : "UNHEALTHY");
    // In tenths: a finer share of a warming cache would make a new version with every poll.
    w.Key("load_balancing_weight"),
        w.Uint(static_cast<unsigned>(std::max(1.0, std::round(s.effective_weight * 10))));
    w.EndObject();
  }
  w.EndArray(), w.EndObject(), w.EndArray(), w.EndObject();
}

std::string version_of(std::string_view resource) {
  return std::to_string(core::stable_hash(resource));
}

}  // namespace

Reply discover(std::string_view request, const std::string& cluster,
               const std::vector<al::EndpointStatus>& standings,
               const std::function<std::string(al::ServerId)>& address) {
  rapidjson::Document j;
  j.Parse<rapidjson::kParseIterativeFlag>(request.data(), request.size());
  const auto member = [&](const char* name) {
    if (!j.HasMember(name) || !j[name].IsString()) return std::string_view();
    return std::string_view(j[name].GetString(), j[name].GetStringLength());
  };
  if (j.HasParseError() || !j.IsObject()) return {400, {}};
  if (const auto type = member("type_url"); !type.empty() && type != kType) return {400, {}};
  bool named = true;
  if (j.HasMember("resource_names") && j["resource_names"].IsArray()) {
    const auto& names = j["resource_names"];
    named = names.Empty();
    for (const auto& name : names.GetArray()) {
      named |= name.IsString() && cluster == name.GetString();
    }
  }
  rapidjson::StringBuffer resource;
  Writer inner(resource);
  if (named) assignment(inner, cluster, standings, address);
  const auto version = version_of(resource.GetString());
  if (member("version_info") == version) return {304, {}};
  rapidjson::StringBuffer out;
  Writer w(out);
  w.StartObject();
  w.Key("version_info"), text(w, version);
  w.Key("type_url"), text(w, kType);
  w.Key("resources"), w.StartArray();
  if (named) w.RawValue(resource.GetString(), resource.GetSize(), rapidjson::kObjectType);
  w.EndArray(), w.EndObject();
  return {200, out.GetString()};
}

}  // namespace alderspur::xds

#include "xds/eds.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "core/parsing.h"
#include "json/writer.h"

namespace alderspur::xds {
namespace {

constexpr std::string_view kResourceType =
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Weights are sent as integers, in tenths of the effective weight. A finer resolution would
/// produce a new version of the resource with every poll while a server is in slow start.
constexpr double kWeightUnitsPerServer = 10;

// ---- Requests ----

/// Returns the text of a member of a well-formed request, or an empty text if it is absent.
std::string_view text_member(const rapidjson::Document& document, const char* name) {
  if (!document.HasMember(name)) return {};
  return {document[name].GetString(), document[name].GetStringLength()};
}

/// Reports whether each member that the service uses is absent or has the expected type.
bool is_well_formed(const rapidjson::Document& document) {
  for (const char* name : {"type_url", "version_info"}) {
    if (document.HasMember(name) && !document[name].IsString()) return false;
  }
  if (!document.HasMember("resource_names")) return true;
  const auto& names = document["resource_names"];
  return names.IsArray() &&
         std::all_of(names.Begin(), names.End(), [](const auto& name) { return name.IsString(); });
}

/// Reports whether the request includes the cluster. A request without names includes all
/// resources.
bool is_cluster_requested(const rapidjson::Document& document, const std::string& cluster_name) {
  if (!document.HasMember("resource_names")) return true;
  const auto& names = document["resource_names"];
  if (names.Empty()) return true;
  return std::any_of(names.Begin(), names.End(), [&](const rapidjson::Value& name) {
    return cluster_name == name.GetString();
  });
}

// ---- Resources ----

/// Returns the xDS health status of an endpoint.
const char* health_status(const alderspur::EndpointStatus& endpoint) {
  if (endpoint.server.status == alderspur::ServerStatus::draining) return "DRAINING";
  return endpoint.is_usable ? "HEALTHY" : "UNHEALTHY";
}

/// Converts a weight to the integer that is sent, which is at least 1.
unsigned integer_weight(double effective_weight) {
  return static_cast<unsigned>(std::max(1.0, std::round(effective_weight * kWeightUnitsPerServer)));
}

/// Writes the address "host:port", whose last colon is at the index `colon`.
void write_address(json::Writer& writer, const std::string& address, std::size_t colon) {
  writer.Key("endpoint");
  writer.StartObject();
  writer.Key("address");
  writer.StartObject();
  writer.Key("socket_address");
  writer.StartObject();
  json::write_text(writer, "address", std::string_view{address}.substr(0, colon));
  writer.Key("port_value");
  writer.Int(std::atoi(address.c_str() + colon + 1));
  writer.EndObject();
  writer.EndObject();
  writer.EndObject();
}

/// Writes an endpoint, unless the server is gone or its address is unknown.
void write_endpoint(json::Writer& writer, const alderspur::EndpointStatus& endpoint,
                    const AddressLookup& address_of) {
  const auto address = address_of(endpoint.server.id);
  const auto colon = address.rfind(':');
  if (endpoint.server.status == alderspur::ServerStatus::gone) return;
  if (colon == std::string::npos) return;
  writer.StartObject();
  write_address(writer, address, colon);
  json::write_text(writer, "health_status", health_status(endpoint));
  writer.Key("load_balancing_weight");
  writer.Uint(integer_weight(endpoint.effective_weight));
  writer.EndObject();
}

/// Encodes the ClusterLoadAssignment, with all endpoints in one locality.
std::string encode_assignment(const std::string& cluster_name,
                              const std::vector<alderspur::EndpointStatus>& endpoints,
                              const AddressLookup& address_of) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::write_text(writer, "@type", kResourceType);
  json::write_text(writer, "cluster_name", cluster_name);
  writer.Key("endpoints");
  writer.StartArray();
  writer.StartObject();
  writer.Key("lb_endpoints");
  writer.StartArray();
  for (const auto& endpoint : endpoints) write_endpoint(writer, endpoint, address_of);
  writer.EndArray();
  writer.EndObject();
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

/// Encodes the DiscoveryResponse. `resource` is a JSON object; the response holds no resource if it
/// is empty.
std::string encode_response(std::string_view version, const std::string& resource) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::write_text(writer, "version_info", version);
  json::write_text(writer, "type_url", kResourceType);
  writer.Key("resources");
  writer.StartArray();
  if (!resource.empty()) {
    writer.RawValue(resource.data(), resource.size(), rapidjson::kObjectType);
  }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

DiscoveryReply answer_discovery_request(std::string_view request, const std::string& cluster_name,
                                        const std::vector<alderspur::EndpointStatus>& endpoints,
                                        const AddressLookup& address_of) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(request.data(), request.size());
  if (document.HasParseError() || !document.IsObject()) return {400, {}};
  if (!is_well_formed(document)) return {400, {}};
  const auto type = text_member(document, "type_url");
  if (!type.empty() && type != kResourceType) return {400, {}};

  std::string resource;
  if (is_cluster_requested(document, cluster_name)) {
    resource = encode_assignment(cluster_name, endpoints, address_of);
  }
  const auto version = std::to_string(core::stable_hash(resource));
  if (text_member(document, "version_info") == version) return {304, {}};
  return {200, encode_response(version, resource)};
}

}  // namespace alderspur::xds

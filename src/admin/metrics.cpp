#include "admin/metrics.h"

namespace alderspur::admin {
namespace {

void head(std::string& out, const char* name, const char* type, const char* help) {
  ((((out += "# HELP ") += name) += ' ') += help) += '\n';
  ((((out += "# TYPE ") += name) += ' ') += type) += '\n';
}
void family(std::string& out, const char* name, const char* help, const core::Engine& engine,
            const std::vector<std::string>& classes, std::uint64_t core::ClassCounters::*count) {
  head(out, name, "counter", help);
  for (std::size_t i = 0; i < classes.size() && i < engine.class_counters().size(); ++i)
    ((((out += name) += "{tier=\"") += classes[i]) += "\"} ") +=
        std::to_string(engine.class_counters()[i].*count) += '\n';
}
void gauge(std::string& out, const char* name, const char* help, std::size_t value) {
  head(out, name, "gauge", help);
  (((out += name) += ' ') += std::to_string(value)) += '\n';
}

}  // namespace

std::string figures(core::Engine& engine, const std::vector<std::string>& classes) {
  using C = core::ClassCounters;
  std::string out;
  family(out, "edge_relay_success", "Requests served.", engine, classes, &C::served);
  family(out, "edge_relay_busy", "Requests refused.", engine, classes, &C::rejected);
  family(out, "edge_relay_failure", "Requests failed.", engine, classes, &C::failed);
  family(out, "edge_relay_backend_calls", "Attempts written whole to caches.", engine, classes,
         &C::forwarded);
  gauge(out, "edge_relay_inflight", "Requests taken and not yet ended.",
        engine.open_request_count());
  const auto census = engine.count_endpoints();
  gauge(out, "edge_relay_hosts_listed", "Caches on the list.", census.listed);
  gauge(out, "edge_relay_hosts_down", "Caches on the list that are avoided now.",
        census.unavailable);
  return out;
}

}  // namespace alderspur::admin

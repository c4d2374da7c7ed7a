#include "admin/metrics.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace alderspur::admin {
namespace {

using core::ClassCounters;

/// A counter with one value for each request class.
struct ClassMetric {
  const char* name;
  const char* help;
  std::uint64_t ClassCounters::*value;
};

constexpr std::array kClassMetrics{
    ClassMetric{"edge_relay_success", "Requests served.", &ClassCounters::served},
    ClassMetric{"edge_relay_busy", "Requests refused.", &ClassCounters::rejected},
    ClassMetric{"edge_relay_failure", "Requests failed.", &ClassCounters::failed},
    ClassMetric{"edge_relay_backend_calls", "Attempts written whole to caches.",
                &ClassCounters::forwarded},
};

void append_head(std::string& out, const std::string& name, const char* type, const char* help) {
  out += "# HELP " + name + ' ' + help + '\n';
  out += "# TYPE " + name + ' ' + type + '\n';
}

void append_counters(std::string& out, const ClassMetric& metric, const core::Engine& engine,
                     const std::vector<std::string>& class_names) {
  append_head(out, metric.name, "counter", metric.help);
  const auto& counters = engine.class_counters();
  const std::size_t count = std::min(class_names.size(), counters.size());
  for (std::size_t i = 0; i < count; ++i) {
    out += metric.name;
    out += "{tier=\"" + class_names[i] + "\"} " + std::to_string(counters[i].*metric.value) + '\n';
  }
}

void append_gauge(std::string& out, const char* name, const char* help, std::size_t value) {
  append_head(out, name, "gauge", help);
  out += name;
  out += ' ' + std::to_string(value) + '\n';
}

}  // namespace

std::string render_metrics(core::Engine& engine, const std::vector<std::string>& class_names) {
  std::string out;
  for (const auto& metric : kClassMetrics) append_counters(out, metric, engine, class_names);
  append_gauge(out, "edge_relay_inflight", "Requests taken and not yet ended.",
               engine.open_request_count());
  const auto census = engine.count_endpoints();
  append_gauge(out, "edge_relay_hosts_listed", "Caches on the list.", census.listed);
  append_gauge(out, "edge_relay_hosts_down", "Caches on the list that are avoided now.",
               census.unavailable);
  return out;
}

}  // namespace alderspur::admin

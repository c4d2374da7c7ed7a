#include "admin/metrics.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace alderspur::admin {
namespace {

using core::ClassCounters;

/// A counter metric with one value for each request class.
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

void append_head(std::string& text, const std::string& name, const char* type, const char* help) {
  text += "# HELP " + name + ' ' + help + '\n';
  text += "# TYPE " + name + ' ' + type + '\n';
}

void append_counters(std::string& text, const ClassMetric& metric, const core::Engine& engine,
                     const std::vector<std::string>& class_names) {
  append_head(text, metric.name, "counter", metric.help);
  const auto& counters = engine.class_counters();
  const std::size_t count = std::min(class_names.size(), counters.size());
  for (std::size_t i = 0; i < count; ++i) {
    text += metric.name;
    text += "{tier=\"" + class_names[i] + "\"} " + std::to_string(counters[i].*metric.value) + '\n';
  }
}

void append_gauge(std::string& text, const char* name, const char* help, std::size_t value) {
  append_head(text, name, "gauge", help);
  text += name;
  text += ' ' + std::to_string(value) + '\n';
}

}  // namespace

std::string render_metrics(core::Engine& engine, const std::vector<std::string>& class_names) {
  std::string text;
  for (const auto& metric : kClassMetrics) append_counters(text, metric, engine, class_names);
  append_gauge(text, "edge_relay_inflight", "Requests taken and not yet ended.",
               engine.open_request_count());
  append_gauge(text, "edge_relay_requests_remembered",
               "Requests that must not run again, remembered for their clients' retries.",
               engine.remembered_requests());
  const auto endpoints = engine.count_endpoints();
  append_gauge(text, "edge_relay_hosts_listed", "Caches on the list.", endpoints.listed);
  append_gauge(text, "edge_relay_hosts_down", "Caches on the list that are avoided now.",
               endpoints.unavailable);
  return text;
}

}  // namespace alderspur::admin

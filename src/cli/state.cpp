// `alderspur state`: prints the contents of a state directory.
#include <cstdio>
#include <string>

#include "cli/commands.h"
#include "cli/printing.h"
#include "config/config.h"
#include "json/writer.h"
#include "net/loop.h"
#include "store/endpoint_state.h"

namespace alderspur::cli {
namespace {

constexpr core::Time kMicrosecondsPerSecond = 1'000'000;

void print_state(const store::EndpointState& state, core::Time age_seconds) {
  std::printf("generation %llu of %s, %zu servers, read %lld s ago; remembered state of %zu\n",
              static_cast<unsigned long long>(state.list->generation), state.list->source.c_str(),
              state.list->servers.size(), static_cast<long long>(age_seconds),
              state.remembered.size());
}

void print_state_as_json(const store::EndpointState& state, core::Time age_seconds) {
  rapidjson::StringBuffer buffer;
  json::Writer writer(buffer);
  writer.StartObject();
  json::write_count(writer, "generation", state.list->generation);
  json::write_text(writer, "source", state.list->source);
  json::write_count(writer, "servers", state.list->servers.size());
  writer.Key("age_s");
  writer.Int64(age_seconds);
  json::write_count(writer, "remembered", state.remembered.size());
  writer.EndObject();
  std::printf("%s\n", buffer.GetString());
}

}  // namespace

int state(const std::string& folder, bool json) {
  return run_and_print_exceptions([&] {
    const auto restored = store::load_endpoint_state(folder + "/membership.state");
    if (!restored.state) throw config::Error(to_string(*restored.error));
    const auto age = net::unix_now() - restored.state->list->read_at;
    const core::Time age_seconds = age / kMicrosecondsPerSecond;
    if (json) {
      print_state_as_json(*restored.state, age_seconds);
    } else {
      print_state(*restored.state, age_seconds);
    }
    return kSuccess;
  });
}

}  // namespace alderspur::cli

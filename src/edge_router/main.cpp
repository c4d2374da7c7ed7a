// The program edge_router, which the platform starts: a router with only the front for the
// platform's clients. Its exit code is 0 after a graceful shutdown and 1 if the router cannot
// start.
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "config/config.h"
#include "edge_router/edge_router.h"

namespace {

namespace config = alderspur::config;
namespace net = alderspur::net;

// Returns the value of an environment variable, or an empty string if it is not set.
std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// Runs the router until it has shut down, and returns the exit code. Throws config::Error or
// std::runtime_error if the router cannot start.
int serve() {
  const std::string path = environment_variable("RELAY_CONFIG");
  if (path.empty()) {
    throw config::Error("RELAY_CONFIG is not set to the path of a configuration file");
  }
  auto config = config::read_file(path);
  if (const auto listen = environment_variable("RELAY_LISTEN"); !listen.empty()) {
    config.listen = listen;
  }
  if (const auto address = environment_variable("RELAY_OPERATOR"); !address.empty()) {
    config.operators_address = address;
  }
  config.shared_directory = environment_variable("TMPDIR");
  alderspur::edge_router::EdgeRouter router(std::move(config),
                                            [](const std::string&, const std::string& text) {
                                              std::fprintf(stderr, "%s\n", text.c_str());
                                            });
  router.set_config_path(path);
  router.run();
  // Exits without running destructors, which would wait for the worker thread and thus for the
  // disk.
  if (!router.stop_workers()) {
    std::fputs("the shared directory does not respond; exiting without waiting for it\n", stderr);
    ::_exit(0);
  }
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  net::hold_signals();
  try {
    return serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "alderspur: %s\n", error.what());
    return 1;
  }
}

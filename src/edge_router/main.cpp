// edge_router, the platform's program: a router with the platform's front only. Exit codes: 0 after
// a graceful shutdown, 1 if the router cannot start.
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

// The value of an environment variable; empty if it is not set.
std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

// Throws config::Error or std::runtime_error if the router cannot start.
int serve() {
  const std::string path = variable("RELAY_CONFIG");
  if (path.empty()) throw config::Error("RELAY_CONFIG names no configuration");
  auto config = config::read_file(path);
  if (const auto listen = variable("RELAY_LISTEN"); !listen.empty()) config.listen = listen;
  if (const auto address = variable("RELAY_OPERATOR"); !address.empty()) {
    config.operators_address = address;
  }
  config.shared_directory = variable("TMPDIR");
  alderspur::edge_router::EdgeRouter router(std::move(config),
                                            [](const std::string&, const std::string& text) {
                                              std::fprintf(stderr, "%s\n", text.c_str());
                                            });
  router.set_config_path(path);
  router.run();
  // Ends without destructors, which would wait for the worker thread and so for the disk.
  if (!router.stop_workers()) {
    std::fputs("the shared folder hangs, ending without it\n", stderr);
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

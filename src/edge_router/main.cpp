// edge_router, the platform's program: the router with the platform's front, and nothing else in
// it.
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

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

int serve() {
  const std::string path = variable("RELAY_CONFIG");
  if (path.empty()) throw config::Error("RELAY_CONFIG names no configuration");
  auto config = config::read_file(path);
  if (const auto listen = variable("RELAY_LISTEN"); !listen.empty()) config.listen = listen;
  if (const auto at = variable("RELAY_OPERATOR"); !at.empty()) config.operators_address = at;
  config.shared_directory = variable("TMPDIR");
  alderspur::edge_router::EdgeRouter node(std::move(config),
                                          [](const std::string&, const std::string& text) {
                                            std::fprintf(stderr, "%s\n", text.c_str());
                                          });
  node.set_config_path(path);
  node.run();
  // Ends without destructors, which would wait for the worker and so for the disk.
  if (!node.stop_workers()) {
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
  } catch (const std::exception& e) {
    std::fprintf(stderr, "alderspur: %s\n", e.what());
    return 1;
  }
}

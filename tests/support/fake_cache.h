// A fake cache server for tests. It records the commands that it receives; the test decides how to
// respond to them. Use it from the test's own thread only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "net/address.h"
#include "net/connection.h"
#include "support/test_socket.h"

namespace loopback {

namespace net = alderspur::net;

/// A command that a fake cache has received.
struct CacheCommand {
  std::string verb;
  std::string id;
  std::string body;
  std::map<std::string, std::string> fields;
  TestSocket* connection = nullptr;  // the connection on which to respond
};

/// Returns the fields of a response whose copy the origin serves now.
inline std::string fresh_copy_fields(const std::string& tag) {
  return "sum=" + tag + ",t0=" + std::to_string(net::unix_now() / 1000);
}

/// Listens on a loopback port, accepts connections and records commands. Nothing happens except in
/// calls of its functions.
class FakeCache {
 public:
  FakeCache() : fd_(bind_socket(address_)) {
    ::listen(fd_, 64);
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~FakeCache() { stop(); }
  FakeCache(const FakeCache&) = delete;
  FakeCache& operator=(const FakeCache&) = delete;

  /// Closes the listener and resets all connections, as if the process had been killed.
  void stop() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    for (auto& connection : connections) connection->reset();
  }
  /// Returns the address on which the cache listens.
  std::string address() const { return net::to_string(address_); }

  /// Makes the kernel buffer only a little unread input on connections that are accepted later.
  void use_small_receive_buffer() {
    const int bytes = 4096;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }

  /// Accepts connections and reads commands without blocking.
  void poll() {
    for (int fd; fd_ >= 0 && (fd = ::accept(fd_, nullptr, nullptr)) >= 0;) {
      connections.push_back(std::make_unique<TestSocket>(fd));
    }
    if (!is_reading) return;
    for (auto& connection : connections) {
      connection->poll();
      while (parse_command(*connection)) {
      }
    }
  }

  /// Responds to a command. If `fields` is empty, the status "served" gets the tag and time of a
  /// fresh copy, and other statuses get no fields.
  static void respond(const CacheCommand& command, const std::string& status,
                      const std::string& body = {}, std::string fields = {}) {
    if (fields.empty()) fields = status == "served" ? fresh_copy_fields("t") : "-";
    command.connection->write(command.id + ' ' + status + ' ' + fields + ' ' +
                              std::to_string(body.size()) + "\r\n" + body + "\r\n");
  }

  /// Returns the number of recorded commands with this verb.
  std::size_t count(const std::string& verb) const {
    return static_cast<std::size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [&](const auto& command) { return command.verb == verb; }));
  }

  std::vector<CacheCommand> commands;
  std::vector<std::unique_ptr<TestSocket>> connections;
  bool is_reading = true;  // false: input stays in the kernel's receive buffers

 private:
  // Removes one command from the connection's input and records it. Returns false if the input does
  // not contain a complete command.
  bool parse_command(TestSocket& connection) {
    const auto line_end = connection.received.find("\r\n");
    if (line_end == std::string::npos) return false;
    std::istringstream line(connection.received.substr(0, line_end));
    CacheCommand command;
    std::string fields;
    std::size_t length = 0;
    line >> command.verb >> command.id >> fields >> length;
    command.connection = &connection;
    std::size_t parsed_size = line_end + 2;
    if (command.verb == "fetch") {
      if (connection.received.size() < parsed_size + length + 2) return false;
      command.body = connection.received.substr(parsed_size, length);
      parsed_size += length + 2;
    }
    std::istringstream list(fields);
    for (std::string field; std::getline(list, field, ',');) {
      command.fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
    }
    connection.received.erase(0, parsed_size);
    commands.push_back(command);
    return true;
  }

  sockaddr_in address_{};
  int fd_;
};

}  // namespace loopback

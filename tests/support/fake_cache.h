// A cache server of the platform that collects commands; the test responds to them.
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

/// One command as it arrived.
struct CacheCommand {
  std::string verb;
  std::string id;
  std::string body;
  std::map<std::string, std::string> fields;
  TestSocket* connection = nullptr;  // where the response goes
};

/// The fields of a response with a copy that is made now.
inline std::string fresh_copy_fields(const std::string& tag) {
  return "sum=" + tag + ",t0=" + std::to_string(net::unix_now() / 1000);
}

class FakeCache {
 public:
  FakeCache() : fd_(bind_socket(address_)) {
    ::listen(fd_, 64);
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~FakeCache() { stop(); }
  FakeCache(const FakeCache&) = delete;
  FakeCache& operator=(const FakeCache&) = delete;

  /// As if the process was killed: closes the listener and resets all connections.
  void stop() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    for (auto& connection : connections) connection->reset();
  }
  std::string address() const { return net::to_string(address_); }

  /// Connections from now on hold little unread input in the kernel.
  void use_small_receive_buffer() {
    const int bytes = 4096;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }

  /// Accepts connections and reads commands, without waiting.
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

  /// Responds to a command. Without `fields`, a copy has a tag and its age, and other responses
  /// have none.
  static void respond(const CacheCommand& command, const std::string& status,
                      const std::string& body = {}, std::string fields = {}) {
    if (fields.empty()) fields = status == "served" ? fresh_copy_fields("t") : "-";
    command.connection->write(command.id + ' ' + status + ' ' + fields + ' ' +
                              std::to_string(body.size()) + "\r\n" + body + "\r\n");
  }

  /// The number of commands with this verb.
  std::size_t count(const std::string& verb) const {
    return static_cast<std::size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [&](const auto& command) { return command.verb == verb; }));
  }

  std::vector<CacheCommand> commands;
  std::vector<std::unique_ptr<TestSocket>> connections;
  bool is_reading = true;  // otherwise input stays in the kernel

 private:
  // Takes one command off the connection's input; false: there is no complete one.
  bool parse_command(TestSocket& connection) {
    const auto line_end = connection.received.find("\r\n");
    if (line_end == std::string::npos) return false;
    std::istringstream line(connection.received.substr(0, line_end));
    CacheCommand command;
    std::string fields;
    std::size_t length = 0;
    line >> command.verb >> command.id >> fields >> length;
    command.connection = &connection;
    std::size_t used = line_end + 2;
    if (command.verb == "fetch") {
      if (connection.received.size() < used + length + 2) return false;
      command.body = connection.received.substr(used, length);
      used += length + 2;
    }
    std::istringstream list(fields);
    for (std::string field; std::getline(list, field, ',');) {
      command.fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
    }
    connection.received.erase(0, used);
    commands.push_back(command);
    return true;
  }

  sockaddr_in address_{};
  int fd_;
};

}  // namespace loopback

// The context that the parts of a ConsensusNode share: settings, the time of the current event, a
// random number generator, the names of the other routers, and the list of actions that result from
// the event. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "consensus/node_events.h"

namespace alderspur::consensus {

/// Owned by ConsensusNode, which calls begin_event() and end_event(); the parts use the rest.
class NodeContext {
 public:
  NodeContext(ConsensusSettings settings, std::uint64_t seed);

  /// Between begin_event() and end_event(), actions are appended to `actions`.
  void begin_event(Time now, std::vector<Action>& actions);
  void end_event() { actions_ = nullptr; }

  const ConsensusSettings& settings() const { return settings_; }
  const std::string& name() const { return settings_.name; }
  Time now() const { return now_; }
  std::uint64_t random_number() { return random_(); }

  /// Returns the names of all other routers.
  const std::vector<std::string>& peers() const { return peers_; }
  void set_peers(std::vector<std::string> names);
  /// Returns the name of a random other router. There must be at least one.
  const std::string& random_peer() { return peers_[random_() % peers_.size()]; }

  void add_action(Action action);
  /// Adds a LogEvent action.
  void log(const char* event, std::string text);
  /// Adds a SendMessage action. A message to this router itself is queued instead, for
  /// take_messages_to_self().
  void send(const std::string& to, const Message& message);
  /// Removes and returns the queued messages to this router itself.
  std::deque<MessageReceived> take_messages_to_self();
  bool has_messages_to_self() const { return !messages_to_self_.empty(); }

 private:
  const ConsensusSettings settings_;
  std::mt19937_64 random_;
  Time now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::vector<std::string> peers_;
  std::deque<MessageReceived> messages_to_self_;
};

}  // namespace alderspur::consensus

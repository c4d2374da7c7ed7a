#include "consensus/node_context.h"

#include <utility>

namespace alderspur::consensus {

NodeContext::NodeContext(ConsensusSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

void NodeContext::begin_event(Time now, std::vector<Action>& actions) {
  now_ = now;
  actions_ = &actions;
}

void NodeContext::set_peers(std::vector<std::string> names) {
  peers_ = std::move(names);
  std::erase(peers_, settings_.name);
}

void NodeContext::add_action(Action action) { actions_->push_back(std::move(action)); }

void NodeContext::log(const char* event, std::string text) {
  add_action(LogEvent{event, std::move(text)});
}

void NodeContext::send(const std::string& to, const Message& message) {
  if (to == settings_.name) {
    messages_to_self_.push_back({to, encode(message)});
  } else {
    add_action(SendMessage{to, encode(message)});
  }
}

std::deque<MessageReceived> NodeContext::take_messages_to_self() {
  return std::exchange(messages_to_self_, {});
}

}  // namespace alderspur::consensus

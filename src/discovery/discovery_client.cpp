#include "discovery/discovery_client.h"

#include <algorithm>
#include <string>
#include <vector>

namespace alderspur::discovery {
namespace {

constexpr core::Time kGapCheckInterval = 250'000;
/// Missing events that do not arrive within this time are requested again on a new connection.
constexpr core::Time kGapTimeout = 1'500'000;
/// Maximum number of events that are applied while an earlier one is missing. Beyond it, the client
/// stops waiting for the missing event.
constexpr std::size_t kMaxAppliedBeyondGap = 4096;

}  // namespace

DiscoveryClient::DiscoveryClient(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                                 EndpointSink& sink, const config::Config& config)
    : deadlines_(deadlines),
      engine_(engine),
      sink_(sink),
      config_(config),
      connections_(loop, deadlines, config.seed, watch_callbacks()) {
  for (const auto& event : config.known_events) apply(event);
  applied_up_to_ = std::max(applied_up_to_, config.known_event_number);
  applied_beyond_gap_.clear();
  if (const auto address = net::parse_address(config.discovery_address)) {
    connections_.watch(*address);
  }
  check_gap();
}

WatchConnections::Callbacks DiscoveryClient::watch_callbacks() {
  return {[this] { return engine_.now(); }, [this] { return applied_up_to_; },
          [this](std::string_view line) { on_line(line); },
          [this](std::string_view bytes) {
            engine_.log_invalid_input(core::InvalidInput::watch_event, bytes);
          }};
}

// ---- Events ----

// Applies an event unless it was applied before.
void DiscoveryClient::apply(const config::WatchEvent& event) {
  if (event.number <= applied_up_to_ || applied_beyond_gap_.contains(event.number)) return;
  advance_applied(event.number);
  if (event.has_endpoints) apply_endpoints(event);
  if (event.purge) engine_.purge({event.purge->object, event.purge->group, event.purge->at});
  if (applied_beyond_gap_.empty()) applied_members_.clear();
}

// Records that an event was applied, and advances applied_up_to_ over all events without a gap.
void DiscoveryClient::advance_applied(std::uint64_t number) {
  applied_beyond_gap_.insert(number);
  while (applied_beyond_gap_.contains(applied_up_to_ + 1)) {
    ++applied_up_to_;
    applied_beyond_gap_.erase(applied_up_to_);
  }
  // Too many later events have been applied; stop waiting for the missing ones.
  if (applied_beyond_gap_.size() > kMaxAppliedBeyondGap) {
    applied_up_to_ = *applied_beyond_gap_.begin();
    applied_beyond_gap_.erase(applied_beyond_gap_.begin());
  }
}

// Applies the endpoint update of an event. An event that fills a gap arrives after later events and
// must not undo them, for instance by returning a draining server to service.
void DiscoveryClient::apply_endpoints(const config::WatchEvent& event) {
  if (event.number < last_complete_list_) return;
  if (event.is_complete) last_complete_list_ = event.number;
  std::vector<config::Member> members;
  for (const auto& member : event.members) {
    const auto applied = applied_members_.find(member.server.id);
    const bool is_outdated =
        applied != applied_members_.end() && applied->second.event_number > event.number;
    if (is_outdated) continue;
    members.push_back(member);
    if (!applied_beyond_gap_.empty()) applied_members_[member.server.id] = {event.number, member};
  }
  if (event.is_complete) {
    for (const auto& [id, applied] : applied_members_) {
      if (applied.event_number > event.number) members.push_back(applied.member);
    }
  }
  sink_.update_endpoints(event.is_complete, members);
}

// ---- Watch ----

// The new server continues the numbers of the old one and therefore also sends events that are
// missing from the old server's watch.
bool DiscoveryClient::reconfigure(const config::Config& new_config) {
  const auto address = net::parse_address(new_config.discovery_address);
  if (!address) return false;
  for (const auto& event : new_config.known_events) apply(event);
  gap_since_ = 0;
  connections_.watch(*address);
  return true;
}

// Requests events that are missing, and do not arrive, on another watch. The watch in use stays
// open until the new one is answered.
void DiscoveryClient::check_gap() {
  const core::Time now = engine_.now();
  if (gap_since_ && now > gap_since_ + kGapTimeout) {
    gap_since_ = 0;
    connections_.watch_again();
  }
  deadlines_.set(now + kGapCheckInterval, [this] { check_gap(); });
}

// Handles one line from the server: applies its event and checks whether earlier events are
// missing.
void DiscoveryClient::on_line(std::string_view line) {
  const auto event = config::read_watch_event(line, config_.names);
  if (!event) {
    ++engine_.counters().invalid_responses;
    engine_.log_invalid_input(core::InvalidInput::watch_event, line);
    return;
  }
  if (event->has_endpoints || event->purge) apply(*event);
  const std::uint64_t highest_number = applied_beyond_gap_.empty()
                                           ? event->number
                                           : std::max(event->number, *applied_beyond_gap_.rbegin());
  if (highest_number <= applied_up_to_) {
    gap_since_ = 0;
  } else if (!gap_since_) {
    gap_since_ = engine_.now();
  }
}

}  // namespace alderspur::discovery

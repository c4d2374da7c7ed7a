#include "discovery/discovery_client.h"

#include <algorithm>
#include <string>
#include <utility>

namespace alderspur::discovery {
namespace {

constexpr core::Time kMinReconnectDelay = 50'000;
constexpr core::Time kMaxReconnectDelay = 350'000;
constexpr core::Time kLivenessCheckInterval = 250'000;
/// The connection is closed after this time without data. The server sends a line every second.
constexpr core::Time kSilenceTimeout = 1'800'000;
/// Missing events that do not arrive within this time are requested again on a new connection.
constexpr core::Time kGapTimeout = 1'500'000;
constexpr std::size_t kMaxLineBytes = 1 << 20;
/// Maximum number of events that are applied while an earlier one is missing. Beyond it, the client
/// stops waiting for the missing event.
constexpr std::size_t kMaxAppliedBeyondGap = 4096;

}  // namespace

core::Time reconnect_delay(std::mt19937_64& random) {
  return std::uniform_int_distribution<core::Time>(kMinReconnectDelay, kMaxReconnectDelay)(random);
}

DiscoveryClient::DiscoveryClient(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                                 EndpointSink& sink, const config::Config& config)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      sink_(sink),
      config_(config),
      random_(config.seed) {
  for (const auto& event : config.known_events) apply(event);
  applied_up_to_ = std::max(applied_up_to_, config.known_event_number);
  applied_beyond_gap_.clear();
  if (const auto address = net::parse_address(config.discovery_address)) {
    address_ = *address;
    connect();
    check_liveness();
  }
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

// ---- Connection ----

void DiscoveryClient::connect() {
  net::Connection::Handler handler;
  handler.on_data = [this](std::string_view bytes) { return on_data(bytes); };
  handler.on_close = [this](net::CloseReason) { reconnect_later(); };
  connection_ = net::connect(loop_, address_, std::move(handler));
  last_data_at_ = engine_.now();
  if (!connection_) return reconnect_later();
  connection_->write("watch " + std::to_string(applied_up_to_) + "\n");
}

void DiscoveryClient::close_connection() {
  if (!connection_) return;
  connection_->close();
  closed_connections_.push_back(std::move(connection_));
}

// Closes the connection and schedules a reconnect, unless one is already scheduled.
void DiscoveryClient::reconnect_later() {
  close_connection();
  if (reconnect_timer_) return;
  reconnect_timer_ = deadlines_.set(engine_.now() + reconnect_delay(random_), [this] {
    reconnect_timer_.reset();
    connect();
  });
}

// The old connection is always closed, even if it still works, because the old server sends nothing
// more but may keep its connections open for seconds. The new server continues the numbers and
// therefore also sends events that are missing from the old server's watch.
bool DiscoveryClient::reconfigure(const config::Config& new_config) {
  const auto address = net::parse_address(new_config.discovery_address);
  if (!address) return false;
  for (const auto& event : new_config.known_events) apply(event);
  const bool is_first_address = !address_.sin_port;
  address_ = *address;
  if (reconnect_timer_) deadlines_.cancel(*reconnect_timer_);
  reconnect_timer_.reset();
  gap_since_ = 0;
  close_connection();
  connect();
  if (is_first_address) check_liveness();
  return true;
}

// Reconnects if the server has sent nothing for kSilenceTimeout. A server that has stopped sending
// may leave its connection open, and drains and purges would be missed. Also reconnects if a gap
// has not been filled within kGapTimeout.
void DiscoveryClient::check_liveness() {
  const core::Time now = engine_.now();
  if (connection_ && now > last_data_at_ + kSilenceTimeout) reconnect_later();
  if (connection_ && gap_since_ && now > gap_since_ + kGapTimeout) {
    gap_since_ = 0;
    reconnect_later();
  }
  deadlines_.set(now + kLivenessCheckInterval, [this] { check_liveness(); });
}

std::ptrdiff_t DiscoveryClient::on_data(std::string_view bytes) {
  const auto size_before = bytes.size();
  last_data_at_ = engine_.now();
  for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n')) {
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    on_line(line);
  }
  if (bytes.size() > kMaxLineBytes) {
    engine_.log_invalid_input(core::InvalidInput::watch_event, bytes);
    return -1;
  }
  return static_cast<std::ptrdiff_t>(size_before - bytes.size());
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
    gap_since_ = last_data_at_;
  }
}

void DiscoveryClient::end_turn() {
  closed_connections_.clear();
  if (connection_) connection_->end_turn();
}

}  // namespace alderspur::discovery

#include "discovery/watch_connections.h"

#include <algorithm>
#include <string>
#include <utility>

namespace alderspur::discovery {
namespace {

constexpr core::Time kMinReconnectDelay = 50'000;
constexpr core::Time kMaxReconnectDelay = 350'000;
constexpr core::Time kCheckInterval = 250'000;
/// A watch in use is closed after this time without data, since the server sends a line every
/// second. While a new watch waits for its first line, another is opened each time that this time
/// has passed.
constexpr core::Time kSilenceTimeout = 1'800'000;
/// The maximum number of watches that are open at the same time.
constexpr std::size_t kMaxWatches = 4;
/// The oldest watch that waits for its first line stays open for this time at least. The time
/// doubles whenever it has passed in vain, up to its maximum, so that a server is heard however
/// late it answers.
constexpr core::Time kMinPatience = 10'000'000;
constexpr core::Time kMaxPatience = 160'000'000;
constexpr std::size_t kMaxLineBytes = 1 << 20;

}  // namespace

core::Time reconnect_delay(std::mt19937_64& random) {
  return std::uniform_int_distribution<core::Time>(kMinReconnectDelay, kMaxReconnectDelay)(random);
}

WatchConnections::WatchConnections(net::Loop& loop, core::Deadlines& deadlines, std::uint64_t seed,
                                   Callbacks callbacks)
    : loop_(loop),
      deadlines_(deadlines),
      callbacks_(std::move(callbacks)),
      patience_(kMinPatience),
      random_(seed) {}

// The old watches are closed even if they still work, because the old server sends nothing more but
// may keep its connections open for seconds.
void WatchConnections::watch(const sockaddr_in& address) {
  address_ = address;
  if (open_timer_) deadlines_.cancel(*open_timer_);
  open_timer_.reset();
  patience_ = kMinPatience;
  close_all_except(nullptr);
  open_watch();
  if (!std::exchange(checks_silence_, true)) check_silence();
}

void WatchConnections::watch_again() {
  if (!is_waiting_for_answer()) open_later();
}

void WatchConnections::end_turn() {
  closed_watches_.clear();
  for (auto& watch : watches_) watch->connection->end_turn();
}

// ---- Opening and closing ----

void WatchConnections::open_watch() {
  make_room();
  auto added = std::make_unique<Watch>();
  Watch* watch = added.get();
  net::Connection::Handler handler;
  handler.on_data = [this, watch](std::string_view bytes) { return on_data(*watch, bytes); };
  handler.on_close = [this, watch](net::CloseReason) { on_closed(*watch); };
  watch->connection = net::connect(loop_, address_, std::move(handler));
  watch->opened_at = callbacks_.now();
  watch->last_data_at = watch->opened_at;
  if (!watch->connection) return open_later();
  watch->connection->write("watch " + std::to_string(callbacks_.last_event_number()) + "\n");
  watches_.push_back(std::move(added));
}

// Schedules another watch, unless one is already scheduled.
void WatchConnections::open_later() {
  if (open_timer_) return;
  open_timer_ = deadlines_.set(callbacks_.now() + reconnect_delay(random_), [this] {
    open_timer_.reset();
    open_watch();
  });
}

void WatchConnections::close(Watch& watch) {
  const auto found = std::find_if(watches_.begin(), watches_.end(),
                                  [&](const auto& entry) { return entry.get() == &watch; });
  if (found == watches_.end()) return;
  watch.connection->close();
  closed_watches_.push_back(std::move(*found));
  watches_.erase(found);
}

void WatchConnections::close_all_except(const Watch* remaining) {
  for (auto& watch : std::exchange(watches_, {})) {
    const bool remains = watch.get() == remaining;
    if (!remains) watch->connection->close();
    (remains ? watches_ : closed_watches_).push_back(std::move(watch));
  }
}

// Closes one of the watches that wait for their first line if there are too many. The oldest has
// waited longest and may be the next to be answered, but may also be dead.
void WatchConnections::make_room() {
  if (watches_.size() < kMaxWatches) return;
  const auto first = std::find_if(watches_.begin(), watches_.end(),
                                  [](const auto& watch) { return !watch->is_answered; });
  if (callbacks_.now() > (*first)->opened_at + patience_) {
    patience_ = std::min(2 * patience_, kMaxPatience);
    return close(**first);
  }
  close(**std::next(first));
}

void WatchConnections::on_closed(Watch& watch) {
  close(watch);
  if (!answered_watch()) open_later();
}

// ---- Data and silence ----

std::ptrdiff_t WatchConnections::on_data(Watch& watch, std::string_view bytes) {
  const auto size_before = bytes.size();
  watch.last_data_at = callbacks_.now();
  for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n')) {
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (!std::exchange(watch.is_answered, true)) {
      patience_ = kMinPatience;
      close_all_except(&watch);
    }
    callbacks_.on_line(line);
  }
  if (bytes.size() > kMaxLineBytes) {
    callbacks_.on_overlong_line(bytes);
    return -1;
  }
  return static_cast<std::ptrdiff_t>(size_before - bytes.size());
}

WatchConnections::Watch* WatchConnections::answered_watch() {
  const auto found = std::find_if(watches_.begin(), watches_.end(),
                                  [](const auto& watch) { return watch->is_answered; });
  return found == watches_.end() ? nullptr : found->get();
}

// Returns whether a new watch was opened so recently that it is too early for another one.
bool WatchConnections::is_waiting_for_answer() const {
  return !watches_.empty() && !watches_.back()->is_answered &&
         callbacks_.now() <= watches_.back()->opened_at + kSilenceTimeout;
}

// A server that has stopped sending may leave its connection open, and drains and purges would be
// missed.
void WatchConnections::check_silence() {
  const core::Time now = callbacks_.now();
  Watch* answered = answered_watch();
  if (answered && now > answered->last_data_at + kSilenceTimeout) close(*answered);
  if (!answered_watch() && !is_waiting_for_answer()) open_later();
  deadlines_.set(now + kCheckInterval, [this] { check_silence(); });
}

}  // namespace alderspur::discovery

#include "platform/discovery_client.h"

namespace alderspur::platform {
namespace al = ::alderspur;

namespace {

constexpr core::Time kAgainLeast = 50'000, kAgainMost = 350'000, kCheck = 250'000;
constexpr core::Time kSilence = 1'800'000;  // a line comes every second
constexpr core::Time kGapPatience = 1'500'000;
constexpr std::size_t kLineMost = 1 << 20, kAheadMost = 4096;

}  // namespace

core::Time pause_before_dial(std::mt19937_64& random) {
  return std::uniform_int_distribution<core::Time>(kAgainLeast, kAgainMost)(random);
}

void DirectEndpointSink::update_endpoints(bool complete,
                                          const std::vector<config::Member>& members) {
  if (complete) caches_.remove_unlisted(members);
  al::EndpointUpdate update;
  update.is_complete = complete;
  for (const auto& m : members) {
    update.servers.push_back(m.server);
    if (!caches_.update_endpoint(m)) update.servers.back().status = al::ServerStatus::gone;
  }
  engine_.update_endpoints(std::move(update));
}

DiscoveryClient::DiscoveryClient(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                                 EndpointSink& sink, const config::Config& config)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      sink_(sink),
      config_(config),
      random_(config.seed) {
  for (const auto& n : config.notices) apply(n);
  held_ = std::max(held_, config.known);
  ahead_.clear();
  if (const auto at = net::parse_address(config.board)) {
    address_ = *at;
    connect();
    listen_for_life();
  }
}

void DiscoveryClient::apply(const config::Notice& n) {
  if (n.number <= held_ || ahead_.contains(n.number)) return;
  ahead_.insert(n.number);
  while (ahead_.contains(held_ + 1)) ahead_.erase(++held_);
  if (ahead_.size() > kAheadMost) held_ = *ahead_.begin(), ahead_.erase(ahead_.begin());
  if (n.pool) tell(n);
  if (n.flush) engine_.purge({n.flush->object, n.flush->group, n.flush->at});
  if (ahead_.empty()) told_.clear();
}

// Danger: what fills a gap comes behind later events, and would put a server that drains back into
// service.
void DiscoveryClient::tell(const config::Notice& n) {
  if (n.number < whole_) return;
  if (n.complete) whole_ = n.number;
  std::vector<config::Member> members;
  for (const auto& m : n.members) {
    const auto later = told_.find(m.server.id);
    if (later != told_.end() && later->second.first > n.number) continue;
    members.push_back(m);
    if (!ahead_.empty()) told_[m.server.id] = {n.number, m};
  }
  if (n.complete) {
    for (const auto& [id, later] : told_) {
      if (later.first > n.number) members.push_back(later.second);
    }
  }
  sink_.update_endpoints(n.complete, members);
}

void DiscoveryClient::connect() {
  net::Connection::Handler handler;
  handler.on_data = [this](std::string_view bytes) { return take(bytes); };
  handler.on_close = [this](net::Closed) { try_again(); };
  connection_ = net::connect(loop_, address_, std::move(handler));
  heard_ = engine_.now();
  if (!connection_) return try_again();
  connection_->write("watch " + std::to_string(held_) + "\n");
}

void DiscoveryClient::drop() {
  if (!connection_) return;
  connection_->close();
  graves_.push_back(std::move(connection_));  // its callback may be running
}

void DiscoveryClient::try_again() {
  drop();
  if (waiting_) return;
  waiting_ = deadlines_.set(engine_.now() + pause_before_dial(random_), [this] {
    waiting_.reset();
    connect();
  });
}

// Danger: the old board accepts nobody, tells nothing more and may still be open for seconds; a gap
// it left is filled by the new one, since the numbers go on.
bool DiscoveryClient::move(const config::Config& renewed) {
  const auto at = net::parse_address(renewed.board);
  if (!at) return false;
  for (const auto& n : renewed.notices) apply(n);
  const bool first = !address_.sin_port;
  address_ = *at;
  if (waiting_) deadlines_.cancel(*waiting_);
  waiting_.reset();
  gap_since_ = 0;
  drop();
  connect();
  if (first) listen_for_life();
  return true;
}

// Danger: a board that fell silent leaves its connection open; drains and purges would pass
// unheard.
void DiscoveryClient::listen_for_life() {
  const core::Time now = engine_.now();
  if (connection_ && now > heard_ + kSilence) try_again();
  if (connection_ && gap_since_ && now > gap_since_ + kGapPatience) gap_since_ = 0, try_again();
  deadlines_.set(now + kCheck, [this] { listen_for_life(); });
}

std::ptrdiff_t DiscoveryClient::take(std::string_view bytes) {
  const auto before = bytes.size();
  heard_ = engine_.now();
  for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n')) {
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto notice = config::read_notice(line, config_.names);
    if (!notice) {
      ++engine_.counters().invalid_responses;
      engine_.log_invalid_input(core::InvalidInput::watch_event, line);
      continue;
    }
    if (notice->pool || notice->flush) apply(*notice);
    const std::uint64_t last =
        ahead_.empty() ? notice->number : std::max(notice->number, *ahead_.rbegin());
    if (last <= held_) {
      gap_since_ = 0;
    } else if (!gap_since_) {
      gap_since_ = heard_;
    }
  }
  if (bytes.size() > kLineMost) {
    return engine_.log_invalid_input(core::InvalidInput::watch_event, bytes), -1;
  }
  return static_cast<std::ptrdiff_t>(before - bytes.size());
}

void DiscoveryClient::end_turn() {
  graves_.clear();
  if (connection_) connection_->end_turn();
}

}  // namespace alderspur::platform

#include "platform/board.h"

namespace platform {
namespace al = alderspur;

namespace {

constexpr core::Time kAgain = 200'000, kCheck = 500'000;
constexpr core::Time kSilence = 2'500'000;  // a line comes every second
constexpr core::Time kGapPatience = 1'500'000;
constexpr std::size_t kLineMost = 4 << 20, kAheadMost = 4096;

}  // namespace

Board::Board(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine, Caches& caches,
             const config::Config& config)
    : loop_(loop), deadlines_(deadlines), engine_(engine), caches_(caches), config_(config) {
  for (const auto& n : config.notices) apply(n);
  held_ = std::max(held_, config.known);
  ahead_.clear();
  if (const auto at = net::parse_address(config.board)) {
    address_ = *at;
    connect();
    listen_for_life();
  }
}

void Board::apply(const config::Notice& n) {
  if (n.number <= held_ || ahead_.contains(n.number)) return;
  ahead_.insert(n.number);
  while (ahead_.contains(held_ + 1)) ahead_.erase(++held_);
  if (ahead_.size() > kAheadMost) held_ = *ahead_.begin(), ahead_.erase(ahead_.begin());
  if (n.pool) {
    if (n.complete) caches_.only(n.members);
    al::FleetUpdate update;
    update.full = n.complete;
    for (const auto& m : n.members) {
      caches_.update(m);
      update.servers.push_back(m.server);
    }
    engine_.fleet(std::move(update));
  }
  if (n.flush) engine_.purge(n.flush->object, n.flush->group, n.flush->at);
}

void Board::connect() {
  net::Connection::Handler handler;
  handler.on_data = [this](std::string_view bytes) { return take(bytes); };
  handler.on_close = [this](net::Closed) { try_again(); };
  connection_ = net::connect(loop_, address_, std::move(handler));
  heard_ = engine_.now();
  if (!connection_) return try_again();
  connection_->write("watch " + std::to_string(held_) + "\n");
}

void Board::try_again() {
  if (connection_) {
    connection_->close();
    graves_.push_back(std::move(connection_));
  }
  if (waiting_) return;
  waiting_ = true;
  deadlines_.set(engine_.now() + kAgain, [this] {
    waiting_ = false;
    connect();
  });
}

// Danger: a board that fell silent leaves its connection open; drains and purges would pass unheard.
void Board::listen_for_life() {
  const core::Time now = engine_.now();
  if (connection_ && now > heard_ + kSilence) try_again();
  if (connection_ && gap_since_ && now > gap_since_ + kGapPatience) gap_since_ = 0, try_again();
  deadlines_.set(now + kCheck, [this] { listen_for_life(); });
}

std::ptrdiff_t Board::take(std::string_view bytes) {
  const auto before = bytes.size();
  heard_ = engine_.now();
  for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n')) {
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto notice = config::read_notice(line, config_.names);
    if (!notice) {
      ++engine_.counters().bad_answers;
      continue;
    }
    if (notice->pool || notice->flush) apply(*notice);
    const std::uint64_t last = ahead_.empty() ? notice->number : std::max(notice->number, *ahead_.rbegin());
    if (last <= held_) gap_since_ = 0;
    else if (!gap_since_) gap_since_ = heard_;
  }
  if (bytes.size() > kLineMost) return -1;
  return static_cast<std::ptrdiff_t>(before - bytes.size());
}

void Board::end_turn() {
  graves_.clear();
  if (connection_) connection_->end_turn();
}

}  // namespace platform

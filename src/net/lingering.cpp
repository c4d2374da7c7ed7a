#include "net/lingering.h"

#include <algorithm>
#include <utility>

#include "net/connection.h"
#include "net/loop.h"

namespace alderspur::net {

Lingering::Lingering(core::Deadlines& deadlines) : deadlines_(deadlines) {}
Lingering::~Lingering() {
  for (auto& entry : entries_) {
    if (!entry.has_ended) deadlines_.cancel(entry.timeout);
  }
}

void Lingering::add(std::unique_ptr<Connection> connection) {
  if (!connection || connection->closed()) return;
  if (size() >= kMaxLingering) close_oldest();
  const auto position = entries_.insert(entries_.end(), Entry{std::move(connection)});
  position->timeout =
      deadlines_.set(unix_now() + kMaxLingerTime, [this, position] { end(position); });
  position->connection->linger([this, position] { end(position); });
}

// The connection is destroyed only when the turn ends, because this function may have been called
// by the connection's own callback.
void Lingering::end(Position position) {
  if (std::exchange(position->has_ended, true)) return;
  deadlines_.cancel(position->timeout);
  position->connection->close();
  ended_.push_back(position);
}

bool Lingering::close_oldest() {
  const auto oldest = std::find_if(entries_.begin(), entries_.end(),
                                   [](const Entry& entry) { return !entry.has_ended; });
  if (oldest == entries_.end()) return false;
  end(oldest);
  return true;
}

bool Lingering::make_room(std::size_t others, std::size_t limit) {
  while (others + size() >= limit) {
    if (!close_oldest()) return false;
  }
  return true;
}

void Lingering::end_turn() {
  for (const Position position : ended_) entries_.erase(position);
  ended_.clear();
}

}  // namespace alderspur::net

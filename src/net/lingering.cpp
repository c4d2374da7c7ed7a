#include "net/lingering.h"

#include <algorithm>

#include "net/connection.h"
#include "net/loop.h"

namespace alderspur::net {

Lingering::Lingering(core::Deadlines& deadlines) : deadlines_(deadlines) {}
Lingering::~Lingering() {
  for (auto& one : all_) {
    if (!one.ended) deadlines_.cancel(one.until);
  }
}

void Lingering::take(std::unique_ptr<Connection> connection) {
  if (!connection || connection->closed()) return;
  if (size() >= kLingeringMost) cut_oldest();
  const auto place = all_.insert(all_.end(), One{std::move(connection)});
  place->until = deadlines_.set(unix_now() + kLingerTime, [this, place] { end(place); });
  place->connection->linger([this, place] { end(place); });
}

// Its callback may be running: the connection itself goes at the turn's end.
void Lingering::end(Place place) {
  if (std::exchange(place->ended, true)) return;
  deadlines_.cancel(place->until);
  place->connection->close();
  ended_.push_back(place);
}

bool Lingering::cut_oldest() {
  const auto oldest = std::find_if(all_.begin(), all_.end(), [](auto& one) { return !one.ended; });
  if (oldest == all_.end()) return false;
  end(oldest);
  return true;
}

bool Lingering::fit(std::size_t others, std::size_t most) {
  while (others + size() >= most) {
    if (!cut_oldest()) return false;
  }
  return true;
}

void Lingering::end_turn() {
  for (const Place place : ended_) all_.erase(place);
  ended_.clear();
}

}  // namespace alderspur::net

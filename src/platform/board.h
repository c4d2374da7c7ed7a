// The notice board: watched from the last number held on, applied in order, tolerant of repeats and gaps.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "config/config.h"
#include "core/engine.h"
#include "net/connection.h"
#include "platform/caches.h"

namespace platform {

class Board {
 public:
  Board(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine, Caches& caches,
        const config::Config& config);
  void end_turn();

 private:
  void apply(const config::Notice& notice);
  void connect();
  void try_again();
  void listen_for_life();
  std::ptrdiff_t take(std::string_view bytes);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  Caches& caches_;
  const config::Config& config_;
  sockaddr_in address_{};
  std::unique_ptr<net::Connection> connection_;
  std::vector<std::unique_ptr<net::Connection>> graves_;
  std::uint64_t held_ = 0;         // all up to it have been applied
  std::set<std::uint64_t> ahead_;  // applied beyond a gap
  core::Time heard_ = 0, gap_since_ = 0;
  bool waiting_ = false;
};

}  // namespace platform

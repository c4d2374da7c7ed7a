// The backend on the platform: connections to caches, parents and the origin, shared by many
// attempts.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "estimators/estimators.h"
#include "net/connection.h"

namespace alderspur::platform {

struct CacheResponse;

class UpstreamPool : public core::UpstreamClient {
 public:
  UpstreamPool(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
               const config::Config& config);
  ~UpstreamPool() override;

  // What the board tells, before the engine hears of it. Connections are kept by a server's id: a
  // new machine may have the address of one that has gone. False: no address of it that could be
  // used has ever been told.
  bool update(const config::Member& member);
  void only(const std::vector<config::Member>& members);  // all others are gone

  void send(core::AttemptId attempt, alderspur::ServerId server) override;
  void abort(core::AttemptId attempt) override;
  void send_health_check(alderspur::ServerId server) override;

  std::string address(alderspur::ServerId server) const;  // empty: not known
  bool listed(alderspur::ServerId server) const;
  // What waits for a connection to that server has not run and is given back at once.
  void give_back(alderspur::ServerId server);
  // So many processes have the limit on descriptors together.
  void share(std::uint32_t processes);

  void end_turn();
  std::size_t links() const { return link_count_; }

 private:
  struct Link;
  struct Server;
  struct Open;

  void touch(Server& server);
  Link* pick(Server& server, std::string_view id);
  Link* dial(Server& server);
  void write_waiting(Link& link);
  void put(Link& link, core::AttemptId attempt);
  void come_up(Link& link);
  void mark_written(Link& link);
  std::ptrdiff_t take(Link& link, std::string_view bytes);
  void hear(Link& link);
  void lost(Link& link, net::Closed why);
  void drop(Link& link);
  void retire(Link& link);
  void out_of_service(Server& server);
  bool stale(const Link& link) const;
  bool plausible(const CacheResponse& answer, core::AttemptId attempt) const;
  void send_health_check(alderspur::ServerId server, core::Time since, int tries);
  void watch_links();
  void watch(Link& link);
  bool never_ends(Link& link, core::Time now);
  Link* link_for_probe(Server& server, bool fresh);
  void overdue(Link& link, const std::string& tag);
  void forget(Link& link, const std::string& tag);
  void end_probe(Link& link, const std::string& tag, bool ok, std::string_view report);
  void sweep();
  // Each may hold half an answer of 240,000 bytes in a buffer twice that size.
  std::size_t link_limit(std::uint32_t processes) const;

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const config::Config& config_;
  std::map<alderspur::ServerId, std::unique_ptr<Server>> servers_;
  std::map<alderspur::ServerId, Server*> linked_;  // those with connections: few of a long list
  std::vector<Server*> touched_;                   // of this turn, each once
  std::unordered_map<core::AttemptId, Link*> where_;
  std::size_t link_count_ = 0, link_limit_;
  std::uint64_t last_probe_ = 0;
  estimators::MovingAverage response_interval_;  // on connections with work: from being asked, or
                                                 // an answer, to the next answer
};

}  // namespace alderspur::platform

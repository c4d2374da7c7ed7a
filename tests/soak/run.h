// One run of the soak: processes of edge_router behind one address, with stand-ins around them, by
// a schedule. What it finds against the rules is in violations().
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "soak/cache_servers.h"
#include "soak/clients.h"
#include "soak/discovery_server.h"
#include "soak/schedule.h"
#include "soak/violations.h"
#include "support/router_process.h"

namespace soak {

class Run {
 public:
  explicit Run(const Schedule& schedule);
  ~Run();
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  void play();

  const Violations& violations() const { return violations_; }
  const Clients::Counts& counts() const { return clients_.counts(); }
  std::size_t fetch_count() const { return caches_.fetch_count(); }
  /// The ends of the processes' logs, for the message of a failed check.
  std::string logs() const;

 private:
  /// One process of the router.
  struct Process {
    std::unique_ptr<loopback::RouterProcess> program;
    sockaddr_in operators{};
    std::string log;
    bool is_ready = false;
    bool is_ending = false;  // SIGTERM was sent
  };
  /// An operator's call that waits for its reply.
  struct Call {
    std::unique_ptr<loopback::TestSocket> socket;
    std::size_t cache = 0;
    bool is_ban = false;
    Time called_at = 0;
  };
  /// What applies from when all processes have been told of it.
  struct PendingNews {
    std::size_t cache = 0;
    std::string object;  // empty: the cache is draining
    Time purged_at = 0;
  };
  enum class Closed { none, draining, banned };

  void step();
  void run_for(Time duration);
  bool run_until(const std::function<bool()>& holds, Time timeout);

  std::string config() const;
  Process start_process();
  bool has_answered_status();
  bool reports_ready(const Process& process);
  void wait_until_ready(Process& process, Time limit, const std::string& what);
  void signal_all(int number);
  void reload_all();
  void end_process(Process& process, Time killed_at);

  void play(const Restart& restart);
  void play_steps_before(const Restart& restart);
  void play_planned(const Restart& restart);
  void play_replacement(const Restart& restart);
  void play_killed(const Restart& restart);
  void drain_old_process(const Restart& restart, bool has_successor);
  void play_due_steps(const Restart& restart, Time began_at);
  void perform(const Step& step);

  void drain(std::size_t cache);
  void purge();
  void ban(std::size_t cache);
  void lift();
  void call(std::size_t cache, bool is_ban);
  void step_calls();
  void apply_told_news();
  std::string member_event(std::size_t cache, const char* phase) const;

  void check_rest();

  const Schedule schedule_;
  Violations violations_;
  StepTimes times_;
  const sockaddr_in address_;  // of the router
  std::string shared_directory_;
  CacheServers caches_;
  DiscoveryServer discovery_;
  Clients clients_;
  std::deque<Process> processes_;  // oldest first
  std::string ended_logs_;         // of processes that have ended
  std::vector<Call> calls_;
  std::vector<PendingNews> pending_news_;
  Closed closed_ = Closed::none;  // one cache at most is out of service
  std::size_t closed_cache_ = 0;
  std::size_t board_ = 0;  // which address of discovery is configured
  std::size_t next_step_ = 0;
  std::size_t purges_ = 0;
  std::size_t idle_descriptors_ = 0;  // of a process without clients
  std::size_t idle_bytes_ = 0;
};

}  // namespace soak

// Membership in service: watched files and the board on one side, connections and core on the
// other, the last good state on disk between one process and the next.
//
// The loop's thread owns the Fleet and applies what changes; a worker reads, parses, checks and
// reckons the difference against the list in force, and another writes the state. Where a list is
// refused, the one in force stays, and the refusal is told once for each content.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "endpoints/endpoint_set.h"
#include "file_watch/watcher.h"
#include "file_watch/worker.h"
#include "log/log.h"
#include "net/wakeup.h"
#include "platform/edge_router.h"
#include "settings/settings.h"

namespace alderspur::app {

struct EndpointControllerCounters {
  std::uint64_t taken = 0, refused = 0, unreadable = 0, saved = 0, save_failed = 0;
  core::Time longest_apply = 0;  // microseconds that the loop was held by one list
};

class EndpointController : public platform::EndpointSink {
 public:
  // Chooses the list to start from: the files', else the last good state. Throws config::Error
  // where authority needs files and there is neither.
  EndpointController(platform::EdgeRouter& node, const settings::Membership& settings,
                     log::Log& log);
  ~EndpointController() override;

  void update_endpoints(bool complete, const std::vector<config::Member>& members) override;
  void start();   // watching; once the node is complete
  void look();    // SIGHUP
  void finish();  // writes the state, waits for it
  std::string summary() const;
  const EndpointControllerCounters& counters() const { return counters_; }
  const endpoints::EndpointSet& fleet() const { return fleet_; }

 private:
  struct Judged;
  struct Shared;
  std::optional<endpoints::CandidateList> begin_with_state(core::Time now);
  void begin(core::Time now);
  static Judged judge(const Shared& shared, file_watch::LookResult&& look);
  void take(const Judged& judged);
  void push();
  bool concerns(const Server& server);
  void held_since(core::Time begun);
  void arm();
  void save_soon();
  void save();

  platform::EdgeRouter& node_;
  const settings::Membership settings_;
  log::Log& log_;
  endpoints::EndpointSet fleet_;
  std::shared_ptr<Shared> shared_;
  std::optional<core::Deadlines::Key> step_, save_;
  core::Time step_at_ = 0;
  std::string last_refusal_;
  std::unordered_set<std::uint64_t> passed_;  // servers that connections and core know of
  bool saving_ = false, serving_ = false;
  EndpointControllerCounters counters_;
  // Last, so that they end first: their jobs use what stands above.
  net::Wakeup wakeup_;
  file_watch::Worker reader_, writer_;
  std::unique_ptr<file_watch::Watcher> watcher_;
};

}  // namespace alderspur::app

// Keeps the router's set of endpoints current: reads lists of servers from watched files and
// updates from service discovery, passes the resulting changes to the connections and to the
// engine, and stores the last valid state on disk for the next process.
//
// Threads: the loop's thread owns the endpoint set and applies changes. One worker reads, parses
// and checks the files and computes the difference against the active list; another writes the
// state. Errors: where a list is rejected, the active one stays. The rejection is logged once for
// each reason. Times are microseconds.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "control/list_evaluator.h"
#include "edge_router/edge_router.h"
#include "endpoints/endpoint_set.h"
#include "file_watch/watcher.h"
#include "file_watch/worker.h"
#include "log/log.h"
#include "net/wakeup.h"
#include "settings/settings.h"

namespace alderspur::control {

/// Counts since the process has started.
struct EndpointControllerCounters {
  std::uint64_t lists_applied = 0;
  std::uint64_t lists_rejected = 0;
  std::uint64_t saves = 0;
  std::uint64_t failed_saves = 0;
  core::Time longest_apply = 0;  // microseconds for which one change held the loop
};

class EndpointController : public discovery::EndpointSink {
 public:
  /// Loads the list to start from: that of the files, else the last valid state. Throws
  /// config::Error where the files are the authority and there is neither. `router` and `log` must
  /// outlive the controller.
  EndpointController(edge_router::EdgeRouter& router, const settings::Membership& settings,
                     log::Log& log);
  ~EndpointController() override;

  /// Applies an update from service discovery. `complete`: it names all members, and all others
  /// are gone. No effect where the files are the authority.
  void update_endpoints(bool complete, const std::vector<config::Member>& members) override;

  /// Begins to watch the files. To be called once the router is complete.
  void start();

  /// Reads the files again now, without waiting for the watcher to see a change.
  void reload();

  /// Writes the state and waits until it is on disk. Blocks the loop's thread.
  void finish();

  /// Counts and the active generation as one line for the log.
  std::string summary() const;

  const EndpointControllerCounters& counters() const { return counters_; }
  const endpoints::EndpointSet& endpoints() const { return endpoints_; }

 private:
  void create_watcher();
  void load_initial_list(core::Time now);
  /// The list in the state of an earlier process; nothing where there is none that can be used.
  std::optional<endpoints::CandidateList> restore_state(core::Time now);
  /// Throws config::Error where the restored list is older than the settings allow.
  void continue_from_state(const endpoints::Snapshot& list, const std::string& rejection,
                           core::Time now);
  void apply_evaluation(const ListEvaluation& evaluation);
  void reject_list(const ListEvaluation& evaluation);
  void apply_list(const ListEvaluation& evaluation);
  void publish_changes();
  void log_change(const endpoints::EndpointChange& change);
  bool is_relevant(const Server& server);
  void record_hold_time(core::Time began_at);
  void schedule_advance();
  void schedule_save();
  void save();

  edge_router::EdgeRouter& router_;
  const settings::Membership settings_;
  log::Log& log_;
  endpoints::EndpointSet endpoints_;
  std::shared_ptr<ListEvaluator> evaluator_;  // shared with the jobs of the reading worker
  std::optional<core::Deadlines::Key> advance_timer_;
  std::optional<core::Deadlines::Key> save_timer_;
  core::Time advance_at_ = 0;
  std::string last_rejection_;
  std::unordered_set<std::uint64_t> published_servers_;  // known to the connections and the engine
  bool is_saving_ = false;
  bool is_serving_ = false;
  EndpointControllerCounters counters_;
  // Last, so that they are destroyed first: their jobs use the members above.
  net::Wakeup wakeup_;
  file_watch::Worker reader_;
  file_watch::Worker writer_;
  std::unique_ptr<file_watch::Watcher> watcher_;
};

}  // namespace alderspur::control

// Keeps the router's set of endpoints current: takes server lists from watched files and updates
// from service discovery, publishes the resulting changes to the upstream connections and to the
// engine, and stores the last valid state on disk, so that the next process can start from it.
//
// Threads: the event loop's thread owns the endpoint set and applies changes. One worker reads,
// parses and checks the files and computes the difference from the active list; another writes the
// state.
// Errors: if a list is rejected, the active list stays in use. A rejection is logged unless its
// reason is the same as that of the previous one.
// All times are in microseconds.
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

/// Counters since the start of the process.
struct EndpointControllerCounters {
  std::uint64_t lists_applied = 0;
  std::uint64_t lists_rejected = 0;
  std::uint64_t saves = 0;
  std::uint64_t failed_saves = 0;
  core::Time longest_apply = 0;  // the longest time for which one change blocked the event loop
};

/// Applies server lists and discovery updates to one router.
class EndpointController : public discovery::EndpointSink {
 public:
  /// Loads the initial list from the files, or from the last stored state if the files have no
  /// valid list. Throws config::Error if neither is usable and the files are the authority, or if
  /// the stored list is older than the settings allow. `router` and `log` must outlive this object.
  EndpointController(edge_router::EdgeRouter& router, const settings::Membership& settings,
                     log::Log& log);
  ~EndpointController() override;

  /// Applies an update from service discovery. If `complete`, `members` is the full list, and every
  /// other member is removed. Has no effect if the files are the authority.
  void update_endpoints(bool complete, const std::vector<config::Member>& members) override;

  /// Starts to watch the files. Must be called after the router has been constructed.
  void start();

  /// Reads the files again immediately, without waiting for the watcher to detect a change.
  void reload();

  /// Writes the state, stops the workers and waits a short time for both. Call this after the event
  /// loop has ended. Returns false if a worker is still blocked on its disk; then only _exit() can
  /// end the process.
  bool finish();

  /// Returns the active generation and the counters as one line of text for the log.
  std::string summary() const;

  const EndpointControllerCounters& counters() const { return counters_; }
  const endpoints::EndpointSet& endpoints() const { return endpoints_; }

 private:
  void create_watcher();
  void load_initial_list(core::Time now);
  /// Applies the list that an earlier process stored, and returns it. Returns nothing if there is
  /// no usable stored list.
  std::optional<endpoints::CandidateList> restore_state(core::Time now);
  /// Publishes the restored list, because the files were rejected for the reason `rejection`.
  /// Throws config::Error if the restored list is older than the settings allow.
  void continue_from_state(const endpoints::Snapshot& list, const std::string& rejection,
                           core::Time now);
  void apply_evaluation(const ListEvaluation& evaluation);
  void reject_list(const ListEvaluation& evaluation);
  void apply_list(const ListEvaluation& evaluation);
  void publish_changes();
  void log_change(const endpoints::EndpointChange& change);
  bool track_published_server(const Server& server);
  void record_apply_duration(core::Time began_at);
  void schedule_advance();
  void schedule_save();
  void save();

  edge_router::EdgeRouter& router_;
  const settings::Membership settings_;
  log::Log& log_;
  endpoints::EndpointSet endpoints_;
  std::shared_ptr<ListEvaluator> evaluator_;  // shared with the jobs of reader_
  std::optional<core::Deadlines::Key> advance_timer_;
  std::optional<core::Deadlines::Key> save_timer_;
  core::Time advance_at_ = 0;
  std::string last_rejection_;
  // Ids of the servers that the upstream connections and the engine use.
  std::unordered_set<std::uint64_t> published_servers_;
  bool is_saving_ = false;
  bool is_serving_ = false;
  EndpointControllerCounters counters_;
  // Declared last, so that they are destroyed first: their jobs use the members above.
  net::Wakeup wakeup_;
  file_watch::Worker reader_;
  file_watch::Worker writer_;
  std::unique_ptr<file_watch::Watcher> watcher_;
};

}  // namespace alderspur::control

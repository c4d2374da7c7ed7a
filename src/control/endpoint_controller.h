// Keeps the router's set of endpoints current: takes lists of servers from watched files and
// updates from the discovery board, passes the resulting changes to the connections and to the
// engine, and keeps the last good state on disk from one process to the next.
//
// Threads: the loop's thread owns the endpoint set and applies changes. One worker reads, parses
// and checks the files and computes the difference against the list in force; another writes the
// state. Errors: where a list is rejected, the one in force stays. The rejection is logged once for
// each reason.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "edge_router/edge_router.h"
#include "endpoints/endpoint_set.h"
#include "file_watch/watcher.h"
#include "file_watch/worker.h"
#include "log/log.h"
#include "net/wakeup.h"
#include "settings/settings.h"

namespace alderspur::control {

struct EndpointControllerCounters {
  std::uint64_t lists_applied = 0;
  std::uint64_t lists_rejected = 0;
  std::uint64_t saves = 0;
  std::uint64_t failed_saves = 0;
  core::Time longest_apply = 0;  // microseconds for which one change held the loop
};

class EndpointController : public discovery::EndpointSink {
 public:
  /// Loads the list to start from: that of the files, else the last good state. Throws
  /// config::Error where the files are the authority and there is neither.
  EndpointController(edge_router::EdgeRouter& node, const settings::Membership& settings,
                     log::Log& log);
  ~EndpointController() override;

  void update_endpoints(bool complete, const std::vector<config::Member>& members) override;
  /// Begins to watch the files. To be called once the router is complete.
  void start();
  /// Reads the files again now, without waiting for the watcher to see a change.
  void reload();
  /// Writes the state and waits until it is on disk.
  void finish();
  /// Counts and the generation in force as one line for the log.
  std::string summary() const;
  const EndpointControllerCounters& counters() const { return counters_; }
  const endpoints::EndpointSet& endpoints() const { return endpoints_; }

 private:
  struct Evaluation;
  struct EvaluationContext;

  void create_watcher();
  void load_initial_list(core::Time now);
  /// What the state of an earlier process gave; nothing where there is none that can be used.
  std::optional<endpoints::CandidateList> restore_state(core::Time now);
  /// Throws config::Error where the restored list is older than the settings allow.
  void continue_from_state(const endpoints::Snapshot& list, const std::string& rejection,
                           core::Time now);
  /// Runs on the reading worker's thread.
  static Evaluation evaluate(const EvaluationContext& context, file_watch::PollResult&& poll);
  void apply_evaluation(const Evaluation& evaluation);
  void reject_list(const Evaluation& evaluation);
  void apply_list(const Evaluation& evaluation);
  void publish_changes();
  void log_change(const endpoints::EndpointChange& change);
  bool is_relevant(const Server& server);
  void record_hold_time(core::Time began_at);
  void schedule_advance();
  void schedule_save();
  void save();

  edge_router::EdgeRouter& node_;
  const settings::Membership settings_;
  log::Log& log_;
  endpoints::EndpointSet endpoints_;
  std::shared_ptr<EvaluationContext> context_;
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

// The consensus data on this router's disk: the voter's log, the contents of versions by digest,
// and the state from which the router continues after a restart.
//
// Threads: all methods must be called on the event loop's thread. One worker loads the data and
// writes the log, another writes contents and the state. Results are reported on the loop's thread,
// so a disk that does not respond blocks only its worker.
// Errors: failed loads and failed writes of the log or of a content are logged. If the queue of a
// worker is full, the write is reported as failed.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "consensus/log_store.h"
#include "consensus/node_events.h"
#include "file_watch/worker.h"
#include "log/log.h"
#include "net/wakeup.h"

namespace alderspur::control {

/// Loads and writes the consensus data of one router.
class ConsensusStorage {
 public:
  using EventHandler = std::function<void(const consensus::Event& event)>;

  /// load() creates `folder` if it does not exist. `on_event` receives the result of each action.
  /// `wakeup` and `log` must outlive this object.
  ConsensusStorage(std::string folder, net::Wakeup& wakeup, EventHandler on_event, log::Log& log);
  ConsensusStorage(const ConsensusStorage&) = delete;
  ConsensusStorage& operator=(const ConsensusStorage&) = delete;

  const std::string& folder() const { return folder_; }

  /// Loads all readable data and reports it in a consensus::Start event.
  void load();

  /// Applies the write to the log and reports a consensus::LogWritten event.
  void write_log(consensus::WriteLog action);

  /// Stores the content and reports a consensus::ContentWritten event.
  void write_content(consensus::WriteContent action);

  /// Stores the state. Reports no result, because a failed write is safe: after a restart from an
  /// older state the router acts conservatively until it has received the newest version.
  void persist_state(const consensus::PersistState& action);

  /// Deletes the file of the content. Reports no result.
  void delete_content(const consensus::DeleteContent& action);

  /// Stops the workers one after another and waits up to `timeout` for each. Returns false as soon
  /// as one of them is still blocked on its disk; then only _exit() can end the process.
  bool stop_workers(std::chrono::milliseconds timeout);

 private:
  const std::string folder_;
  net::Wakeup& wakeup_;
  const EventHandler on_event_;
  log::Log& log_;
  std::shared_ptr<consensus::LogStore> log_store_;  // used only on the thread of log_writer_
  // Declared last, so that they are destroyed first: their jobs use the members above.
  file_watch::Worker log_writer_;
  file_watch::Worker content_writer_;
};

}  // namespace alderspur::control

// What the consensus keeps on this router's disk: the voter's log, contents by digest, and the
// state that survives a restart.
//
// Threads: all calls come from the loop's thread. One worker writes the log, another contents and
// the state; each result is reported on the loop's thread. A disk that hangs holds its worker only.
// Errors are logged. An action that a worker does not accept, because too many wait for the disk,
// has failed.
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

class ConsensusStorage {
 public:
  using EventHandler = std::function<void(const consensus::Event& event)>;

  /// `folder` is created with the first load(). The wakeup and the log must outlive this object;
  /// the handler is called with the result of each action.
  ConsensusStorage(std::string folder, net::Wakeup& wakeup, EventHandler on_event, log::Log& log);
  ConsensusStorage(const ConsensusStorage&) = delete;
  ConsensusStorage& operator=(const ConsensusStorage&) = delete;

  const std::string& folder() const { return folder_; }
  /// Reports a consensus::Start with all that is stored and can be read.
  void load();
  /// Reports a consensus::LogWritten.
  void write_log(consensus::WriteLog action);
  /// Reports a consensus::ContentWritten.
  void write_content(consensus::WriteContent action);
  /// Reports nothing: a start from an older state is conservative until the router has heard of the
  /// newest version.
  void persist_state(const consensus::PersistState& action);
  /// Reports nothing.
  void delete_content(const consensus::DeleteContent& action);
  /// Waits up to `timeout` for each worker. False: one hangs on its disk, and the process can only
  /// be ended by _exit().
  bool stop_workers(std::chrono::milliseconds timeout);

 private:
  const std::string folder_;
  net::Wakeup& wakeup_;
  const EventHandler on_event_;
  log::Log& log_;
  std::shared_ptr<consensus::LogStore> log_store_;  // used on log_writer_'s thread only
  // Last, so that they are destroyed first: their jobs use the members above.
  file_watch::Worker log_writer_;
  file_watch::Worker content_writer_;
};

}  // namespace alderspur::control

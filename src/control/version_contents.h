// The documents of a version: checks them by the checkers of the files that they replace, and
// writes the files of the active version (the endpoint list and the program of routes), from which
// the router then acts as from any other file.
//
// Threads: all calls come from the loop's thread; one worker checks and writes, so that a disk that
// hangs does not hold the loop. Results are reported on the loop's thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "config/config.h"
#include "consensus/node_events.h"
#include "file_watch/worker.h"
#include "log/log.h"
#include "net/wakeup.h"

namespace alderspur::control {

/// The files that are written when a version becomes active.
struct VersionFiles {
  std::string servers;               // the endpoint list; empty: not used by this router
  std::string routes;                // the program of routes; empty: not used by this router
  std::function<void()> on_written;  // the files may have changed
  std::function<std::uint64_t()> list_generation;  // of the active endpoint list
};

class VersionContents {
 public:
  using CheckHandler = std::function<void(const consensus::ContentChecked& result)>;

  /// `folder` holds temporary files. The configuration, the wakeup and the log must outlive this
  /// object.
  VersionContents(VersionFiles files, std::string folder, const config::Config& config,
                  net::Wakeup& wakeup, log::Log& log);
  VersionContents(const VersionContents&) = delete;
  VersionContents& operator=(const VersionContents&) = delete;

  /// Calls `done` later, unless too many jobs wait for the disk; the consensus then asks again.
  void check(const consensus::CheckContent& action, CheckHandler done);
  /// Writes the files of this version, merged with the newer contents; after the write under way,
  /// if there is one.
  void write_files(const consensus::ActiveVersion& active);
  /// Waits up to `timeout`. False: the worker hangs on its disk, and the process can only be ended
  /// by _exit().
  bool stop_worker(std::chrono::milliseconds timeout) { return worker_.stop(timeout); }

 private:
  void write_active_files();

  const VersionFiles files_;
  const std::string folder_;
  const config::Config& config_;
  net::Wakeup& wakeup_;
  log::Log& log_;
  consensus::ActiveVersion active_;
  bool is_writing_ = false;
  bool must_write_again_ = false;
  file_watch::Worker worker_;  // last: its jobs use the members above
};

}  // namespace alderspur::control

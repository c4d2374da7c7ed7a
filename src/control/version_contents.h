// The documents of a version. Checks them in the same way as the files that they replace, and
// writes the files of the active version (the endpoint list and the program of routes), which the
// router then loads like any other files.
//
// Threads: all methods must be called on the event loop's thread. One worker checks and writes, so
// that a disk that does not respond does not block the loop. Results are reported on the loop's
// thread.
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
  std::string servers_path;  // path of the endpoint list; empty if this router uses none
  std::string routes_path;   // path of the program of routes; empty if this router uses none
  std::function<void()> on_written;                // called after each attempt to write the files
  std::function<std::uint64_t()> list_generation;  // returns the generation of the active list
};

/// Checks the contents of versions and writes the files of the active version.
class VersionContents {
 public:
  using CheckHandler = std::function<void(const consensus::ContentChecked& result)>;

  /// Temporary files are written to `folder`. `config`, `wakeup` and `log` must outlive this
  /// object.
  VersionContents(VersionFiles files, std::string folder, const config::Config& config,
                  net::Wakeup& wakeup, log::Log& log);
  VersionContents(const VersionContents&) = delete;
  VersionContents& operator=(const VersionContents&) = delete;

  /// Checks a content on the worker and passes the result to `done` later. If the worker's queue is
  /// full, `done` is never called, and the consensus repeats the request.
  void check(const consensus::CheckContent& action, CheckHandler done);

  /// Writes the files of this version, merged with its newer contents. If a write is in progress or
  /// the worker's queue is full, starts when that write or a check has finished.
  void write_files(const consensus::ActiveVersion& active);

  /// Stops the worker and waits up to `timeout` for it. Returns false if it is still blocked on its
  /// disk; then only _exit() can end the process.
  bool stop_worker(std::chrono::milliseconds timeout) { return worker_.stop(timeout); }

 private:
  void write_active_files();
  void write_again_if_required();
  std::uint64_t next_generation();

  const VersionFiles files_;
  const std::string folder_;
  const config::Config& config_;
  net::Wakeup& wakeup_;
  log::Log& log_;
  consensus::ActiveVersion active_;
  std::uint64_t last_generation_ = 0;  // of the list that was last written
  bool is_writing_ = false;
  bool must_write_again_ = false;
  file_watch::Worker worker_;  // destroyed first: its jobs use the members above
};

}  // namespace alderspur::control

// A thread for work that may block: reading, parsing and syncing files.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace alderspur::file_watch {

/// Runs jobs one after another, in the order in which they were submitted. All methods may be
/// called from any thread but the worker's own.
class Worker {
 public:
  static constexpr std::size_t kMaxWaitingJobs = 64;

  Worker();

  /// Waits for the running job and drops those that have not begun.
  ~Worker();

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Never blocks. False if the worker is stopping or kMaxWaitingJobs jobs are waiting already.
  /// Jobs should not throw: an exception ends the job and is otherwise ignored.
  bool submit(std::function<void()> job);

  /// Blocks until every submitted job has run.
  void drain();

  /// Accepts no more jobs and drops those that have not begun. False if the running job has not
  /// ended within the timeout; the destructor then still waits for it.
  bool stop(std::chrono::milliseconds timeout);

 private:
  void run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> jobs_;  // guarded by mutex_
  bool is_busy_ = false;                    // guarded by mutex_
  bool is_stopping_ = false;                // guarded by mutex_
  std::thread thread_;
};

}  // namespace alderspur::file_watch

// Provides a thread for work that may block, such as reading, parsing and syncing files.
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
/// called from any thread except the worker's own.
class Worker {
 public:
  /// The largest number of jobs that wait to run.
  static constexpr std::size_t kMaxWaitingJobs = 64;

  /// Starts the thread.
  Worker();

  /// Waits for the running job and discards the jobs that have not started.
  ~Worker();

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Adds a job to the queue without blocking. Returns false if the worker is stopping or
  /// kMaxWaitingJobs jobs are already waiting. Jobs should not throw; an exception ends the job and
  /// is otherwise ignored.
  bool submit(std::function<void()> job);

  /// Blocks until every submitted job has run, or until the worker is stopping. Returns false if
  /// this takes longer than the timeout.
  bool drain(std::chrono::milliseconds timeout);

  /// Rejects further jobs and discards the jobs that have not started. Returns false if the running
  /// job has not ended within the timeout. The destructor still waits for that job.
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

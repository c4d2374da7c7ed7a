// One thread for what may block: reading, parsing, syncing. Jobs run one after another in the order
// given.
//
// submit() may be called from any thread and never waits; it is refused when kMaxWaitingJobs jobs
// wait already. The destructor lets the job under way end and drops the others. Jobs must not
// throw; one that does is counted as failed and the thread goes on.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace alderspur::file_watch {

class Worker {
 public:
  static constexpr std::size_t kMaxWaitingJobs = 64;
  Worker();
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  bool submit(std::function<void()> job);
  void drain();  // waits until all that was submitted has run
  // Takes nothing more and drops what waits. False: the job under way has not ended within `most`;
  // then the destructor would wait for it, as long as the disk pleases.
  bool stop(std::chrono::milliseconds timeout);

 private:
  void run();
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> jobs_;  // guarded by mutex_, as are the two below
  bool busy_ = false, ending_ = false;
  std::thread thread_;
};

}  // namespace alderspur::file_watch

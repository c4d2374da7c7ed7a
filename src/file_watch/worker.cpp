#include "file_watch/worker.h"

#include <pthread.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <csignal>
#include <exception>
#include <utility>

namespace alderspur::file_watch {
namespace {

constexpr int kThreadNiceness = 5;

}  // namespace

Worker::Worker() {
  // The thread inherits a mask that blocks all signals. The event loop handles signals; on this
  // thread they would interrupt reads.
  sigset_t all_signals;
  sigset_t previous_mask;
  sigfillset(&all_signals);
  pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
  thread_ = std::thread([this] { run(); });
  pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
}

Worker::~Worker() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    jobs_.clear();
  }
  changed_.notify_all();
  thread_.join();
}

bool Worker::submit(std::function<void()> job) {
  {
    const std::lock_guard lock(mutex_);
    if (is_stopping_ || jobs_.size() >= kMaxWaitingJobs) return false;
    jobs_.push_back(std::move(job));
  }
  changed_.notify_all();
  return true;
}

bool Worker::drain(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, timeout,
                           [this] { return is_stopping_ || (jobs_.empty() && !is_busy_); });
}

bool Worker::stop(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  is_stopping_ = true;
  jobs_.clear();
  changed_.notify_all();
  return changed_.wait_for(lock, timeout, [this] { return !is_busy_; });
}

void Worker::run() {
  // Gives priority to the event loop's thread when few cores are available. On Linux, each thread
  // has its own niceness.
  ::setpriority(PRIO_PROCESS, static_cast<id_t>(::syscall(SYS_gettid)), kThreadNiceness);
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return is_stopping_ || !jobs_.empty(); });
    if (is_stopping_) return;
    auto job = std::move(jobs_.front());
    jobs_.pop_front();
    is_busy_ = true;
    lock.unlock();
    try {
      job();
    } catch (const std::exception&) {
      // The usual cause is a lack of memory. The owner of the job tries again with its next poll.
    }
    job = nullptr;  // destroys the job's captured state before the worker counts as idle
    lock.lock();
    is_busy_ = false;
    changed_.notify_all();
  }
}

}  // namespace alderspur::file_watch

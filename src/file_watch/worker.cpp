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

constexpr int kNice = 5;

}  // namespace

Worker::Worker() {
  // Blocks all signals in the new thread: they are the loop's to handle, and would interrupt reads
  // here.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}
Worker::~Worker() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
    jobs_.clear();
  }
  changed_.notify_all();
  thread_.join();
}

bool Worker::submit(std::function<void()> job) {
  {
    const std::lock_guard lock(mutex_);
    if (ending_ || jobs_.size() >= kMaxWaitingJobs) return false;
    jobs_.push_back(std::move(job));
  }
  changed_.notify_all();
  return true;
}

void Worker::drain() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return ending_ || (jobs_.empty() && !busy_); });
}

bool Worker::stop(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  ending_ = true;
  jobs_.clear();
  changed_.notify_all();
  return changed_.wait_for(lock, timeout, [this] { return !busy_; });
}

void Worker::run() {
  // Where cores are few, what runs here must not take the loop's turn; a nice value is a thread's
  // own on Linux.
  ::setpriority(PRIO_PROCESS, static_cast<id_t>(::syscall(SYS_gettid)), kNice);
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return ending_ || !jobs_.empty(); });
    if (ending_) return;
    auto job = std::move(jobs_.front());
    jobs_.pop_front();
    busy_ = true;
    lock.unlock();
    try {
      job();
    } catch (const std::exception&) {
      // A job owes its result to nobody if there is no memory for it; the next look tries again.
    }
    job = nullptr;
    lock.lock();
    busy_ = false;
    changed_.notify_all();
  }
}

}  // namespace alderspur::file_watch

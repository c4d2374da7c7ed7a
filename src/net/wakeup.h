// Runs functions of other threads on the loop's thread.
#pragma once

#include <ev.h>

#include <functional>
#include <mutex>
#include <vector>

#include "net/loop.h"

namespace alderspur::net {

/// Must outlive all threads that post. Functions that have not run when it is destroyed never run.
class Wakeup {
 public:
  explicit Wakeup(Loop& loop);
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;
  /// From any thread. The functions run on the loop's thread, in the order of their posting, before
  /// the turn that follows.
  void post(std::function<void()> function);

 private:
  static void on_event(struct ev_loop*, ev_async* watcher, int);
  void run_posted();

  struct ev_loop* loop_;
  ev_async watcher_{};
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;  // guarded by mutex_
};

}  // namespace alderspur::net

// Lets other threads run functions on the event loop's thread.
#pragma once

#include <ev.h>

#include <functional>
#include <mutex>
#include <vector>

#include "net/loop.h"

namespace alderspur::net {

/// A queue of functions that the loop's thread runs. Must outlive all threads that call post().
/// Functions that have not run when it is destroyed are discarded.
class Wakeup {
 public:
  explicit Wakeup(Loop& loop);
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;
  /// Queues a function to run on the loop's thread. Functions run in the order in which they were
  /// posted, before the next turn. May be called on any thread.
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

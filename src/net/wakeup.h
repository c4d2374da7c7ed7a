// Lets another thread have something done on the loop's thread.
//
// post() may be called from any thread; the functions run on the loop, in the order of their
// posting, before the turn that follows. The Wakeup must outlive all posters; what is posted after
// close() is dropped.
#pragma once

#include <ev.h>

#include <functional>
#include <mutex>
#include <vector>

#include "net/loop.h"

namespace alderspur::net {

class Wakeup {
 public:
  explicit Wakeup(Loop& loop);
  ~Wakeup();
  Wakeup(const Wakeup&) = delete;
  Wakeup& operator=(const Wakeup&) = delete;
  void post(std::function<void()> then);

 private:
  static void called(struct ev_loop*, ev_async* w, int);
  struct ev_loop* loop_;
  ev_async async_{};
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;  // guarded by mutex_
};

}  // namespace alderspur::net

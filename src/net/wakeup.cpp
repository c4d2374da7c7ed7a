#include "net/wakeup.h"

#include <utility>

namespace alderspur::net {

Wakeup::Wakeup(Loop& loop) : loop_(loop.raw()) {
  ev_async_init(&watcher_, &Wakeup::on_event);
  watcher_.data = this;
  ev_async_start(loop_, &watcher_);
}
Wakeup::~Wakeup() { ev_async_stop(loop_, &watcher_); }

void Wakeup::post(std::function<void()> function) {
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(function));
  ev_async_send(loop_, &watcher_);
}

void Wakeup::on_event(struct ev_loop*, ev_async* watcher, int) {
  static_cast<Wakeup*>(watcher->data)->run_posted();
}

// The functions run without the lock, because a function may post another one, which runs at the
// next event.
void Wakeup::run_posted() {
  std::vector<std::function<void()>> functions;
  {
    const std::lock_guard lock(mutex_);
    functions.swap(posted_);
  }
  for (auto& function : functions) function();
}

}  // namespace alderspur::net

#include "net/wakeup.h"

#include <utility>

namespace alderspur::net {

Wakeup::Wakeup(Loop& loop) : loop_(loop.raw()) {
  ev_async_init(&async_, &Wakeup::called);
  async_.data = this;
  ev_async_start(loop_, &async_);
}
Wakeup::~Wakeup() { ev_async_stop(loop_, &async_); }

void Wakeup::post(std::function<void()> then) {
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(then));
  ev_async_send(loop_, &async_);
}
void Wakeup::called(struct ev_loop*, ev_async* w, int) {
  auto& self = *static_cast<Wakeup*>(w->data);
  std::vector<std::function<void()>> posted;
  {
    const std::lock_guard lock(self.mutex_);
    posted.swap(self.posted_);
  }
  for (auto& then : posted) then();
}

}  // namespace alderspur::net

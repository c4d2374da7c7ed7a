#include "admin/router_admin_handler.h"

#include <memory>
#include <utility>

#include "admin/metrics.h"
#include "core/parsing.h"

namespace alderspur::admin {
namespace {

// How long the yes to a ready process waits for the shared folder to say so to the others.
constexpr core::Time kSayTime = 500'000;

}  // namespace

RouterAdminHandler::RouterAdminHandler(core::Deadlines& deadlines, core::Engine& engine,
                                       const platform::UpstreamPool& caches,
                                       hot_restart::HotRestartCoordinator& twin,
                                       const std::vector<std::string>& classes,
                                       std::function<bool()> leaving)
    : deadlines_(deadlines),
      engine_(engine),
      caches_(caches),
      twin_(twin),
      classes_(classes),
      leaving_(std::move(leaving)),
      since_(engine.now()) {}

bool RouterAdminHandler::takes_clients() {
  if (may_be_ready_ && !may_be_ready_()) return false;
  return !leaving_() && (twin_.said() || engine_.now() > since_ + kSayTime);
}

std::string RouterAdminHandler::figures() { return admin::figures(engine_, classes_); }

void RouterAdminHandler::ban(std::string_view id, bool out, Done done) {
  const std::string name(id);
  const bool banned = core::is_plain_word(id) && twin_.banned(name);
  if (!banned && (!core::is_plain_word(id) || !caches_.is_listed(config::server_id(id))))
    return done(404, "no such cache\n");
  if (banned != out && twin_.full())
    return done(503, "too many changes wait for the disk, call again\n");
  const std::string yes = name + (out ? " is out\n" : " may serve\n");
  if (banned == out && twin_.on_disk(name)) return done(200, yes);
  struct Waiting {
    Done done;
    core::Deadlines::Key timeout;
  };
  auto waiting = std::make_shared<Waiting>(Waiting{std::move(done), {}});
  const auto end = [this, waiting, yes](const std::string& error) {
    if (!waiting->done) return;
    deadlines_.cancel(waiting->timeout);
    const auto answer = std::exchange(waiting->done, {});
    if (error.empty())
      answer(200, yes);
    else
      answer(503, "it holds in this process, but is not on the disk: " + error + "\n");
  };
  waiting->timeout =
      deadlines_.set(engine_.now() + kDiskTime, [end] { end("the disk does not answer"); });
  twin_.change({name, out}, end);
}

}  // namespace alderspur::admin

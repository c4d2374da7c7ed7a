// What operators' calls mean to a router: its state, its figures, and bans by hand.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "core/engine.h"
#include "hot_restart/coordinator.h"
#include "platform/upstream_pool.h"

namespace alderspur::admin {

class RouterAdminHandler : public AdminHandler {
 public:
  RouterAdminHandler(core::Deadlines& deadlines, core::Engine& engine,
                     const platform::UpstreamPool& caches, hot_restart::HotRestartCoordinator& twin,
                     const std::vector<std::string>& classes, std::function<bool()> leaving);

  bool takes_clients() override;
  std::string figures() override;
  std::string cluster() override { return view_ ? view_() : std::string(); }
  void on_cluster(std::function<std::string()> view) { view_ = std::move(view); }
  void on_ready(std::function<bool()> may) { may_be_ready_ = std::move(may); }
  // `what`: the rest of the path; `body`: of a PUT.
  using Versions =
      std::function<Told(std::string_view what, std::string_view query, std::string body)>;
  Told versions(std::string_view what, std::string_view query, std::string body) override {
    return versions_ ? versions_(what, query, std::move(body)) : Told{};
  }
  std::size_t body_most() override { return body_most_; }
  void on_versions(Versions versions, std::size_t body_most) {
    versions_ = std::move(versions), body_most_ = body_most;
  }
  // An unknown id gets a no; a call that changes nothing gets a yes like the first. The ban binds
  // from this turn on; the yes comes once it is on the disk. Where that takes kDiskTime or fails:
  // 503, and it binds all the same.
  void ban(std::string_view id, bool out, Done done) override;

 private:
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const platform::UpstreamPool& caches_;
  hot_restart::HotRestartCoordinator& twin_;
  const std::vector<std::string>& classes_;
  std::function<bool()> leaving_;
  std::function<std::string()> view_;
  std::function<bool()> may_be_ready_;
  Versions versions_;
  std::size_t body_most_ = 0;
  core::Time since_;
};

}  // namespace alderspur::admin

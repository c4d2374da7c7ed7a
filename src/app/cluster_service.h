// The cluster in service: the link with its log records, the view that operators ask for, and
// leaving in order.
#pragma once

#include <memory>
#include <string>

#include "app/json.h"
#include "cluster_transport/transport.h"
#include "log/log.h"
#include "platform/edge_router.h"
#include "settings/settings.h"

namespace alderspur::app {

// The view as JSON, as GET /control/cluster gives it; docs/cluster.md explains its fields.
std::string cluster_view(const cluster::Membership& membership,
                         const cluster_transport::TransportCounters& counts, core::Time now,
                         const std::function<void(Writer&)>& more = {});

class ClusterService {
 public:
  // Reads the secret and makes a new epoch. Throws config::Error with one plain line.
  ClusterService(platform::EdgeRouter& node, const settings::Cluster& settings, log::Log& log);
  std::string view() const;
  const cluster_transport::ClusterTransport& link() const { return *link_; }
  void send_frame(const std::string& to, std::string_view frame) { link_->send_frame(to, frame); }
  void on_frame(std::function<void(const std::string& from, std::string_view frame)> then) {
    frame_ = std::move(then);
  }
  // The same for what routers keep alike: frames of its own.
  void send_replica(const std::string& to, std::string_view frame);
  void on_replica(std::function<void(const std::string& from, std::string_view frame)> then) {
    replica_ = std::move(then);
  }
  void on_view(std::function<void(Writer&)> more) { more_ = std::move(more); }
  // Told at once, and at each change, who is there: alive or suspect.
  void on_members(std::function<void(const std::vector<std::string>&)> then);

 private:
  platform::EdgeRouter& node_;
  log::Log& log_;
  void tell_members();
  std::function<void(const std::string&, std::string_view)> frame_, replica_;
  std::vector<std::function<void(const std::vector<std::string>&)>> members_;
  std::function<void(Writer&)> more_;
  std::unique_ptr<cluster_transport::ClusterTransport> link_;
};

struct Asked {
  int status = 0;  // 0: nobody answers
  std::string text;
};
// One call to a running process over its operators' address.
Asked ask_operators(const std::string& address, const std::string& method,
                    const std::string& target, const std::string& body = {});
// Prints the members, or the JSON as it came.
int cluster_members(const std::string& address, bool json);

}  // namespace alderspur::app

// Runs this router's membership of its cluster: starts the transport, passes frames and changes of
// the members on to the services that use them, logs them, and renders the view for operators.
// On the loop's thread only.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster_transport/transport.h"
#include "edge_router/edge_router.h"
#include "json/writer.h"
#include "log/log.h"
#include "settings/settings.h"

namespace alderspur::control {

/// Adds members to the JSON object of a view.
using ViewExtension = std::function<void(json::Writer&)>;

/// The view as JSON, as GET /control/cluster returns it. `now`: microseconds of the engine's clock.
/// docs/cluster.md explains its fields.
std::string cluster_view(const cluster::Membership& membership,
                         const cluster_transport::TransportCounters& counters, core::Time now,
                         const ViewExtension& extension = {});

class ClusterService {
 public:
  /// Receives a frame of the member `from`; the bytes are valid during the call only.
  using FrameHandler = std::function<void(const std::string& from, std::string_view frame)>;
  /// Receives the names of all members that are alive or suspect, without this one.
  using MembersHandler = std::function<void(const std::vector<std::string>& names)>;

  /// Reads the secret, begins a new epoch and joins the cluster. Throws config::Error with the
  /// reason in one line. `router` and `log` must outlive the service.
  ClusterService(edge_router::EdgeRouter& router, const settings::Cluster& settings, log::Log& log);

  /// The view as JSON, with what the services add to it.
  std::string view() const;

  const cluster_transport::ClusterTransport& link() const { return *transport_; }

  /// Sends a frame of the consensus on versions. It may be lost: there is no error.
  void send_frame(const std::string& to, std::string_view frame) {
    transport_->send_frame(to, frame);
  }

  /// Sets the handler of the consensus's frames.
  void on_frame(FrameHandler handler) { consensus_handler_ = std::move(handler); }

  /// Sends a frame of the replication of bans and purges. It may be lost: there is no error.
  void send_replica(const std::string& to, std::string_view frame);

  /// Sets the handler of the replication's frames.
  void on_replica(FrameHandler handler) { replication_handler_ = std::move(handler); }

  /// Sets what adds members to the view.
  void on_view(ViewExtension extension) { view_extension_ = std::move(extension); }

  /// Calls the handler now, and at each change, with the members that are alive or suspect.
  void on_members(MembersHandler handler);

 private:
  cluster_transport::ClusterTransport::Hooks transport_hooks();
  void create_transport(const settings::Cluster& settings, std::string secret,
                        const cluster::Identity& self);
  void handle_frame(const std::string& from, std::string_view frame);
  void handle_member_change(const cluster::MemberChanged& change);
  void notify_members();

  edge_router::EdgeRouter& router_;
  log::Log& log_;
  FrameHandler consensus_handler_;
  FrameHandler replication_handler_;
  std::vector<MembersHandler> members_handlers_;
  ViewExtension view_extension_;
  std::unique_ptr<cluster_transport::ClusterTransport> transport_;
};

}  // namespace alderspur::control

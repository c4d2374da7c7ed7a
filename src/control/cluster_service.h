// The membership of this router in its cluster: starts the cluster transport, dispatches received
// frames and membership changes to the services that registered a handler, logs membership changes,
// and renders the cluster view for operators.
//
// Threads: everything runs on the event loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster_transport/transport.h"
#include "edge_router/edge_router.h"
#include "json/writer.h"
#include "log/log.h"
#include "settings/settings.h"

namespace alderspur::control {

/// Writes additional members into the JSON object of the cluster view.
using ViewExtension = std::function<void(json::Writer&)>;

/// Returns the cluster view as JSON, which is the response to GET /control/cluster. `now` is the
/// time of the engine's clock in microseconds. docs/cluster.md describes the fields.
std::string cluster_view(const cluster::Membership& membership,
                         const cluster_transport::TransportCounters& counters, core::Time now,
                         const ViewExtension& extension = {});

/// Connects this router to the other members of its cluster. The consensus service and the
/// replication service send and receive their frames through this class.
class ClusterService {
 public:
  /// Handles a frame received from the member `from`. The bytes are valid during the call only.
  using FrameHandler = std::function<void(const std::string& from, std::string_view frame)>;
  /// Receives the names of all other members that are alive or suspect.
  using MembersHandler = std::function<void(const std::vector<std::string>& names)>;

  /// Reads the cluster secret, starts a new epoch and joins the cluster. Throws config::Error with
  /// a one-line message on failure. `router` and `log` must outlive this object.
  ClusterService(edge_router::EdgeRouter& router, const settings::Cluster& settings, log::Log& log);

  /// Returns the cluster view as JSON, including the members that the view extension writes.
  std::string view() const;

  /// Returns the transport, which provides the membership and the address of this member.
  const cluster_transport::ClusterTransport& transport() const { return *transport_; }

  /// Returns the epoch of this router's previous start; nothing if it is not known.
  std::optional<std::uint64_t> previous_epoch() const { return previous_epoch_; }

  /// Sends a consensus frame to the member `to`. Delivery is not guaranteed, and a loss is not
  /// reported.
  void send_consensus_frame(const std::string& to, std::string_view frame) {
    transport_->send_frame(to, frame);
  }

  /// Sets the handler of received consensus frames.
  void on_consensus_frame(FrameHandler handler) { consensus_handler_ = std::move(handler); }

  /// Sends a frame that replicates bans and purges to the member `to`. Delivery is not guaranteed,
  /// and a loss is not reported.
  void send_replication_frame(const std::string& to, std::string_view frame);

  /// Sets the handler of received replication frames.
  void on_replication_frame(FrameHandler handler) { replication_handler_ = std::move(handler); }

  /// Sets the function that writes additional members into the cluster view.
  void set_view_extension(ViewExtension extension) { view_extension_ = std::move(extension); }

  /// Adds a handler. It is called immediately with the current members, and again after each
  /// membership change.
  void on_members_changed(MembersHandler handler);

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
  std::optional<std::uint64_t> previous_epoch_;
  std::unique_ptr<cluster_transport::ClusterTransport> transport_;
};

}  // namespace alderspur::control

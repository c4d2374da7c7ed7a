// The server side of the platform's client protocol: accepts connections, decodes MessagePack-RPC
// calls and sends their responses. It limits connections, open calls and memory, and drains its
// clients before a graceful shutdown or a handoff to a successor process. Used on the event loop's
// thread only. Times are in microseconds.
//
// Source files: rpc_front.cpp (connections, calls, responses), rpc_front_limits.cpp (timeouts and
// limits), rpc_front_drain.cpp (graceful shutdown, handoff).
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "core/response_size.h"
#include "net/connection.h"
#include "net/listener.h"
#include "rpc_front/rpc_codec.h"

namespace alderspur::rpc_front {

/// Accepts clients, passes their calls to the engine and sends the engine's responses to them.
class RpcFront : public core::Front {
 public:
  /// Starts to listen immediately. Throws std::runtime_error if the address cannot be bound. All
  /// arguments passed by reference must outlive this object.
  RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
           const sockaddr_in& listen_address, const config::Config& config);
  ~RpcFront() override;

  /// Sends the final response of a request to its client. Does nothing if the call was cancelled or
  /// the connection is closed.
  void respond(core::RequestHandle request, const core::Response& response) override;
  /// Must be called at the end of each turn of the event loop. Releases the input that was consumed
  /// in the turn and destroys the clients that were closed in it.
  void end_turn();

  /// Hands the clients over to a successor process that listens on the same address and accepts new
  /// clients. Closes the clients of this process so that they reconnect to the successor: idle
  /// clients at once, active clients when few of their calls are open, and all of them by
  /// `drain_by`.
  void start_handoff(core::Time drain_by);
  /// Accepts clients again, because the successor has ended before the handoff was complete.
  void cancel_handoff();
  /// Starts a graceful shutdown, with or without a successor. Accepts the connections in the queue
  /// of the listening socket and then stops listening, rejects new calls, and closes each client by
  /// a lingering close once all of its responses have been sent.
  void drain();
  /// Ends the drain because its time is over: stops listening and sends a final response to every
  /// open call in this turn.
  void finish_all_now();
  /// Closes all remaining connections immediately and discards unsent responses.
  void close_all();
  /// Returns whether the listening socket and all connections, lingering ones too, are closed.
  bool is_drained() const;

  /// Sets the number of processes that share the limits on descriptors and memory, at least 1. May
  /// close idle clients to meet the new limit.
  void set_process_count(std::uint32_t processes);
  /// Returns whether no call is open and all responses have been written to their sockets.
  bool is_idle() const;
  /// Returns the bytes that the memory limits count: bodies of requests, responses that are
  /// expected or were not sent yet, and incomplete messages.
  std::size_t limited_bytes() const;
  /// Returns the listening address. Port 0 is replaced by the port that the kernel assigned.
  sockaddr_in address() const { return address_; }

 private:
  struct Client;
  /// A request class: its index in the settings and its validation rules.
  struct RequestClass {
    std::uint32_t id = 0;
    RequestRules rules;
  };
  /// The client and the call that the response to an admitted request belongs to.
  struct OpenCall {
    Client* client = nullptr;
    std::uint64_t call_id = 0;
    std::uint32_t class_id = 0;
    std::size_t expected_bytes = 0;  // of the response; counted in expected_bytes_
  };
  /// `lingering` sends the queued responses first; `immediate` discards them.
  enum class CloseMode { lingering, immediate };

  // Connections, calls and responses.
  void listen(const sockaddr_in& address);
  void accept(net::Fd fd);
  std::ptrdiff_t on_data(Client& client, std::string_view bytes);
  bool on_call(Client& client, const Call& call);
  void on_cancellation(Client& client, std::uint64_t call_id);
  void on_request(Client& client, const Call& call);
  void expect_response(Client& client, core::Time time_limit);
  void reject_disconnected(Client& client, const Call& call, bool may_retry);
  bool may_client_retry(const RequestClass& request_class, const core::RequestView& view) const;
  void reject_invalid(Client& client, const Call& call, std::uint32_t class_id);
  void reject(Client& client, std::uint64_t call_id, std::uint32_t class_id, bool may_retry);
  OpenCall end_call(core::RequestHandle request);
  void reply(Client& client, std::uint64_t call_id, const core::Response& response);
  void on_closed(Client& client, net::CloseReason reason);
  void close(Client& client, CloseMode mode);
  bool has_received_most(const Client& client) const;
  bool has_ended(const Client& client) const;
  void mark_changed(Client& client);
  void remove(Client& client);

  // Timeouts and limits.
  bool may_accept();
  bool close_idlest_client();
  bool has_capacity_for_call(const Client& client, std::size_t expected_bytes) const;
  bool has_memory_for_response(const core::Response& response) const;
  void update_byte_counts(Client& client);
  void close_slow_readers(const Client& last_written);
  void discard_oldest_partial_messages();
  void check_all_clients();
  void check_client(Client& client, core::Time now);
  void record_delivery(Client& client, core::Time now);
  bool is_overdue(const Client& client, core::Time now) const;
  bool is_silent(const Client& client, core::Time now) const;
  std::size_t admission_limit() const;
  std::size_t response_limit() const;
  std::size_t queued_bytes_limit() const;
  std::size_t unread_bytes_limit() const;

  // Graceful shutdown and handoff.
  void start_drain_checks();
  void check_drain();
  void check_client_drain(Client& client, core::Time now);
  bool may_close_now(const Client& client) const;
  void finish_now(Client& client);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const config::Config& config_;
  std::unordered_map<std::string, RequestClass> classes_;
  core::ResponseSizeEstimator response_sizes_;
  std::size_t max_clients_;
  std::size_t memory_limit_;
  core::Time message_timeout_;  // for a whole message, even one that arrives steadily
  std::vector<std::unique_ptr<Client>> clients_;  // in no particular order
  std::vector<Client*> changed_clients_;  // changed in this turn, each listed once; for end_turn()
  std::size_t client_count_ = 0;          // clients that are not closed
  std::size_t queued_bytes_ = 0;          // bytes of responses that were not sent yet
  std::size_t expected_bytes_ = 0;        // bytes of the responses to open calls
  std::size_t granted_bytes_ = 0;         // of admitted requests when the memory limit was lowered
  std::size_t unread_bytes_ = 0;          // bytes of incomplete messages
  std::unordered_map<core::RequestHandle, OpenCall> open_calls_;
  bool is_handing_off_ = false;
  bool is_draining_ = false;
  bool checks_drain_ = false;  // check_drain() is scheduled
  core::Time handoff_started_at_ = 0;
  core::Time drain_by_ = 0;
  sockaddr_in address_{};
  std::unique_ptr<net::Listener> listener_;  // null: no more clients are accepted
};

}  // namespace alderspur::rpc_front

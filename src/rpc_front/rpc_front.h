// The server side of the platform's client protocol: connections, MessagePack-RPC calls and their
// responses. It bounds connections, open calls and memory, and drains its clients before a graceful
// shutdown or a handoff to a successor process. The loop's thread only; times are microseconds.
//
// Its sources: rpc_front.cpp (connections, calls, responses), rpc_front_limits.cpp (timeouts and
// bounds), rpc_front_drain.cpp (graceful shutdown, handoff).
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "net/connection.h"
#include "net/listener.h"
#include "rpc_front/rpc_codec.h"

namespace alderspur::rpc_front {

/// Accepts clients, admits their calls to the engine and sends its responses back.
class RpcFront : public core::Front {
 public:
  /// Listens at once. Throws std::runtime_error if the address cannot be bound. What is passed by
  /// reference must outlive the front.
  RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
           const sockaddr_in& listen_address, const config::Config& config);
  ~RpcFront() override;

  void respond(core::RequestHandle request, const core::Response& response) override;
  /// To be called at the end of each turn of the loop: releases the read buffers and the clients
  /// that were closed in it.
  void end_turn();

  /// A successor process accepts new clients on the same address. The clients of this process are
  /// closed, so that they connect to the successor: idle ones at once, the others when few of their
  /// calls are open, and all of them by `drain_by`.
  void start_handoff(core::Time drain_by);
  /// The successor has ended: this process accepts clients again.
  void cancel_handoff();
  /// Starts a graceful shutdown, with a successor or without. No client is accepted once the queue
  /// of the listening socket is empty, new calls are rejected at once, and each client is closed,
  /// by a lingering close, once it has its responses.
  void drain();
  /// The time to drain is over: every open call gets its final response in this turn.
  void finish_all_now();
  /// Closes all remaining connections, whether their responses have been sent or not.
  void close_all();
  /// Whether no connection is left after drain().
  bool is_drained() const;

  /// Sets the number of processes that share the limits on descriptors and memory; at least 1.
  void set_process_count(std::uint32_t processes);
  /// Whether no call is open and all responses have been written.
  bool is_idle() const;
  /// The address that the front listens on, with the port that the kernel chose for port 0.
  sockaddr_in address() const { return address_; }

 private:
  struct Client;
  /// A class of requests, by its number in the settings.
  struct RequestClass {
    std::uint32_t id = 0;
    RequestRules rules;
  };
  /// The call that an admitted request answers.
  struct OpenCall {
    Client* client = nullptr;
    std::uint64_t call_id = 0;
  };
  enum class CloseMode { lingering, immediate };

  // Connections, calls and responses.
  void listen(const sockaddr_in& address);
  void accept(net::Fd fd);
  std::ptrdiff_t on_data(Client& client, std::string_view bytes);
  bool on_call(Client& client, const Call& call);
  void on_cancellation(Client& client, std::uint64_t call_id);
  void on_request(Client& client, const Call& call);
  void reject_invalid(Client& client, const Call& call, std::uint32_t class_id);
  void reject(Client& client, std::uint64_t call_id, std::uint32_t class_id, bool may_retry);
  void reply(Client& client, std::uint64_t call_id, const core::Response& response);
  void on_closed(Client& client, net::CloseReason reason);
  void close(Client& client, CloseMode mode);
  void mark_changed(Client& client);
  void remove(Client& client);

  // Timeouts and bounds.
  bool may_accept();
  bool close_idlest_client();
  bool has_capacity_for_call(const Client& client) const;
  void update_byte_counts(Client& client);
  void close_slow_readers(const Client& last_written);
  void close_oldest_partial_messages();
  void check_all_clients();
  void check_client(Client& client, core::Time now);
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
  std::size_t max_clients_;
  std::size_t memory_limit_;
  core::Time message_timeout_;  // for all of a message, however steadily it arrives
  std::vector<std::unique_ptr<Client>> clients_;  // in no order
  std::vector<Client*> changed_clients_;          // in this turn, each once: end_turn() visits them
  std::size_t client_count_ = 0;                  // without closed ones
  std::size_t queued_bytes_ = 0;                  // of responses that were not sent yet
  std::size_t unread_bytes_ = 0;                  // of incomplete messages
  std::unordered_map<core::RequestHandle, OpenCall> open_calls_;
  bool is_handing_off_ = false;
  bool is_draining_ = false;
  bool checks_drain_ = false;  // check_drain() runs at intervals
  core::Time handoff_started_at_ = 0;
  core::Time drain_by_ = 0;
  sockaddr_in address_{};
  std::unique_ptr<net::Listener> listener_;  // null: no client is accepted any more
};

}  // namespace alderspur::rpc_front

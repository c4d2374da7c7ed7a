// The front for the platform's clients: their connections, MessagePack-RPC calls and responses. It
// bounds connections, open calls and memory, and drains its clients before a planned end or a
// handoff to a successor. The loop's thread only; times are microseconds.
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

class RpcFront : public core::Front {
 public:
  /// Throws std::runtime_error if the address is not to be had.
  RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
           const sockaddr_in& listen_address, const config::Config& config);
  ~RpcFront() override;

  void respond(core::RequestHandle request, const core::Response& response) override;
  /// Frees what was read in this turn and the clients that were closed in it.
  void end_turn();

  /// Another process takes new clients on the same address. Ours are closed, so that they connect
  /// to it: the idle ones at once, the others when few of their calls are open, and all of them by
  /// `drain_by`.
  void start_handoff(core::Time drain_by);
  /// The successor is gone: clients are accepted here again.
  void cancel_handoff();
  /// This process ends, with a successor or without. Nobody is accepted once the queue of the
  /// listening socket is empty, new calls are refused at once, and each client is closed, by a
  /// lingering close, once it has its responses.
  void drain();
  /// The time to drain is over: what is open gets its final response in this turn.
  void finish_all_now();
  /// Closes what is still there, whether it has its responses or not.
  void close_all();
  /// After drain(): no connection is left.
  bool is_drained() const;

  /// So many processes share the limits on descriptors and memory.
  void set_process_count(std::uint32_t processes);
  /// No call is open, and all responses have been written.
  bool is_idle() const;
  sockaddr_in address() const { return address_; }

 private:
  struct Client;
  struct RequestClass {
    std::uint32_t id = 0;
    RequestRules rules;
  };
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
  void on_notification(Client& client, const Call& call);
  void on_request(Client& client, const Call& call);
  void reject_invalid(Client& client, const Call& call, std::uint32_t class_id);
  void refuse(Client& client, std::uint64_t call_id, std::uint32_t class_id, bool may_retry);
  void reply(Client& client, std::uint64_t call_id, const core::Response& response);
  void on_closed(Client& client, net::Closed reason);
  void close(Client& client, CloseMode mode);
  void touch(Client& client);
  void remove(Client& client);

  // Timeouts and bounds.
  bool may_accept();
  bool close_idlest_client();
  bool has_room_for_call(const Client& client) const;
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
  core::Time message_timeout_;                    // for half a message, however steadily it comes
  std::vector<std::unique_ptr<Client>> clients_;  // in no order
  std::vector<Client*> touched_;                  // to be looked at when the turn ends, each once
  std::size_t client_count_ = 0;                  // without those that are closed
  std::size_t queued_bytes_ = 0;                  // of responses that clients have not taken yet
  std::size_t unread_bytes_ = 0;                  // of half messages
  std::unordered_map<core::RequestHandle, OpenCall> open_calls_;
  bool is_handing_off_ = false;
  bool is_draining_ = false;
  bool checks_drain_ = false;  // check_drain() runs at intervals
  core::Time handoff_started_at_ = 0;
  core::Time drain_by_ = 0;
  sockaddr_in address_{};
  std::unique_ptr<net::Listener> listener_;  // null: nobody is accepted any more
};

}  // namespace alderspur::rpc_front

// The platform's front: clients' connections, their calls and answers.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/engine.h"
#include "net/connection.h"

namespace platform {

struct Call;

class RpcFront : public core::Front {
 public:
  RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine, const sockaddr_in& listen,
           const std::vector<std::string>& classes, std::size_t most_clients, std::size_t memory);
  ~RpcFront() override;

  void answer(core::Ticket ticket, const core::Answer& answer) override;
  void end_turn();
  void stop_listening();
  bool idle() const;  // nothing asked is unanswered, nothing answered unwritten
  sockaddr_in address() const { return listener_.address(); }

 private:
  struct Client;
  void accept(net::Fd fd);
  std::ptrdiff_t take(Client& client, std::string_view bytes);
  bool call(Client& client, const Call& call);
  void reply(Client& client, std::uint64_t id, const core::Answer& answer);
  void lost(Client& client, bool half);
  void drop(Client& client);

  net::Loop& loop_;
  core::Engine& engine_;
  std::unordered_map<std::string, std::uint32_t> classes_;
  std::size_t most_clients_, memory_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::unordered_map<core::Ticket, std::pair<Client*, std::uint64_t>> asked_;
  net::Listener listener_;
};

}  // namespace platform

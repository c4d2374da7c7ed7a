// The platform's front: clients' connections, their calls and answers.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "net/connection.h"
#include "platform/rpc_codec.h"

namespace alderspur::platform {

class RpcFront : public core::Front {
 public:
  RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
           const sockaddr_in& listen, const config::Config& config);
  ~RpcFront() override;

  void respond(core::RequestHandle ticket, const core::Response& answer) override;
  void end_turn();
  // Another process takes new clients on the same address: ours are sent there, the idle ones by a
  // close, the others once they have their answers. take_back(): it has gone, clients are ours
  // again. Ours end by `leave_by`, whatever they ask for.
  void hand_over(core::Time leave_by);
  void take_back();
  // We end, whoever comes after us or not. Nobody is taken any more, what is asked from now on is
  // refused at once, and each client goes, by a lingering close, once it has its answers.
  void leave();
  void end();         // our time is over: what is open is given up, and answered in this turn
  void cut();         // whatever is still there is cut off
  bool gone() const;  // after leave(): no connection is left
  // So many processes have the limits on descriptors and memory together.
  void share(std::uint32_t processes);
  bool idle() const;  // nothing asked is unanswered, nothing answered unwritten
  sockaddr_in address() const { return address_; }

 private:
  struct Client;
  void accept(net::Fd fd);
  std::ptrdiff_t take(Client& client, std::string_view bytes);
  bool call(Client& client, const Call& call);
  void reply(Client& client, std::uint64_t id, const core::Response& answer);
  void refuse(Client& client, std::uint64_t id, std::uint32_t cls, bool harmless = true);
  void lost(Client& client, net::Closed why);
  void let_go(Client& client, bool orderly);
  void touch(Client& client);
  void bury(Client& client);
  bool may_accept();
  bool make_room();
  void count(Client& client);
  void watch();
  bool may_part(const Client& client) const;
  void part();
  void see_off(Client& client);
  void listen(const sockaddr_in& at);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const config::Config& config_;
  std::unordered_map<std::string, std::pair<std::uint32_t, ClassForm>> classes_;
  std::size_t most_clients_, memory_;
  core::Time longest_;                            // that any client waits
  std::vector<std::unique_ptr<Client>> clients_;  // in no order; each knows its place
  std::vector<Client*> touched_;                  // of this turn, each once
  std::size_t live_ = 0, queued_ = 0,
              unread_ = 0;  // clients; bytes answered and not yet taken; of half messages
  std::unordered_map<core::RequestHandle, std::pair<Client*, std::uint64_t>> asked_;
  bool parting_ = false, leaving_ = false, parts_ = false;  // parts_: part() is under way
  core::Time parting_since_ = 0, leave_by_ = 0;
  sockaddr_in address_{};
  std::unique_ptr<net::Listener> listener_;  // null once handed over
};

}  // namespace alderspur::platform

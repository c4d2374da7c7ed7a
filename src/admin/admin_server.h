// Where operators call: HTTP/1.1, one call a connection, on an address of its own. Thin: what a
// call means is done by the Desk that stands behind it.
//
// Bounded: kCallersMost connections, each with a head of 2 KB, a body where the desk takes one, and
// kCallTime to complete its call; out of places, whoever has waited longest without a whole call
// goes. Calls are answered in the turn in which they arrive, whatever else the loop has to do; only
// a ban waits for its place on the disk, kDiskTime at most.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"
#include "http/message.h"
#include "net/connection.h"
#include "net/listener.h"

namespace alderspur::admin {

constexpr std::size_t kCallersMost = 16;
constexpr core::Time kCallTime = 3'000'000, kDiskTime = 700'000;  // a caller waits 1 s

// What stands behind the calls.
class AdminHandler {
 public:
  using Done = std::function<void(int status, std::string text)>;  // once, perhaps later
  virtual ~AdminHandler() = default;
  virtual bool takes_clients() = 0;
  virtual std::string figures() = 0;
  virtual std::string cluster() { return {}; }  // JSON; empty: there is none
  // Of versions that routers agree on: a view, and a proposal or the word on one. Status 0: there
  // are none.
  struct Told {
    int status = 0;
    std::string text;
  };
  virtual Told versions(std::string_view, std::string_view, std::string) { return {}; }
  virtual std::size_t body_most() { return 0; }
  virtual void ban(std::string_view id, bool out, Done done) = 0;
};

class AdminServer {
 public:
  AdminServer(net::Loop& loop, core::Deadlines& deadlines, const sockaddr_in& listen,
              AdminHandler& desk, std::function<core::Time()> now);
  ~AdminServer();
  void end_turn();
  sockaddr_in address() const { return listener_.address(); }

 private:
  struct Caller;
  void accept(net::Fd fd);
  bool make_room();
  std::ptrdiff_t take(Caller& caller, std::string_view bytes);
  void call(Caller& caller, const http::Request& request);
  void respond(Caller& caller, int status, std::string_view text, std::string_view allow = {});
  void drop(Caller& caller, bool orderly = false);
  Caller* find(std::uint64_t number);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  AdminHandler& desk_;
  std::function<core::Time()> now_;
  std::uint64_t last_ = 0;
  std::vector<std::unique_ptr<Caller>> callers_;  // kCallersMost at most, beside those just dropped
  net::Listener listener_;
};

}  // namespace alderspur::admin

#include "platform/rpc_front.h"

#include <algorithm>
#include <tuple>

#include "net/lingering.h"
#include "platform/rpc_codec.h"

namespace alderspur::platform {
namespace {

// Answers that a client has not taken: beyond kQueueFull it is refused more, beyond kQueueMost it
// is cut off (32 open requests of 240,000 bytes fit). Danger: to stop reading instead would hide
// its cancels and its end.
constexpr std::size_t kQueueFull = 2 << 20, kQueueMost = 12 << 20;
constexpr std::size_t kOpenMost = 32;  // on one connection, as the platform has it
// Parts of the memory limit: bodies and answers held for clients, and their half-read messages. A
// buffer may be twice as large as what is in it.
constexpr std::size_t kHeldPart = 4, kUnreadPart = 16;
constexpr core::Time kRetryAfter = 500'000;  // advice to clients that ask for more than they may
// A client that says nothing, or not all of it, is owed an end. Those of the platform close after 4
// s idle.
constexpr core::Time kWatch = 200'000, kWord = 2'000'000, kIdle = 5'000'000, kUntaken = 5'000'000;
constexpr core::Time kMessage =
    5'000'000;  // for the whole of a message where no time limit is told
// Under pressure idle clients give way, but not before what they may just be sending can arrive.
constexpr core::Time kNew = 150'000, kFresh = 250'000;
// Who has waited for a place for longer, and has ended its side, is gone.
constexpr core::Time kGone = 100'000;
// Where another process takes over: until handshakes under way are over; how often busy clients are
// looked at.
constexpr core::Time kSteered = 100'000, kPartEvery = 10'000;
constexpr std::size_t kOwnFds = 28;  // of one process, beside clients and servers
constexpr std::size_t kLate =
    8;  // places for those who are only told that we leave, beside busy ones

}  // namespace

struct RpcFront::Client {
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::uint64_t, core::RequestHandle> open;
  bool dead = false, ending = false;
  bool orderly = false;                // dead, and its connection is closed in order
  bool waited = false;                 // perhaps, outside, for so long that it may have left
  bool asked = false, usable = false;  // a whole message, a request that could be taken
  core::Time since = 0, begun = 0;     // accepted; half a message has been here since, 0: none
  core::Time idle = 0;                 // since when nothing is open
  core::Time taken_at = 0;             // when it last took bytes of those that wait for it
  std::uint64_t taken = 0;
  std::size_t queued = 0, unread = 0;  // as counted for all clients
  std::size_t place = 0;               // in clients_
  std::size_t least_open = kOpenMost;  // seen since another process takes over
  bool touched = false;
};

RpcFront::RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                   const sockaddr_in& listen, const config::Config& config)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      config_(config),
      most_clients_(static_cast<std::size_t>(config.sockets) / 2),
      memory_(config.memory_mb << 20),
      longest_(kWord) {
  for (std::size_t i = 0; i < config.names.classes.size(); ++i) {
    const auto& c = config.settings.classes[i];
    const bool keyed = c.idempotency == alderspur::Idempotency::idempotent_with_key;
    const ClassForm form{keyed, c.never_cached, c.may_repeat_anywhere(), config.names.give_up[i]};
    longest_ = std::max(longest_, form.longest > 0 ? form.longest : kMessage);
    classes_[config.names.classes[i]] = {static_cast<std::uint32_t>(i), form};
  }
  watch();
  this->listen(listen);
}
RpcFront::~RpcFront() = default;

void RpcFront::listen(const sockaddr_in& at) {
  listener_ = std::make_unique<net::Listener>(
      loop_, deadlines_, at, [this] { return may_accept(); },
      [this](net::Fd fd) { accept(std::move(fd)); }, true);
  address_ = listener_->address();
}

void RpcFront::accept(net::Fd fd) {
  auto client = std::make_unique<Client>();
  Client* raw = client.get();
  raw->since = raw->idle = engine_.now();
  raw->waited = listener_ && listener_->waited() > kGone;
  net::Connection::Handler handler;
  handler.half_close = true;
  handler.on_data = [this, raw](std::string_view bytes) { return take(*raw, bytes); };
  handler.on_written = [this, raw] { touch(*raw); };
  handler.on_close = [this, raw](net::Closed why) { lost(*raw, why); };
  raw->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  raw->place = clients_.size();
  clients_.push_back(std::move(client));
  ++live_;
}

// Connections that are being closed hold descriptors as well; they give way first.
bool RpcFront::may_accept() {
  return loop_.lingering().fit(live_, most_clients_ + (leaving_ ? kLate : 0)) || make_room();
}

// Danger: connections that say nothing, or have asked once and stay for good, keep the others
// waiting outside. Who only asked for the status, or for what nobody can use, has its answer and
// goes first, at once; then those that never asked; then the longest idle.
bool RpcFront::make_room() {
  const core::Time now = engine_.now();
  Client* best = nullptr;
  for (auto& c : clients_) {
    if (c->dead || !c->open.empty() || c->queued > 0) continue;
    if (now < c->idle + (c->usable ? kFresh : c->asked ? 0 : kNew)) continue;
    const auto rank = [](const Client& x) { return std::tuple(x.usable, !x.asked, x.idle); };
    if ((!best || rank(*c) < rank(*best)) && !c->connection->arrived()) best = c.get();
  }
  if (!best) {
    ++engine_.counters().deferred_accepts;
    engine_.log_invalid_input(core::InvalidInput::connections);
    return false;
  }
  ++engine_.counters().idle_clients;
  let_go(*best,
         false);  // its descriptor is wanted now; with nothing unread the close takes nothing along
  return true;
}

void RpcFront::count(Client& client) {
  const auto& c = *client.connection;
  const std::size_t queued = client.dead ? 0 : c.unwritten(), unread = client.dead ? 0 : c.unread();
  queued_ += queued - std::exchange(client.queued, queued);
  unread_ += unread - std::exchange(client.unread, unread);
}

void RpcFront::watch() {
  const core::Time now = engine_.now();
  deadlines_.set(now + kWatch, [this] { watch(); });
  for (auto& c : clients_) {
    if (c->dead) continue;
    const auto taken = c->connection->written_total();
    if (c->queued == 0 || taken != c->taken) c->taken = taken, c->taken_at = now;
    // A message may be long and the way slow: as long as some of it comes it has the time of a
    // request.
    const core::Time word = std::max(c->since, c->connection->last_read_at());
    const bool half = c->begun && (now > word + kWord || now > c->begun + longest_);
    const bool silent = half || (!c->asked && !c->begun && now > c->since + kWord);
    const bool idle = c->open.empty() && c->queued == 0 && now > c->idle + kIdle;
    const bool untaken = now > c->taken_at + kUntaken;
    if (!silent && !idle && !untaken) continue;
    auto& n = engine_.counters();
    ++(silent ? n.silent_clients : idle ? n.idle_clients : n.slow_readers);
    let_go(*c, !untaken);
  }
}

// Danger: a walk over all clients in every turn makes each request pay for thousands of idle
// connections. Who was read, written to or dropped is on the list; nobody else can need anything at
// the turn's end.
void RpcFront::touch(Client& client) {
  if (std::exchange(client.touched, true)) return;
  touched_.push_back(&client);
}
void RpcFront::bury(Client& client) {
  const std::size_t place = client.place;
  std::swap(clients_[place], clients_.back());
  clients_[place]->place = place;
  clients_.pop_back();
}

std::ptrdiff_t RpcFront::take(Client& client, std::string_view bytes) {
  touch(client);
  // Danger: its request would be sent on for nobody. Its end is here though its words are read
  // first.
  if (std::exchange(client.waited, false) && client.connection->peer_ended()) {
    let_go(client, false);
    return static_cast<std::ptrdiff_t>(bytes.size());
  }
  const auto before = bytes.size();
  bool whole = false;
  while (!client.dead) {
    Call c;
    std::string_view rest = bytes;
    const auto parsed = next_call(rest, c);
    if (parsed == Parsed::partial) break;
    if (parsed == Parsed::unreadable || !call(client, c)) {
      ++engine_.counters().invalid_frames;
      engine_.log_invalid_input(core::InvalidInput::frame);
      return -1;
    }
    bytes = rest;
    whole = client.asked = true;
  }
  if (bytes.empty()) {
    client.begun = 0;
  } else if (whole || !client.begun) {
    client.begun = engine_.now();
  }
  return static_cast<std::ptrdiff_t>(before - bytes.size());
}

bool RpcFront::call(Client& client, const Call& c) {
  if (c.notification) {
    if (c.method != "withdraw" || !c.well_formed) return true;  // nothing can be answered to it
    const auto it = client.open.find(c.id);
    if (it == client.open.end()) return true;  // the answer crossed it
    engine_.cancel_request(it->second);
    asked_.erase(it->second);
    client.open.erase(it);
    client.idle = engine_.now();
    return true;
  }
  // A number that is still open makes every answer under it ambiguous.
  if (client.open.contains(c.id)) return false;
  if (c.method == "status") {
    client.connection->write(encode_status(c.id));
    return true;
  }
  core::RequestView demand;
  const auto found = classes_.find(std::string(c.method));
  if (found == classes_.end() || !to_request_view(c, found->second.second, demand) ||
      engine_.conflicts_with_open_request(demand)) {
    ++engine_.counters().invalid_requests;
    engine_.log_invalid_input(core::InvalidInput::request);
    engine_.count_rejected(found == classes_.end() ? core::kNoClass : found->second.first,
                           core::FinalStatus::failed);
    reply(client, c.id, {core::FinalStatus::failed, false, 0, {}, {}, false});
    return true;
  }
  // Danger: under this id a request is still open, or being called off; another attempt would be
  // the second beside what is out of it. That one may have run.
  const bool again = engine_.is_open(demand.id);
  // Bounds of this process, not of the service: nothing ran, so trying again is harmless.
  // So is what comes too late for us to finish.
  if (!again &&
      (leaving_ || client.ending || client.queued > kQueueFull || client.open.size() >= kOpenMost ||
       engine_.open_request_bytes() + queued_ > memory_ / kHeldPart)) {
    refuse(client, c.id, found->second.first);
    return true;
  }
  if (again) {
    refuse(client, c.id, found->second.first, found->second.second.harmless);
    return true;
  }
  demand.class_id = found->second.first;
  const core::RequestHandle ticket = engine_.admit(*this, demand);
  client.open[c.id] = ticket;
  client.usable = true;
  asked_[ticket] = {&client, c.id};
  return true;
}

// Not harmless: it may have run all the same, so the client is not told that it can try again.
void RpcFront::refuse(Client& client, std::uint64_t id, std::uint32_t cls, bool harmless) {
  const auto& s = config_.settings;
  const core::Time later =
      harmless && s.sends_retry_after ? std::min(kRetryAfter, s.max_retry_after) : 0;
  const auto verdict = harmless ? core::FinalStatus::rejected : core::FinalStatus::failed;
  ++engine_.counters().over_limit;
  engine_.count_rejected(cls, verdict);
  reply(client, id, {verdict, false, later, {}, {}, false});
}

void RpcFront::respond(core::RequestHandle ticket, const core::Response& answer) {
  const auto it = asked_.find(ticket);
  if (it == asked_.end()) return;  // withdrawn, or its connection is gone
  const auto [client, id] = it->second;
  asked_.erase(it);
  client->open.erase(id);
  client->idle = engine_.now();
  reply(*client, id, answer);
}

// Danger: readers that are slow, or many, would take the memory of all others.
void RpcFront::reply(Client& client, std::uint64_t id, const core::Response& answer) {
  if (client.dead) return;
  const auto encoded = encode_answer(id, answer);
  client.connection->write(encoded.head, answer.body, encoded.tail);
  touch(client);
  count(client);
  if (client.queued <= kQueueMost && queued_ <= memory_ / kHeldPart) return;
  const auto most = std::max_element(clients_.begin(), clients_.end(),
                                     [](auto& a, auto& b) { return a->queued < b->queued; });
  ++engine_.counters().slow_readers;
  let_go(**most, false);
}

// A client that ends its side has left, or still waits for answers: nobody can tell. What is out
// may come to its end, and its answer is passed on; nothing more begins. After a reset nobody
// waits.
void RpcFront::lost(Client& client, net::Closed why) {
  touch(client);
  client.ending = true;
  if (why != net::Closed::by_peer) return let_go(client, why == net::Closed::unreadable);
  for (const auto& [id, ticket] : client.open) engine_.stop_retrying(ticket);
}

// The one way in which a client's connection ends. Orderly: it gets all that was written to it.
void RpcFront::let_go(Client& client, bool orderly) {
  if (client.dead) return;
  client.dead = true;
  client.orderly = orderly;
  touch(client);
  --live_;
  if (!orderly) client.connection->close();
  count(client);
  for (const auto& [id, ticket] : client.open) {
    asked_.erase(ticket);
    engine_.cancel_request(ticket);
  }
  client.open.clear();
}

void RpcFront::end_turn() {
  for (Client* c : touched_) {
    if (c->dead) continue;
    c->connection->end_turn();
    count(*c);
    if ((c->ending && c->open.empty() && c->connection->unwritten() == 0) ||
        (c->asked && may_part(*c))) {
      let_go(*c, true);
    }
  }
  // Half messages that together take too much: whoever has kept one for longest has had its time.
  while (unread_ > memory_ / kUnreadPart) {
    const auto age = [](const auto& c) { return std::pair(c->unread == 0, c->begun); };
    const auto oldest = std::min_element(clients_.begin(), clients_.end(),
                                         [&](auto& a, auto& b) { return age(a) < age(b); });
    ++engine_.counters().silent_clients;
    let_go(**oldest, true);
  }
  const auto touched = std::exchange(touched_, {});
  for (Client* c : touched) {
    c->touched = false;
    if (!c->dead) continue;
    if (c->orderly) loop_.lingering().take(std::move(c->connection));
    bury(*c);
  }
}

// Danger: the listening socket has connections in its queue, and some whose handshake is under way.
// New ones are led to the successor first; the socket closes once those must have come up, and what
// they hold is ours.
void RpcFront::hand_over(core::Time leave_by) {
  if (std::exchange(parting_, true)) return;
  const core::Time wait = listener_ && listener_->steer_to_successor() ? kSteered : 0;
  deadlines_.set(engine_.now() + wait, [this] {
    if (!parting_ || !listener_) return;
    listener_->stop_empty();
    listener_.reset();
  });
  parting_since_ = engine_.now();
  leave_by_ = std::max(leave_by, parting_since_);
  if (!std::exchange(parts_, true)) part();
}

// How many open requests a busy client may lose now: least at the best moment, which nobody knows
// beforehand. A third of the time is watched; then the first moment as good as the best one seen is
// taken, or nearly as good in the last third; and at the end any.
void RpcFront::part() {
  parts_ = parting_ || leaving_;
  if (!parts_) return;
  if (leaving_ && listener_ && listener_->stop_empty(false)) listener_.reset();
  const core::Time now = engine_.now(),
                   third = std::max<core::Time>(1, (leave_by_ - parting_since_) / 3);
  for (auto& c : clients_) {
    if (c->dead) continue;
    if (may_part(*c)) {
      if (c->asked || now > c->since + kNew) let_go(*c, true);
      continue;
    }
    if (!parting_) continue;
    const std::size_t open = c->open.size();
    if (now < parting_since_ + third) {
      c->least_open = std::min(c->least_open, open);
    } else if (open <= c->least_open + (now > parting_since_ + 2 * third ? 1 : 0) ||
               now >= leave_by_) {
      see_off(*c);
    }
  }
  deadlines_.set(now + kPartEvery, [this] { part(); });
}

// The final answers are given in this turn; what is asked behind them is refused.
void RpcFront::see_off(Client& client) {
  client.ending = true;
  for (const auto& [id, ticket] : client.open) engine_.finish_now(ticket);
  touch(client);
}

void RpcFront::leave() {
  if (std::exchange(leaving_, true)) return;
  if (!std::exchange(parts_, true)) part();
}

void RpcFront::end() {
  leave();
  if (listener_) listener_->stop_empty(), listener_.reset();
  for (auto& c : clients_) {  // who has just come is refused and goes by part()
    if (!c->dead && (c->asked || c->begun || engine_.now() > c->since + kNew)) see_off(*c);
  }
}

void RpcFront::cut() {
  for (auto& c : clients_) let_go(*c, false);
  while (loop_.lingering().cut_oldest()) {
  }
}

bool RpcFront::gone() const { return !listener_ && live_ == 0 && loop_.lingering().size() == 0; }

void RpcFront::take_back() {
  if (!std::exchange(parting_, false) || leaving_) return;
  if (listener_) return listener_->stop_steering();
  try {
    listen(address_);
  } catch (const std::runtime_error&) {  // somebody else has the address: these clients are theirs
  }
}

// A client is told to go by a close, at the first moment in which it has its answers and asks
// nothing: how long that has lasted says nothing of when its next request comes. Danger: until that
// moment it may ask for ever, and what is open at our end is lost. What has arrived and is not read
// yet is asked as well.
bool RpcFront::may_part(const Client& c) const {
  return (parting_ || leaving_) && !c.dead && c.open.empty() && c.connection->unwritten() == 0 &&
         c.connection->unread() == 0 && !c.connection->arrived();
}

void RpcFront::share(std::uint32_t processes) {
  const auto sockets = static_cast<std::size_t>(config_.sockets);
  const std::size_t ours =
      std::max<std::size_t>(16, sockets / processes - std::min(sockets / processes, kOwnFds));
  most_clients_ = processes > 1 ? ours / 2 : sockets / 2;
  memory_ = (config_.memory_mb << 20) / processes;
  while (live_ > most_clients_ && make_room()) {
  }
  loop_.lingering().fit(live_, most_clients_);
  if (processes == 1 && listener_) listener_->stop_steering();
}

bool RpcFront::idle() const {
  return asked_.empty() && std::all_of(clients_.begin(), clients_.end(), [](auto& c) {
           return c->dead || c->connection->unwritten() == 0;
         });
}

}  // namespace alderspur::platform

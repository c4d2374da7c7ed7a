#include "platform/upstream_pool.h"

#include <algorithm>
#include <deque>

#include "platform/cache_protocol.h"

namespace alderspur::platform {
namespace al = ::alderspur;
using al::AttemptResult;
using core::AttemptId;

namespace {

constexpr core::Time kProbeTime = 250'000, kSweep = 1'000'000;
// A probe is told as failed at kProbeTime, but its word is waited for so much longer: it may prove
// a queue.
constexpr core::Time kLateWord = 3'000'000;
constexpr int kDoubted =
    2;  // connections to a server on which probes wait; further probes share the last
constexpr core::Time kSilence =
    300'000;  // not a byte for so long while an attempt waited: perhaps dead
constexpr std::size_t kBurntMost = 512;
// Danger: a connection that is reset or spoilt takes all that is open on it along. So many share
// one before another is opened beside it, up to so many to one server.
constexpr std::size_t kShare = 3, kLinksMost = 6;
constexpr int kProbeTries = 3;
// A connection with work of ours on which nothing came for kQuiet, and for longer than is usual
// before a word, is asked for one; without it, it is lost.
constexpr core::Time kWatch = 50'000, kQuiet = 250'000, kWord = 300'000;
constexpr double kUnusualDevs = 4;  // mean deviations above the mean
// Half an answer has so long, and twice the sending time of what is open, to become whole; longer
// while it comes at so many bytes a second.
constexpr core::Time kHalf = 1'500'000, kSlowest = 32'768;

}  // namespace

struct UpstreamPool::Open {
  AttemptId attempt = 0;         // 0: a probe
  core::Time sent = 0, due = 0;  // due: no word is missed before
  int tries = 1;                 // of a probe
  bool overdue = false;          // a probe told as failed
  core::Deadlines::Key timeout{};
};
struct UpstreamPool::Link {
  Server* server = nullptr;
  std::unique_ptr<net::Connection> connection;
  std::unordered_map<std::string, Open> open;
  std::deque<AttemptId> waiting;  // for the connection to come up, or for its queue to empty
  std::vector<std::string> probes;
  std::deque<std::pair<std::uint64_t, AttemptId>>
      unwritten;      // commands, by where they end in the queue
  std::string check;  // the tag under which it was asked for a word
  core::Time checked = 0;
  // Danger: a late answer to an attempt given up, or the second copy of one that failed, would pass
  // for that of the same request's next attempt.
  std::unordered_set<std::string> burnt;
  core::Deadlines::Key dial{};
  bool retired = false, dead = false;
  core::Time used = 0, up = 0;  // up: since when it can be written to
  core::Time answered_at = 0;   // an attempt, last
  core::Time half_since = 0;    // half an answer is here, 0: none
  core::Time doubted = 0;       // a probe was overdue then, and nothing came
  bool heard() const { return !doubted || connection->last_read > doubted; }
  core::Time first(core::Time Open::*when,
                   core::Time now) const {  // of the attempts open here; now: none
    for (const auto& [id, o] : open) {
      if (o.attempt) now = std::min(now, o.*when);
    }
    return now;
  }
  std::size_t load() const { return open.size() + waiting.size() + probes.size(); }
  // Danger: what waits in the queue of a connection was judged when it was put there, and leaves
  // when the list, a ban or a purge may have changed. So a command is made when its first byte can
  // leave.
  bool takes_commands() const { return !connection->connecting() && connection->unwritten() == 0; }
};
struct UpstreamPool::Server {
  config::Member member;
  sockaddr_in address{};
  std::vector<std::unique_ptr<Link>> links;
  bool touched = false;
};

UpstreamPool::UpstreamPool(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                           const config::Config& config)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      config_(config),
      link_limit_(link_limit(1)) {
  sweep();
  watch_links();
}
UpstreamPool::~UpstreamPool() = default;

bool UpstreamPool::update(const config::Member& member) {
  auto& slot = servers_[member.server.id];
  const bool known = slot != nullptr;
  if (!known) slot = std::make_unique<Server>();
  Server& s = *slot;
  const auto address = net::parse_address(member.address);
  const bool moved = known && address && member.address != s.member.address;
  const bool restarted = known && member.server.started_at > s.member.server.started_at;
  const std::string last_good = std::exchange(s.member, member).address;
  if (address) {
    s.address = *address;
  } else {
    s.member.address = last_good;
  }
  if (!address && member.server.status != al::ServerStatus::gone) {
    engine_.log_invalid_input(core::InvalidInput::address, member.name + ' ' + member.address);
  }
  // A process that started anew knows nothing of what its forerunner was asked.
  if (moved || restarted) {
    give_back(member.server.id);  // nobody is to blame for what waited
    for (auto& link : s.links) lost(*link, net::Closed::reset);
  }
  if (member.server.status != al::ServerStatus::ready) out_of_service(s);
  return member.server.status == al::ServerStatus::gone || s.address.sin_port != 0;
}

// What waits for it has not run and is given back at once. Danger: another server may have its
// address by the time a dial comes up.
void UpstreamPool::out_of_service(Server& server) {
  give_back(server.member.server.id);
  if (server.member.server.status != al::ServerStatus::gone) return;
  touch(server);
  for (auto& link : server.links) retire(*link);
}

// Danger: a walk over all servers in every turn makes each request pay for the length of the list.
void UpstreamPool::touch(Server& server) {
  if (std::exchange(server.touched, true)) return;
  touched_.push_back(&server);
}

void UpstreamPool::only(const std::vector<config::Member>& members) {
  std::unordered_set<std::uint64_t> listed;
  for (const auto& m : members) listed.insert(m.server.id.value);
  for (auto& [id, s] : servers_) {
    if (listed.contains(id.value)) continue;
    s->member.server.status = al::ServerStatus::gone;
    out_of_service(*s);
  }
}

UpstreamPool::Link* UpstreamPool::pick(Server& server, std::string_view id) {
  Link* best = nullptr;
  const std::string key(id);
  for (auto& link : server.links) {
    if (link->dead || link->retired || link->load() >= config_.streams) continue;
    if (link->burnt.contains(key) || link->open.contains(key) || link->checked || !link->heard()) {
      continue;
    }
    if (stale(*link)) {
      drop(*link);
      continue;
    }
    const auto rank = [](const Link& l) { return std::pair(!l.takes_commands(), l.load()); };
    if (!best || rank(*link) < rank(*best)) best = link.get();
  }
  if (!best) return dial(server);
  const auto& links = server.links;
  const auto coming = [](auto& l) { return !l->dead && l->connection->connecting(); };
  if (best->load() >= kShare && links.size() < kLinksMost &&
      std::none_of(links.begin(), links.end(), coming)) {
    dial(server);
  }
  return best;
}

UpstreamPool::Link* UpstreamPool::dial(Server& server) {
  if (link_count_ >= link_limit_ || !server.address.sin_port) return nullptr;
  auto link = std::make_unique<Link>();
  Link* raw = link.get();
  raw->server = &server;
  raw->used = engine_.now();
  net::Connection::Handler handler;
  handler.on_data = [this, raw](std::string_view bytes) { return take(*raw, bytes); };
  handler.on_written = [this, raw] { come_up(*raw), mark_written(*raw), write_waiting(*raw); };
  handler.on_close = [this, raw](net::Closed why) { lost(*raw, why); };
  raw->connection = net::connect(loop_, server.address, std::move(handler));
  if (!raw->connection) return nullptr;
  ++link_count_;
  raw->dial = deadlines_.set(engine_.now() + config_.dial_timeout, [this, raw] {
    if (raw->connection->connecting()) lost(*raw, net::Closed::refused);
  });
  server.links.push_back(std::move(link));
  linked_[server.member.server.id] = &server;
  return raw;
}

void UpstreamPool::send(AttemptId attempt, al::ServerId id) {
  const auto it = servers_.find(id);
  const core::UpstreamRequest* order = engine_.upstream_request(attempt);
  Link* link = it != servers_.end() && order ? pick(*it->second, order->id) : nullptr;
  if (!link) {
    return engine_.on_upstream_response(attempt,
                                        {AttemptResult::connect_failed, false, {}, {}, 0, {}});
  }
  where_[attempt] = link;
  link->waiting.push_back(attempt);
  write_waiting(*link);
}

void UpstreamPool::write_waiting(Link& link) {
  while (!link.dead && !link.waiting.empty() && link.takes_commands()) {
    const AttemptId attempt = link.waiting.front();
    link.waiting.pop_front();
    put(link, attempt);
  }
}

void UpstreamPool::put(Link& link, AttemptId attempt) {
  const core::UpstreamRequest* order = engine_.upstream_request(attempt);
  if (!order) return;
  if (!engine_.may_still_send(attempt)) {
    where_.erase(attempt);
    return engine_.return_unsent(attempt);
  }
  // Danger: clients may give two requests one id; answers are told apart by it, so each needs its
  // own connection.
  if (link.open.contains(std::string(order->id))) return send(attempt, order->server);
  std::string source;
  if (order->fill && order->fill->source != order->server) {
    if (const auto s = servers_.find(order->fill->source); s != servers_.end()) {
      source = s->second->member.name;
    }
  }
  const auto line =
      fetch_line(*order, config_.names.classes[order->class_id], source, engine_.now());
  Open& open = link.open[std::string(order->id)];
  open.attempt = attempt;
  open.sent = link.used = engine_.now();
  open.due = open.sent + order->transfer_time;
  link.connection->write(line, order->body, "\r\n");
  link.unwritten.emplace_back(link.connection->queued_total(), attempt);
  mark_written(link);
}

void UpstreamPool::come_up(Link& link) {
  if (link.dial.is_set() == 0 || link.connection->connecting()) return;
  deadlines_.cancel(link.dial);
  link.dial = {};
  link.up = engine_.now();
  const auto probes = std::move(link.probes);
  link.probes.clear();
  for (const auto& tag : probes) {
    if (link.open.contains(tag)) link.connection->write("stats " + tag + "\r\n");
  }
}

void UpstreamPool::mark_written(Link& link) {
  const auto total = link.connection->written_total();
  for (; !link.unwritten.empty() && link.unwritten.front().first <= total;
       link.unwritten.pop_front()) {
    engine_.mark_written(link.unwritten.front().second);
  }
}

// Danger: a spoilt line can read well. What is passed on must be what this request asked for: kept
// objects come with their tag and date, writes with bytes, and a copy is confirmed only to whoever
// named it.
bool UpstreamPool::plausible(const CacheResponse& answer, AttemptId attempt) const {
  const core::UpstreamRequest* order = engine_.upstream_request(attempt);
  if (!order) return true;  // over already, nothing is passed on
  if (answer.word == "still_good") {
    return answer.body.empty() && !order->client_copy_tag.empty() &&
           answer.sum == order->client_copy_tag;
  }
  if (answer.word != "served") return true;
  if (config_.settings.classes[order->class_id].never_cached) return !answer.body.empty();
  return !answer.sum.empty() && answer.born > 0;
}

std::ptrdiff_t UpstreamPool::take(Link& link, std::string_view bytes) {
  touch(*link.server);
  const auto before = bytes.size();
  const auto bad = [&]() -> std::ptrdiff_t {
    ++engine_.counters().invalid_responses;
    engine_.log_invalid_input(core::InvalidInput::response, link.server->member.name);
    return -1;
  };
  CacheResponse answer;
  for (;;) {
    const auto parsed = next_answer(bytes, answer);
    if (parsed == Parsed::partial) return static_cast<std::ptrdiff_t>(before - bytes.size());
    if (parsed == Parsed::unreadable) return bad();
    link.half_since = 0;
    if (!link.check.empty() && answer.id == link.check) {
      link.check.clear();
      continue;
    }
    const auto it = link.open.find(std::string(answer.id));
    if (it == link.open.end()) {
      ++engine_.counters().late_responses;
      continue;
    }
    if (!it->second.attempt) {
      end_probe(link, it->first, answer.word == "green", answer.report);
      continue;
    }
    hear(link);
    const AttemptId attempt = it->second.attempt;
    const auto result = result_of(answer.word);
    // A word of another answer, or an answer to what was not asked whole: nothing here can be
    // trusted.
    if (!result || !engine_.was_written(attempt) || !plausible(answer, attempt)) return bad();
    if (*result != AttemptResult::ok) link.burnt.insert(it->first);
    link.open.erase(it);
    where_.erase(attempt);
    link.used = engine_.now();
    engine_.on_upstream_response(attempt, {*result, answer.word == "still_good", answer.body,
                                           answer.sum, answer.born, report_of(answer.report)});
    if (link.burnt.size() > kBurntMost) link.retired = true;
    if (link.retired && link.load() == 0) {
      drop(link);
      return static_cast<std::ptrdiff_t>(before - bytes.size());
    }
  }
}

// Danger: where a router sends little, most connections are quiet for long while they serve; a look
// at each would be a probe for every second request. What probes bring out is no measure of that,
// and a large answer in one piece is due only once its own sending time is over.
void UpstreamPool::hear(Link& link) {
  const core::Time now = engine_.now(), oldest = link.first(&Open::sent, now);
  if (oldest < now)
    response_interval_.learn(static_cast<double>(now - std::max(oldest, link.answered_at)));
  link.answered_at = now;
}

// A refused or hung connect, or a command not written whole, proves that nothing ran.
void UpstreamPool::lost(Link& link, net::Closed why) {
  if (link.dead) return;
  const auto open = std::move(link.open);
  const auto waiting = std::move(link.waiting);
  link.open.clear();
  link.waiting.clear();
  drop(link);
  for (const auto& [tag, o] : open) {
    if (!o.attempt) {
      deadlines_.cancel(o.timeout);
      if (o.overdue) continue;
      // Danger: connections are reset while the machine is well. Only a refused one, or the next,
      // says more.
      const auto id = link.server->member.server.id;
      if (why != net::Closed::refused && o.tries < kProbeTries) {
        send_health_check(id, o.sent, o.tries + 1);
      } else {
        engine_.on_health_check_result({id, false, engine_.now() - o.sent, {}});
      }
      continue;
    }
    where_.erase(o.attempt);
    const bool may_have_run = engine_.was_written(o.attempt);
    engine_.on_upstream_response(
        o.attempt, {may_have_run ? AttemptResult::reset : AttemptResult::connect_failed,
                    false,
                    {},
                    {},
                    0,
                    {}});
  }
  for (const AttemptId attempt : waiting) {
    where_.erase(attempt);
    engine_.on_upstream_response(attempt, {AttemptResult::connect_failed, false, {}, {}, 0, {}});
  }
}

void UpstreamPool::drop(Link& link) {
  if (link.dead) return;
  link.dead = true;
  touch(*link.server);
  if (link.dial.is_set()) deadlines_.cancel(link.dial);
  link.connection->close();
  --link_count_;
}

void UpstreamPool::retire(Link& link) {
  link.retired = true;
  if (!link.dead && link.load() == 0) drop(link);
}

void UpstreamPool::abort(AttemptId attempt) {
  const auto it = where_.find(attempt);
  if (it == where_.end()) return;
  Link& link = *it->second;
  where_.erase(it);
  if (std::erase(link.waiting, attempt)) return;
  const core::UpstreamRequest* order = engine_.upstream_request(attempt);
  const auto found = order ? link.open.find(std::string(order->id)) : link.open.end();
  if (found == link.open.end() || found->second.attempt != attempt) return;
  const std::string id = found->first;
  const Open open = found->second;
  link.open.erase(found);
  // Danger: while the queue is stuck the abort would leave long after the request's next attempt
  // elsewhere.
  if (link.connection->unwritten() > 0) return lost(link, net::Closed::reset);
  link.connection->write("abort " + id + "\r\n");
  link.burnt.insert(id);
  // Danger: a machine that vanished and came back leaves old connections silent for ever.
  const core::Time now = engine_.now();
  const bool silent = link.connection->last_read < open.sent && now - open.sent > kSilence;
  if (silent || link.burnt.size() > kBurntMost) retire(link);
}

void UpstreamPool::send_health_check(al::ServerId id) { send_health_check(id, engine_.now(), 1); }

// Danger: on a connection that a spoilt answer has silenced, a probe would say that the machine is
// silent. Danger: a dial for each probe of a silent server, from every router, is a load of its
// own.
UpstreamPool::Link* UpstreamPool::link_for_probe(Server& server, bool fresh) {
  Link *best = nullptr, *doubted = nullptr;
  std::size_t waiting = 0;
  for (auto& l : server.links) {
    if (l->dead || l->retired) continue;
    if (!l->heard() || l->connection->connecting()) ++waiting, doubted = l.get();
    const bool quiet = !l->open.empty() && l->connection->last_read <= engine_.now() - kQuiet;
    if (!fresh && l->heard() && !l->checked && !l->connection->connecting() && !quiet) {
      best = l.get();
    }
  }
  if (best) return best;
  return waiting < kDoubted ? dial(server) : doubted;
}

void UpstreamPool::send_health_check(al::ServerId id, core::Time since, int tries) {
  const auto it = servers_.find(id);
  std::string tag("p");
  tag += std::to_string(++last_probe_);
  Link* link = it != servers_.end() ? link_for_probe(*it->second, tries > 1) : nullptr;
  if (!link) return engine_.on_health_check_result({id, false, engine_.now() - since, {}});
  Open& open = link->open[tag];
  link->used = engine_.now();
  open.sent = since;
  open.tries = tries;
  open.timeout = deadlines_.set(since + kProbeTime, [this, link, tag] { overdue(*link, tag); });
  if (link->connection->connecting()) {
    link->probes.push_back(tag);
  } else {
    link->connection->write("stats " + tag + "\r\n");
  }
}

void UpstreamPool::overdue(Link& link, const std::string& tag) {
  const auto it = link.open.find(tag);
  if (it == link.open.end()) return;
  const core::Time now = engine_.now();
  it->second.overdue = true;
  it->second.timeout = deadlines_.set(now + kLateWord, [this, l = &link, tag] { forget(*l, tag); });
  if (link.connection->last_read <= it->second.sent) link.doubted = now;
  engine_.on_health_check_result({link.server->member.server.id, false, now - it->second.sent, {}});
}

void UpstreamPool::forget(Link& link, const std::string& tag) {
  std::erase(link.probes, tag);
  link.open.erase(tag);
  if (!link.heard()) retire(link);
}

void UpstreamPool::end_probe(Link& link, const std::string& tag, bool ok, std::string_view report) {
  const auto it = link.open.find(tag);
  if (it == link.open.end()) return;
  const Open open = it->second;
  deadlines_.cancel(open.timeout);
  std::erase(link.probes, tag);
  link.open.erase(it);
  const core::Time now = engine_.now(), up = link.up ? now - link.up : 0;
  engine_.on_health_check_result({link.server->member.server.id, ok, now - open.sent,
                                  report_of(report), up, true, open.overdue});
}

std::string UpstreamPool::address(al::ServerId server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? std::string() : it->second->member.address;
}

std::size_t UpstreamPool::link_limit(std::uint32_t processes) const {
  const auto sockets = static_cast<std::size_t>(config_.sockets) / processes;
  return std::min(processes > 1 ? sockets / 4 : sockets * 2 / 5,
                  std::max<std::size_t>(24, config_.memory_mb) / processes);
}
void UpstreamPool::share(std::uint32_t processes) {
  link_limit_ = link_limit(processes);
  for (auto& [id, s] : linked_) {
    for (auto& link : s->links) {
      if (link_count_ > link_limit_ && !link->dead && link->load() == 0) drop(*link);
    }
  }
}

bool UpstreamPool::listed(al::ServerId server) const {
  const auto it = servers_.find(server);
  return it != servers_.end() && it->second->member.server.status != al::ServerStatus::gone;
}

void UpstreamPool::give_back(al::ServerId server) {
  const auto it = linked_.find(server);
  if (it == linked_.end()) return;
  for (auto& link : it->second->links) {
    for (const AttemptId attempt : std::exchange(link->waiting, {})) {
      where_.erase(attempt);
      engine_.return_unsent(attempt);
    }
  }
}

void UpstreamPool::sweep() {
  const core::Time now = engine_.now();
  deadlines_.set(now + kSweep, [this] { sweep(); });
  for (auto& [id, s] : linked_) {
    for (auto& link : s->links) {
      if (!link->dead && stale(*link)) drop(*link);
    }
  }
}

// Closed, and not written to, before the cache closes it: a command that crosses its close might
// have run.
bool UpstreamPool::stale(const Link& link) const {
  return link.load() == 0 && engine_.now() > link.used + config_.idle_close * 4 / 5;
}

void UpstreamPool::watch_links() {
  deadlines_.set(engine_.now() + kWatch, [this] { watch_links(); });
  // By index: a probe that is asked again opens another connection.
  for (auto& [id, s] : linked_) {
    for (auto& i : s->links) {
      if (Link& link = *i; !link.dead && !link.connection->connecting()) watch(link);
    }
  }
}

// Danger: an answer that comes byte by byte for ever keeps its connection from looking silent, and
// all others wait behind it.
bool UpstreamPool::never_ends(Link& link, core::Time now) {
  if (link.connection->unread() == 0) return link.half_since = 0, false;
  if (!link.half_since) link.half_since = now;
  core::Time sending = 0;
  for (const auto& [id, o] : link.open) {
    if (o.attempt) sending = std::max(sending, o.due - o.sent);
  }
  const core::Time took = now - link.half_since;
  const auto at_pace = static_cast<core::Time>(link.connection->unread()) * 1'000'000 / kSlowest;
  return took > kHalf + 2 * sending && at_pace < took;
}

// Danger: after an answer that stops short or never comes, a connection stays open and is of no
// further use, also for the other requests on it; the machine behind it is well.
void UpstreamPool::watch(Link& link) {
  const core::Time now = engine_.now();
  if (never_ends(link, now)) {
    ++engine_.counters().silent_upstream_connections;
    return lost(link, net::Closed::unreadable);
  }
  if (link.checked && (link.check.empty() || link.connection->last_read >= link.checked)) {
    link.checked = 0;
  }
  const core::Time quiet = now - std::max(link.first(&Open::due, now), link.connection->last_read);
  if (quiet <=
      std::max(kQuiet, static_cast<core::Time>(response_interval_.value +
                                               kUnusualDevs * response_interval_.deviation))) {
    return;
  }
  // Nothing can be asked behind half an answer.
  if (link.connection->unread() > 0 || (link.checked && now > link.checked + kWord)) {
    ++engine_.counters().silent_upstream_connections;
    return lost(link, net::Closed::unreadable);
  }
  if (link.checked || !config_.settings.health_checks_allowed) return;
  link.checked = now;
  link.check = "w";
  link.check += std::to_string(++last_probe_);
  ++engine_.counters().health_checks;
  link.connection->write("alive " + link.check + "\r\n");
}

void UpstreamPool::end_turn() {
  for (Server* s : std::exchange(touched_, {})) {
    s->touched = false;
    for (auto& link : s->links) {
      if (!link->dead) link->connection->end_turn();
    }
    std::erase_if(s->links, [](auto& link) { return link->dead; });
    if (!s->links.empty()) continue;
    const auto id = s->member.server.id;
    linked_.erase(id);
    if (s->member.server.status == al::ServerStatus::gone) servers_.erase(id);
  }
}

}  // namespace alderspur::platform

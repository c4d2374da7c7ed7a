#include "consensus/raft.h"

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "consensus/codec.h"
#include "core/parsing.h"

namespace alderspur::consensus {
namespace {

constexpr std::size_t kEntriesMost = 4096, kEntryMost = 64 << 10, kSnapshotMost = 1 << 20;
constexpr Time kMillisecond = 1000;

void* copied(std::string_view bytes) {
  void* out = raft_malloc(std::max<std::size_t>(bytes.size(), 1));
  if (!out) throw std::bad_alloc();
  std::memcpy(out, bytes.data(), bytes.size());
  return out;
}
// All in one batch of memory, as the library expects: what it refuses of a message it frees by the
// first one's.
raft_entry* entries_of(const std::vector<LogEntry>& all) {
  if (all.empty()) return nullptr;
  const auto aligned = [](std::size_t n) { return (n + 7) / 8 * 8; };
  std::size_t size = 0;
  for (const auto& e : all) size += aligned(e.data.size());
  auto* out = static_cast<raft_entry*>(raft_malloc(all.size() * sizeof(raft_entry)));
  auto* batch = static_cast<char*>(raft_malloc(std::max<std::size_t>(size, 8)));
  if (!out || !batch) throw std::bad_alloc();
  std::size_t at = 0;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const auto& e = all[i];
    out[i] = {};
    out[i].term = e.term, out[i].type = static_cast<unsigned short>(e.type);
    out[i].buf = {batch + at, e.data.size()};
    out[i].batch = batch;
    std::memcpy(batch + at, e.data.data(), e.data.size());
    at += aligned(e.data.size());
  }
  return out;
}
std::string_view bytes_of(const raft_buffer& b) {
  return {static_cast<const char*>(b.base), b.len};
}
std::vector<LogEntry> copy(const raft_entry* entries, unsigned n) {
  std::vector<LogEntry> out;
  for (unsigned i = 0; i < n; ++i)
    out.push_back({entries[i].term, entries[i].type, std::string(bytes_of(entries[i].buf))});
  return out;
}
raft_configuration configuration_of(const Configuration& v) {
  raft_configuration c;
  raft_configuration_init(&c);
  for (const auto& [name, role] : v.servers)
    raft_configuration_add(&c, raft_id_of(name), name.c_str(), role);
  return c;
}
Configuration voters_of(const raft_configuration& c, std::uint64_t index) {
  Configuration v{index, {}};
  for (unsigned i = 0; i < c.n; ++i)
    v.servers.emplace_back(c.servers[i].address, c.servers[i].role);
  return v;
}
struct Changing : raft_change {
  std::function<void(bool)> then;
  bool* flag = nullptr;
};

}  // namespace

std::uint64_t raft_id_of(std::string_view name) {
  const auto h = core::stable_hash(name);
  return h ? h : 1;
}

Raft::Raft(const std::string& name, const RaftSettings& settings, PersistedLog saved,
           const std::vector<std::string>& found, std::uint64_t seed, Time now, Callbacks hooks)
    : name_(name),
      set_(settings),
      saved_(std::move(saved)),
      hooks_(std::move(hooks)),
      random_(seed),
      now_(now),
      next_(now),
      begun_(now),
      snapshot_(saved_.snapshot) {
  set_io();
  if (raft_init(&raft_, &io_, &fsm_, raft_id_of(name), name.c_str()))
    throw std::runtime_error("consensus cannot start");
  raft_set_election_timeout(&raft_, static_cast<unsigned>(set_.election_timeout / kMillisecond));
  raft_set_heartbeat_timeout(&raft_, static_cast<unsigned>(set_.heartbeat_interval / kMillisecond));
  raft_set_snapshot_threshold(&raft_, set_.snapshot_threshold);
  raft_set_snapshot_trailing(&raft_, set_.trailing_entries);
  raft_set_pre_vote(&raft_, true);
  if (!found.empty() && saved_.is_empty()) {
    Configuration v;
    for (const auto& n : found) v.servers.emplace_back(n, RAFT_VOTER);
    auto c = configuration_of(v);
    raft_bootstrap(&raft_, &c);
    raft_configuration_close(&c);
  }
  if (raft_start(&raft_)) failed_ = true;
  saved_ = {};
}

// Danger: requests that are under way hold memory of the library; each must hear of its end before
// it closes.
Raft::~Raft() {
  raft_close(&raft_, nullptr);
  for (auto& p : std::exchange(pending_, {})) {
    if (p.append) p.append->cb(p.append, RAFT_CANCELED);
    if (p.put) p.put->cb(p.put, RAFT_CANCELED);
  }
  for (auto& h : std::exchange(held_, {})) {
    if (h.request) h.request->cb(h.request, RAFT_CANCELED);
    if (h.get) h.get->cb(h.get, nullptr, RAFT_CANCELED);
  }
  if (closed_) closed_(&io_);
}

void Raft::set_io() {
  io_.version = 1, io_.impl = this, raft_.data = this;
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = [](raft_io* io, raft_io_close_cb cb) { of(io).closed_ = cb; };
  io_.load = [](raft_io* io, raft_term* t, raft_id* v, raft_snapshot** s, raft_index* i,
                raft_entry** e, std::size_t* n) { return of(io).load(t, v, s, i, e, n); };
  io_.start = [](raft_io* io, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb recv) {
    of(io).tick_ = on_tick, of(io).recv_ = recv;
    return 0;
  };
  io_.bootstrap = [](raft_io* io, const raft_configuration* c) {
    auto& r = of(io);
    raft_buffer b{};
    if (raft_configuration_encode(c, &b)) return RAFT_NOMEM;
    r.saved_.term = 1;
    r.saved_.entries.push_back({1, RAFT_CHANGE, std::string(bytes_of(b))});
    raft_free(b.base);
    r.store({LogWrite::Kind::term, 1, {}, {}});
    r.store({LogWrite::Kind::append, 1, r.saved_.entries, {}});
    return 0;
  };
  io_.recover = [](raft_io*, const raft_configuration*) { return RAFT_INVALID; };
  io_.set_term = [](raft_io* io, raft_term t) {
    return of(io).store({LogWrite::Kind::term, t, {}, {}}), 0;
  };
  io_.set_vote = [](raft_io* io, raft_id v) {
    return of(io).store({LogWrite::Kind::vote, v, {}, {}}), 0;
  };
  io_.send = [](raft_io* io, raft_io_send* q, const raft_message* m, raft_io_send_cb cb) {
    return of(io).send(q, *m, cb);
  };
  io_.append = [](raft_io* io, raft_io_append* q, const raft_entry* e, unsigned n,
                  raft_io_append_cb cb) {
    auto& r = of(io);
    q->cb = cb;
    // The library has these in its log already: the first of them is the last but n - 1.
    const auto number =
        r.store({LogWrite::Kind::append, raft_last_index(&r.raft_) + 1 - n, copy(e, n), {}});
    r.pending_.push_back({number, q, nullptr});
    return 0;
  };
  io_.truncate = [](raft_io* io, raft_index i) {
    return of(io).store({LogWrite::Kind::truncate, i, {}, {}}), 0;
  };
  io_.snapshot_put = [](raft_io* io, unsigned trailing, raft_io_snapshot_put* q,
                        const raft_snapshot* s, raft_io_snapshot_put_cb cb) {
    auto& r = of(io);
    q->cb = cb;
    Snapshot out{s->index, s->term, voters_of(s->configuration, s->configuration_index), {}};
    for (unsigned i = 0; i < s->n_bufs; ++i) out.data += bytes_of(s->bufs[i]);
    r.snapshot_ = out;
    const auto number = r.store({LogWrite::Kind::snapshot, trailing, {}, std::move(out)});
    r.pending_.push_back({number, nullptr, q});
    return 0;
  };
  io_.snapshot_get = [](raft_io* io, raft_io_snapshot_get* q, raft_io_snapshot_get_cb cb) {
    auto& r = of(io);
    q->cb = cb;
    r.held_.push_back({r.stores_, {}, {}, nullptr, q});
    return 0;
  };
  io_.time = [](raft_io* io) { return static_cast<raft_time>(of(io).now_ / kMillisecond); };
  io_.random = [](raft_io* io, int least, int most) {
    return std::uniform_int_distribution<int>(least, most - 1)(of(io).random_);
  };
  fsm_.version = 1, fsm_.data = this;
  fsm_.apply = [](raft_fsm* f, const raft_buffer* b, void** result) {
    *result = nullptr;
    static_cast<Raft*>(f->data)->hooks_.apply(bytes_of(*b));
    return 0;
  };
  fsm_.snapshot = [](raft_fsm* f, raft_buffer** bufs, unsigned* n) {
    const auto text = static_cast<Raft*>(f->data)->hooks_.snapshot();
    *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    **bufs = {copied(text), text.size()};
    *n = 1;
    return 0;
  };
  fsm_.restore = [](raft_fsm* f, raft_buffer* b) {
    if (!static_cast<Raft*>(f->data)->hooks_.restore(bytes_of(*b))) return RAFT_MALFORMED;
    raft_free(b->base);
    return 0;
  };
}

namespace {

raft_snapshot* given(const Snapshot& s) {
  auto* out = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
  if (!out) throw std::bad_alloc();
  out->index = s.index, out->term = s.term;
  out->configuration = configuration_of(s.configuration),
  out->configuration_index = s.configuration.index;
  out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  *out->bufs = {copied(s.data), s.data.size()};
  out->n_bufs = 1;
  return out;
}

}  // namespace

int Raft::load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
               raft_entry** entries, std::size_t* n) {
  *term = saved_.term, *vote = saved_.vote, *start = saved_.first_index;
  *snapshot = saved_.snapshot ? given(*saved_.snapshot) : nullptr;
  *entries = entries_of(saved_.entries);
  *n = saved_.entries.size();
  return 0;
}

std::uint64_t Raft::store(LogWrite s) {
  ++stores_;
  hooks_.store(stores_, std::move(s));
  return stores_;
}

int Raft::send(raft_io_send* request, const raft_message& message, raft_io_send_cb done) {
  request->cb = done;
  auto frame = pack(message);
  if (message.type == RAFT_IO_REQUEST_VOTE && now_ < until_ &&
      std::pair<std::uint64_t, std::uint64_t>(message.request_vote.last_log_term,
                                              message.request_vote.last_log_index) < floor_)
    frame.clear();  // goes nowhere
  held_.push_back({stores_, message.server_address, std::move(frame), request, nullptr});
  return 0;
}

// What waited for the stores that are done by now, in its order.
void Raft::release() {
  while (!failed_ && !held_.empty() && held_.front().after <= done_) {
    auto h = std::move(held_.front());
    held_.pop_front();
    if (h.get) {
      h.get->cb(h.get, snapshot_ ? given(*snapshot_) : nullptr, snapshot_ ? 0 : RAFT_NOTFOUND);
      continue;
    }
    if (!h.frame.empty()) hooks_.send(h.to, std::move(h.frame));
    h.request->cb(h.request, 0);
  }
}

void Raft::tick(Time now) {
  now_ = now;
  next_ = now + set_.heartbeat_interval;
  if (failed_) return;
  tick_(&io_);
  begin_term();
  release();
}

void Raft::on_write_done(Time now, std::uint64_t number, bool good) {
  now_ = now;
  if (failed_ || number != done_ + 1) return;
  done_ = number;
  if (!good) failed_ = true;
  while (!pending_.empty() && pending_.front().number <= number) {
    const auto p = pending_.front();
    pending_.pop_front();
    if (p.append) p.append->cb(p.append, good ? 0 : RAFT_IOERR);
    if (p.put) p.put->cb(p.put, good ? 0 : RAFT_IOERR);
  }
  release();
}

bool Raft::propose(Time now, const std::string& command) {
  now_ = now;
  if (failed_ || !is_leader()) return false;
  struct Apply : ::raft_apply {};
  auto* request = new Apply{};
  const raft_buffer b{copied(command), command.size()};
  // What became of it shows in the ledger; a command that is lost with its leader is asked again.
  const int error = ::raft_apply(&raft_, request, &b, 1, [](struct raft_apply* r, int, void*) {
    delete static_cast<Apply*>(r);
  });
  if (error) raft_free(b.base), delete request;
  release();
  return error == 0;
}

bool Raft::change_membership(Time now, MembershipChange change, const std::string& who,
                             std::function<void(bool)> done) {
  now_ = now;
  if (failed_ || !is_leader() || changing_) return false;
  auto* request = new Changing{};
  request->then = std::move(done), request->flag = &changing_;
  const auto id = raft_id_of(who);
  const auto cb = [](raft_change* r, int status) {
    std::unique_ptr<Changing> c(static_cast<Changing*>(r));
    *c->flag = false;
    c->then(status == 0);
  };
  changing_ = true;
  const int error = change == MembershipChange::add_spare
                        ? raft_add(&raft_, request, id, who.c_str(), cb)
                    : change == MembershipChange::promote_to_voter
                        ? raft_assign(&raft_, request, id, RAFT_VOTER, cb)
                        : raft_remove(&raft_, request, id, cb);
  if (error) changing_ = false, delete request;
  release();
  return error == 0;
}

// ---- Leading

// Since when a majority, ourselves counted, has confirmed us without a gap that another could have
// used.
Time Raft::since_leading() const {
  std::vector<Time> at;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const auto& s = raft_.configuration.servers[i];
    if (s.role != RAFT_VOTER) continue;
    if (s.id == raft_.id)
      at.push_back(now_);
    else if (const auto it = confirmed_.find(s.address); it != confirmed_.end())
      at.push_back(it->second);
    else
      at.push_back(0);
  }
  if (at.empty()) return 0;
  std::sort(at.rbegin(), at.rend());
  return at[at.size() / 2];
}

bool Raft::has_leader_lease(Time now) const {
  if (failed_ || !is_leader()) return false;
  const auto hold =
      static_cast<Time>(static_cast<double>(set_.election_timeout) * (1 - 2 * kMaxClockDrift));
  // Danger: a lone voter counts its own vote before that is on the disk.
  if (raft_.configuration.n == 1) return done_ == stores_;
  return confirmed_term_ == raft_.current_term && now < since_leading() + hold;
}

// An earlier leader's entries count as committed only behind one of our own term.
void Raft::begin_term() {
  if (!is_leader() || barrier_term_ == raft_.current_term) return;
  barrier_term_ = raft_.current_term, barrier_done_ = false;
  struct Barrier : ::raft_barrier {
    Raft* raft = nullptr;
    std::uint64_t term = 0;
  };
  auto* request = new Barrier{};
  request->raft = this, request->term = barrier_term_;
  const int error = ::raft_barrier(&raft_, request, [](struct raft_barrier* r, int status) {
    const std::unique_ptr<Barrier> done(static_cast<Barrier*>(r));
    if (status == 0 && done->raft->barrier_term_ == done->term)
      done->raft->barrier_done_ = true;
    else if (status != 0)
      done->raft->barrier_term_ = 0;
  });
  if (error) delete request, barrier_term_ = 0;
}

std::pair<std::uint64_t, std::uint64_t> Raft::acknowledged(const std::string& who) const {
  const auto it = acknowledged_.find(who);
  if (it == acknowledged_.end()) return {0, 0};
  return {it->second.first, std::min<std::uint64_t>(it->second.second, raft_.commit_index)};
}

// Of the last entry; the library has no call for it.
std::uint64_t Raft::last_term() const {
  const auto& l = raft_.log;
  const auto n = l.size ? (l.back + l.size - l.front) % l.size : 0;
  return n ? l.entries[(l.back + l.size - 1) % l.size].term : l.snapshot.last_term;
}

void Raft::confirm(const std::string& from, std::uint64_t term, Time sent) {
  if (!is_leader() || term != raft_.current_term) return;
  if (confirmed_term_ != term) confirmed_.clear(), confirmed_term_ = term;
  Time& at = confirmed_[from];
  at = std::max(at, sent);
}

std::string Raft::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  ::raft_leader(const_cast<raft*>(&raft_), &id, &address);
  return id && address ? address : "";
}

std::map<std::string, int> Raft::roles() const {
  std::map<std::string, int> out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i)
    out[raft_.configuration.servers[i].address] = raft_.configuration.servers[i].role;
  return out;
}

bool Raft::has_server(std::string_view name) const {
  for (unsigned i = 0; i < raft_.configuration.n; ++i)
    if (raft_.configuration.servers[i].address == name) return true;
  return false;
}

// ---- Frames: [kind, sent, echo's term, echo's sent, fields...]

std::string Raft::pack(const raft_message& m) const {
  cluster::Packer p;
  const auto heard = heard_.find(m.server_address);
  const Heard echo = heard == heard_.end() ? Heard{} : heard->second;
  p.array(5).number(m.type).number(static_cast<std::uint64_t>(now_)).number(echo.term);
  p.number(static_cast<std::uint64_t>(echo.sent));
  if (m.type == RAFT_IO_APPEND_ENTRIES) {
    const auto& a = m.append_entries;
    p.array(5)
        .number(a.term)
        .number(a.prev_log_index)
        .number(a.prev_log_term)
        .number(a.leader_commit);
    p.array(a.n_entries);
    for (unsigned i = 0; i < a.n_entries; ++i)
      p.array(3)
          .number(a.entries[i].term)
          .number(a.entries[i].type)
          .bytes(bytes_of(a.entries[i].buf));
  } else if (m.type == RAFT_IO_APPEND_ENTRIES_RESULT) {
    const auto& a = m.append_entries_result;
    p.array(3).number(a.term).number(a.rejected).number(a.last_log_index);
  } else if (m.type == RAFT_IO_REQUEST_VOTE) {
    const auto& v = m.request_vote;
    p.array(6)
        .number(v.term)
        .number(v.candidate_id)
        .number(v.last_log_index)
        .number(v.last_log_term);
    p.flag(v.disrupt_leader).flag(v.pre_vote);
  } else if (m.type == RAFT_IO_REQUEST_VOTE_RESULT) {
    const auto& v = m.request_vote_result;
    p.array(3).number(v.term).flag(v.vote_granted).number(static_cast<std::uint64_t>(v.pre_vote));
  } else if (m.type == RAFT_IO_INSTALL_SNAPSHOT) {
    const auto& s = m.install_snapshot;
    p.array(5).number(s.term).number(s.last_index).number(s.last_term);
    consensus::pack(p, voters_of(s.conf, s.conf_index));
    p.bytes(bytes_of(s.data));
  }
  return p.take();
}

bool Raft::unpack(std::string_view frame, const std::string& from, raft_message& m, Time& sent) {
  const cluster::Unpacked u(frame);
  if (!u.good) return false;
  cluster::Reader head(u.m.data, 5);
  m.type = static_cast<unsigned short>(head.number(RAFT_IO_TIMEOUT_NOW));
  sent = static_cast<Time>(head.number(std::uint64_t{1} << 62));
  const auto echo_term = head.number();
  const auto echo_sent = static_cast<Time>(head.number(std::uint64_t{1} << 62));
  cluster::Reader r(head.next(), 3);
  std::vector<LogEntry> entries;
  Snapshot snapshot;
  if (m.type == RAFT_IO_APPEND_ENTRIES) {
    auto& a = m.append_entries;
    a.term = r.number(), a.prev_log_index = r.number(), a.prev_log_term = r.number(),
    a.leader_commit = r.number();
    const auto n = r.array(kEntriesMost);
    for (std::uint32_t i = 0; i < n && r.good; ++i) {
      auto x = r.item(i, 3);
      LogEntry e;
      e.term = x.number(), e.type = x.number(RAFT_CHANGE), e.data = x.bytes(kEntryMost);
      r.good = x.good && e.type >= RAFT_COMMAND;
      entries.push_back(std::move(e));
    }
  } else if (m.type == RAFT_IO_APPEND_ENTRIES_RESULT) {
    auto& a = m.append_entries_result;
    a.term = r.number(), a.rejected = r.number(), a.last_log_index = r.number();
  } else if (m.type == RAFT_IO_REQUEST_VOTE) {
    auto& v = m.request_vote;
    v.term = r.number(), v.candidate_id = r.number(), v.last_log_index = r.number(),
    v.last_log_term = r.number(), v.disrupt_leader = r.flag(), v.pre_vote = r.flag();
    // One that asks to be voted for although there is a leader was told so by it: we never do.
    r.good = r.good && v.candidate_id == raft_id_of(from) && !v.disrupt_leader;
  } else if (m.type == RAFT_IO_REQUEST_VOTE_RESULT) {
    auto& v = m.request_vote_result;
    v.term = r.number(), v.vote_granted = r.flag();
    v.pre_vote = static_cast<raft_tribool>(r.number(raft_tribool_false));
  } else if (m.type == RAFT_IO_INSTALL_SNAPSHOT) {
    auto& s = m.install_snapshot;
    s.term = r.number(), s.last_index = r.number(), s.last_term = r.number();
    snapshot.configuration = voters(cluster::Reader(r.next(), 2), r.good);
    snapshot.data = r.bytes(kSnapshotMost);
  } else {
    return false;
  }
  if (!head.good || !r.good) return false;
  if (m.type == RAFT_IO_APPEND_ENTRIES) {
    m.append_entries.entries = entries_of(entries);
    m.append_entries.n_entries = static_cast<unsigned>(entries.size());
  } else if (m.type == RAFT_IO_INSTALL_SNAPSHOT) {
    m.install_snapshot.conf = configuration_of(snapshot.configuration);
    m.install_snapshot.conf_index = snapshot.configuration.index;
    m.install_snapshot.data = {copied(snapshot.data), snapshot.data.size()};
  }
  confirm(from, echo_term, echo_sent);
  return true;
}

void Raft::receive(Time now, const std::string& from, std::string_view frame) {
  now_ = now;
  if (failed_) return;
  raft_message m{};
  Time sent = 0;
  if (!unpack(frame, from, m, sent)) return;
  m.server_id = raft_id_of(from), m.server_address = from.c_str();
  // Danger: a voter that has just started has forgotten which leader it has heard; it votes for
  // nobody until a leader that it had confirmed may no longer count on it.
  if (m.type == RAFT_IO_REQUEST_VOTE && now < begun_ + set_.election_timeout) return;
  if (m.type == RAFT_IO_REQUEST_VOTE && now < until_ &&
      std::pair<std::uint64_t, std::uint64_t>(m.request_vote.last_log_term,
                                              m.request_vote.last_log_index) < floor_)
    return;
  if (m.type == RAFT_IO_APPEND_ENTRIES_RESULT || m.type == RAFT_IO_REQUEST_VOTE_RESULT) {
    auto& [term, index] = acknowledged_[from];
    if (m.type == RAFT_IO_APPEND_ENTRIES_RESULT)
      term = std::max<std::uint64_t>(term, m.append_entries_result.term);
    else if (m.request_vote_result.pre_vote == raft_tribool_false)
      term = std::max<std::uint64_t>(term, m.request_vote_result.term);
    if (m.type == RAFT_IO_APPEND_ENTRIES_RESULT && !m.append_entries_result.rejected)
      index = std::max<std::uint64_t>(index, m.append_entries_result.last_log_index);
  }
  const bool leading_word = m.type == RAFT_IO_APPEND_ENTRIES || m.type == RAFT_IO_INSTALL_SNAPSHOT;
  const auto term = m.type == RAFT_IO_APPEND_ENTRIES     ? m.append_entries.term
                    : m.type == RAFT_IO_INSTALL_SNAPSHOT ? m.install_snapshot.term
                                                         : 0;
  if (leading_word && term >= raft_.current_term)
    heard_[from] = {term, sent};  // its answer repeats this
  recv_(&io_, &m);
  begin_term();
  release();
}

}  // namespace alderspur::consensus

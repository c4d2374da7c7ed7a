#include "cluster/membership.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace alderspur::cluster {
namespace {

constexpr int kDoubtMost = 8;
constexpr double kSpread = 3;       // times log2 of the members: how often a rumour is sent
constexpr Time kStall = 500'000;    // a Tick so late means that we stood still, not that others did
constexpr Time kLeaving = 500'000;  // for which our leaving is gossiped
constexpr std::size_t kQuestionsMost = 1024;
constexpr std::size_t kStorm =
    4 * kRumoursMost;  // news that wait: gossip would take seconds for them
constexpr Time kOwnPeriods =
    3;  // for which an unanswered question speaks: a rumour takes that long to come
constexpr int kCalls = 2;          // to a suspect, one an answer's time
constexpr double kHelpPart = 0.8;  // of the answer's time: then a helper says that it has none

bool usable(const Identity& who) {
  return !who.name.empty() && who.name.size() <= kWordMost && who.address.size() <= kWordMost &&
         who.point.size() <= kWordMost && who.version.size() <= kWordMost && who.epoch > 0;
}
bool is_there(State s) { return s == State::alive || s == State::suspect; }

}  // namespace

const char* word(State state) {
  constexpr const char* kWords[] = {"alive", "suspect", "failed", "left"};
  return kWords[static_cast<std::size_t>(state)];
}
const char* word(Whole whole) {
  constexpr const char* kWords[] = {"whole", "degraded", "cut", "alone"};
  return kWords[static_cast<std::size_t>(whole)];
}

bool overrides(const GossipUpdate& a, const GossipUpdate& b) {
  const auto rank = [](const GossipUpdate& r) {
    return std::tuple(r.identity.epoch, r.incarnation, r.state);
  };
  return rank(a) > rank(b);
}

Membership::Membership(const MembershipSettings& settings, Identity self, std::uint64_t seed)
    : set_(settings), self_(std::move(self)), random_(seed) {}

void Membership::handle(Time now, const Event& event, std::vector<Action>& actions) {
  out_ = &actions;
  now_ = std::max(now_, now);
  if (!out_of_it_) std::visit([this](const auto& e) { on(e); }, event);
  out_ = nullptr;
}

Time Membership::next() const {
  return out_of_it_ || timers_.empty() ? std::numeric_limits<Time>::max() : timers_.begin()->first;
}

std::uint64_t Membership::draw(std::uint64_t below) {
  return below < 2 ? 0 : std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random_);
}

void Membership::wake(Time in, Wake why, std::string name, std::uint64_t number) {
  timers_.emplace(now_ + std::max<Time>(1, in), Due{why, std::move(name), number});
}

// ---- Events

void Membership::on(const Start& e) {
  if (std::exchange(started_, true)) return;
  seeds_ = e.seeds;
  std::erase(seeds_, self_.address);
  std::shuffle(seeds_.begin(), seeds_.end(), random_);
  // A fleet that starts in one instant must not ask its seeds in one instant.
  wake(static_cast<Time>(draw(static_cast<std::uint64_t>(set_.period))), Wake::probe);
  wake(static_cast<Time>(draw(static_cast<std::uint64_t>(set_.gossip))), Wake::gossip);
  wake(static_cast<Time>(draw(static_cast<std::uint64_t>(set_.reach / 4))), Wake::reach);
  wake(set_.refresh + static_cast<Time>(draw(static_cast<std::uint64_t>(set_.refresh))),
       Wake::refresh);
  spread(myself());
}

void Membership::on(const Tick&) {
  if (timers_.empty()) return;
  // Danger: a process that was stopped finds all its questions unanswered at once, and would accuse
  // everybody.
  if (const Time late = now_ - timers_.begin()->first; late > kStall) {
    ++counts_.stalls;
    doubt(kDoubtMost);
    questions_.clear();
    std::multimap<Time, Due> later;
    for (auto& [at, d] : timers_) later.emplace(at + late, std::move(d));
    timers_ = std::move(later);
    for (auto& [name, m] : members_) m.verdict += m.verdict ? late : 0;
  }
  while (!timers_.empty() && timers_.begin()->first <= now_ && !out_of_it_) {
    const Due d = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    due(d);
  }
}

void Membership::due(const Due& d) {
  const auto m = members_.find(d.name);
  switch (d.why) {
    case Wake::probe:
      wake(set_.period * (1 + doubt_ / 2), Wake::probe);
      return probe();
    case Wake::help:
      return help(d.number);
    case Wake::verdict:
      return conclude(d.number);
    case Wake::gossip:
      wake(set_.gossip, Wake::gossip);
      return gossip();
    case Wake::reach:
      wake(set_.reach, Wake::reach);
      return reach();
    case Wake::refresh:
      wake(set_.refresh, Wake::refresh);
      return refresh();
    case Wake::suspicion:
      if (m != members_.end()) expire(m->second);
      return;
    case Wake::forget:
      if (m == members_.end() || is_there(m->second.seen.member.state)) return;
      if (now_ < m->second.seen.since + set_.forget) return;
      failed_ -= m->second.seen.member.state == State::failed;
      members_.erase(m);
      return;
    case Wake::nack:
      if (const auto q = questions_.find(d.number); q != questions_.end()) {
        send(q->second.for_address, message(Message::Kind::nack, q->second.for_number));
        if (const auto t = members_.find(q->second.name); t != members_.end())
          t->second.unanswered = now_;
        questions_.erase(q);
      }
      return;
    case Wake::left:
      out_of_it_ = true;
      act(Left{});
  }
}

void Membership::on(const Leave&) {
  if (std::exchange(leaving_, true)) return;
  spread(myself());
  gossip();
  wake(kLeaving, Wake::left);
}

void Membership::on(const Exchanged& e) {
  std::size_t n = 0;
  for (const auto& r : e.picture)
    if (++n <= kMembersMost) merge(r);
}

void Membership::on(const Received& e) {
  const Message& m = e.message;
  if (!usable(m.from) || m.rumours.size() > kRumoursMost) return void(++counts_.refused);
  if (m.from.name == self_.name) {
    if (m.from.epoch > self_.epoch)
      merge_self({m.from, m.incarnation, State::alive, {}});
    else if (m.from.epoch < self_.epoch) {
      ++counts_.conflicts;
      act(Conflict{m.from, self_});
      send(e.from, message(Message::Kind::gossip, 0), self_.name);
    }
    return;
  }
  // An answer proves its sender; whoever asks from nowhere is asked back first.
  if (m.kind == Message::Kind::ack) answered(m);
  meet(m, e.from);
  // Danger: what somebody says who may be dead, in a message kept from his life, would revive
  // others that are.
  const auto sender = members_.find(m.from.name);
  if (sender != members_.end() && sender->second.seen.member.identity.epoch == m.from.epoch)
    for (const auto& r : m.rumours)
      if (!out_of_it_) merge(r);
  if (out_of_it_) return;
  const bool for_us =
      m.to.empty() || (m.to == self_.name && (!m.to_epoch || m.to_epoch == self_.epoch));
  if (m.kind == Message::Kind::ping && for_us)
    send(e.from, message(Message::Kind::ack, m.number), m.from.name);
  if (m.kind == Message::Kind::nack)
    if (const auto q = questions_.find(m.number); q != questions_.end()) ++q->second.nacks;
  if (m.kind != Message::Kind::ask || questions_.size() >= kQuestionsMost ||
      m.target.size() > kWordMost)
    return;
  const auto number = ask(m.target, m.target_epoch, m.target_address, false);
  Question& q = questions_[number];
  q.for_address = e.from, q.for_number = m.number;
  wake(static_cast<Time>(kHelpPart * static_cast<double>(set_.answer)), Wake::nack, {}, number);
}

// ---- Probing

GossipUpdate Membership::myself() const {
  return {self_, incarnation_, leaving_ ? State::left : State::alive, {}};
}

Message Membership::message(Message::Kind kind, std::uint64_t number) const {
  Message m;
  m.kind = kind;
  m.number = number;
  m.from = self_;
  m.incarnation = incarnation_;
  return m;
}

void Membership::send(const std::string& address, Message m, const std::string& about) {
  if (address.empty()) return;
  pick(m.rumours, about);
  act(Send{address, std::move(m)});
}

std::uint64_t Membership::ask(const std::string& name, std::uint64_t epoch,
                              const std::string& address, bool periodic) {
  const std::uint64_t number = random_();
  Question& q = questions_[number];
  q.name = name, q.epoch = epoch, q.periodic = periodic;
  Message m = message(Message::Kind::ping, number);
  m.to = name, m.to_epoch = epoch;
  ++counts_.pings;
  send(address, std::move(m), name);
  return number;
}

void Membership::probe() {
  if (order_.empty() || leaving_) return;
  if (at_ >= order_.size()) {
    at_ = 0;
    std::shuffle(order_.begin(), order_.end(), random_);
    for (std::size_t i = 0; i < order_.size(); ++i) order_[i]->place = i;
  }
  const Identity who = order_[at_++]->seen.member.identity;
  const auto number = ask(who.name, who.epoch, who.address, true);
  wake(set_.answer * (1 + doubt_), Wake::help, {}, number);
}

void Membership::help(std::uint64_t number) {
  const auto q = questions_.find(number);
  if (q == questions_.end()) return;
  const auto target = members_.find(q->second.name);
  if (target == members_.end()) return void(questions_.erase(q));
  const Identity& who = target->second.seen.member.identity;
  // Once more ourselves too: of a message and its answer a third is lost where a fifth of all
  // messages is, and each suspicion that need not be takes the place of other news.
  Message again = message(Message::Kind::ping, number);
  again.to = who.name, again.to_epoch = q->second.epoch;
  send(who.address, std::move(again), who.name);
  for (Member* h : some(set_.helpers, q->second.name)) {
    Message m = message(Message::Kind::ask, number);
    m.to = h->seen.member.identity.name, m.to_epoch = h->seen.member.identity.epoch;
    m.target = q->second.name, m.target_epoch = q->second.epoch;
    m.target_address = who.address;
    ++q->second.helpers, ++counts_.asks;
    send(h->seen.member.identity.address, std::move(m));
  }
  const Time rest = std::max(set_.answer, set_.period - set_.answer);
  wake(rest * (1 + doubt_), Wake::verdict, {}, number);
}

void Membership::conclude(std::uint64_t number) {
  const auto it = questions_.find(number);
  if (it == questions_.end()) return;
  const Question q = it->second;
  questions_.erase(it);
  if (!q.periodic) return;  // whoever was reached out for is not there: nothing new
  // Helpers that do not even say that they have nothing: the fault may be ours.
  if (q.helpers > 0 && q.nacks < q.helpers) doubt(q.nacks == 0 ? 1 : 0);
  const auto m = members_.find(q.name);
  if (m != members_.end() && m->second.seen.member.identity.epoch == q.epoch) suspect(q.name);
}

void Membership::answered(const Message& m) {
  const auto it = questions_.find(m.number);
  if (it == questions_.end()) return;
  const Question q = it->second;
  // A helper passes the target's answer on under its own name and our number.
  const bool helped = m.target == q.name && m.from.name != q.name;
  if (!helped && !q.name.empty() && m.from.name != q.name)
    return;  // somebody else is at that address now
  questions_.erase(it);
  if (!q.for_address.empty()) {
    Message ack = message(Message::Kind::ack, q.for_number);
    ack.target = q.name;
    return send(q.for_address, std::move(ack));
  }
  if (q.periodic) doubt(-1);
  if (helped) return;
  // It is there now, as whoever it says: an unknown one or a new start comes in here.
  const GossipUpdate r{m.from, m.incarnation, State::alive, {}};
  const auto known = members_.find(m.from.name);
  const bool back = known != members_.end() && !is_there(known->second.seen.member.state);
  if (known == members_.end() || overrides(r, known->second.seen.member)) merge(r);
  // Two sides of a cut that finds its end know little of each other: one whole picture each way.
  if (back && !q.periodic && now_ >= exchanged_ + set_.reach)
    exchanged_ = now_, act(Exchange{m.from.address});
}

void Membership::meet(const Message& m, const std::string& from) {
  const auto it = members_.find(m.from.name);
  if (it != members_.end() && it->second.seen.member.identity.epoch == m.from.epoch) {
    it->second.seen.heard = now_;
    return;
  }
  if (it != members_.end() && it->second.seen.member.identity.epoch > m.from.epoch) {
    ++counts_.conflicts;
    act(Conflict{m.from, it->second.seen.member.identity});
    return send(from, message(Message::Kind::gossip, 0), m.from.name);
  }
  if (questions_.size() < kQuestionsMost && m.kind != Message::Kind::ack) {
    const auto number = ask(m.from.name, m.from.epoch, from, false);
    wake(set_.period, Wake::verdict, {}, number);  // only forgets the question: it is no member
  }
}

// ---- News

void Membership::merge(const GossipUpdate& r) {
  if (!usable(r.identity) || r.by.size() > kWordMost) return void(++counts_.refused);
  if (r.identity.name == self_.name) return merge_self(r);
  const auto it = members_.find(r.identity.name);
  if (it == members_.end()) {
    // Danger: kept anew by each who had forgotten it, what is long dead would be told of for ever.
    if (!is_there(r.state)) return;
    if (members_.size() >= kMembersMost) return void(++counts_.refused);
    return take(r);
  }
  Member& m = it->second;
  if (overrides(r, m.seen.member)) return take(r);
  const bool same = r.identity.epoch == m.seen.member.identity.epoch &&
                    r.incarnation == m.seen.member.incarnation;
  if (same && r.state == State::suspect && m.seen.member.state == State::suspect) confirm(m, r);
}

void Membership::merge_self(const GossipUpdate& r) {
  if (r.identity.epoch > self_.epoch && is_there(r.state)) {
    out_of_it_ = true;
    return act(Superseded{r.identity});
  }
  // A former self, started by a clock that was ahead and dead since: we come after it.
  if (r.identity.epoch > self_.epoch) {
    self_.epoch = r.identity.epoch + 1, incarnation_ = 1;
    return spread(myself());
  }
  if (r.identity.epoch < self_.epoch || r.state == State::alive || leaving_ ||
      r.incarnation < incarnation_)
    return;
  // We are accused, or held for gone: said to be wrong, and a reason to doubt our own speed.
  incarnation_ = r.incarnation + 1;
  ++counts_.refutations;
  if (r.state == State::suspect) doubt(1);
  spread(myself());
}

void Membership::take(const GossipUpdate& r) {
  const auto [it, fresh] = members_.try_emplace(r.identity.name);
  Member& m = it->second;
  const auto before = fresh ? std::nullopt : std::optional(m.seen.member.state);
  const bool new_start = !fresh && m.seen.member.identity.epoch != r.identity.epoch;
  // Held for there a moment ago, and now started elsewhere: two processes, or a move that nobody
  // announced.
  if (new_start && is_there(*before) && m.seen.member.identity.address != r.identity.address) {
    ++counts_.conflicts;
    act(Conflict{m.seen.member.identity, r.identity});
  }
  if (before && is_there(*before)) strike(m);
  failed_ -= before == State::failed;
  suspects_ -= before == State::suspect;
  if (!before || *before != r.state || new_start) m.seen.since = now_;
  m.seen.member = r;
  m.suspecters.clear();
  m.verdict = 0;
  if (is_there(r.state)) enlist(m);
  failed_ += r.state == State::failed;
  suspects_ += r.state == State::suspect;
  if (!is_there(r.state)) wake(set_.forget + 1, Wake::forget, r.identity.name);
  if (r.state == State::suspect) {
    m.suspected = now_;
    m.suspecters.insert(r.by);
    m.verdict = now_ + patience(m);
    m.called = 0, m.calls = 0;
    // Without an answer to us either, when we were asked for help: that is a suspicion of our own.
    const bool ours =
        m.unanswered > m.seen.heard && now_ < m.unanswered + kOwnPeriods * set_.period;
    if (ours && m.suspecters.insert(self_.name).second) {
      m.verdict = m.suspected + patience(m);
      m.seen.member.by = self_.name;
    }
    await(m);
  }
  spread(m.seen.member);
  if (before != r.state || new_start) act(Changed{r, before});
}

// Every independent suspicion shortens the time that is left, and is passed on until there are
// enough.
void Membership::confirm(Member& m, const GossipUpdate& r) {
  if (m.suspecters.size() > set_.helpers || !m.suspecters.insert(r.by).second) return;
  m.verdict = m.suspected + patience(m);
  await(m);
  spread(r);
}

Time Membership::patience(const Member& m) const {
  const double others = std::min(static_cast<double>(set_.helpers),
                                 static_cast<double>(order_.size() > 1 ? order_.size() - 1 : 0));
  const double heard = static_cast<double>(m.suspecters.empty() ? 0 : m.suspecters.size() - 1);
  const double part = others < 1 ? 1 : std::min(1.0, std::log(heard + 1) / std::log(others + 1));
  return set_.suspicion_most -
         static_cast<Time>(part * static_cast<double>(set_.suspicion_most - set_.suspicion_least));
}

void Membership::suspect(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end() || !is_there(it->second.seen.member.state)) return;
  GossipUpdate r = it->second.seen.member;
  const bool already = r.state == State::suspect;
  r.state = State::suspect;
  r.by = self_.name;
  ++counts_.suspicions;
  already ? confirm(it->second, r) : take(r);
}

// Danger: where a fifth of all messages is lost, a refutation may not reach everybody in time.
// Towards the end of a suspicion each that holds it asks the suspect, which costs a member two
// messages a death.
void Membership::await(const Member& m) {
  wake(m.verdict - kCalls * set_.answer - now_, Wake::suspicion, m.seen.member.identity.name);
}

void Membership::expire(Member& m) {
  const auto& name = m.seen.member.identity.name;
  if (m.seen.member.state != State::suspect || !m.verdict) return;
  if (now_ < m.verdict - kCalls * set_.answer) return await(m);
  if (m.called && now_ < m.called + set_.answer)
    return wake(m.called + set_.answer - now_, Wake::suspicion, name);
  if (m.calls < kCalls) {
    ++m.calls, m.called = now_;
    call(m.seen.member.identity, m.seen.member.identity.epoch);
    return wake(set_.answer, Wake::suspicion, name);
  }
  if (now_ < m.verdict) return wake(m.verdict - now_, Wake::suspicion, name);
  GossipUpdate r = m.seen.member;
  r.state = State::failed;
  r.by = self_.name;
  ++counts_.failures;
  take(r);
}

// A question outside of the periodic probes: no answer means nothing new.
void Membership::call(const Identity& who, std::uint64_t epoch) {
  const auto number = ask(who.name, epoch, who.address, false);
  wake(set_.period, Wake::verdict, {}, number);
}

void Membership::doubt(int by) { doubt_ = std::clamp(doubt_ + by, 0, kDoubtMost); }

// ---- Gossip

void Membership::spread(const GossipUpdate& r) {
  auto& n = news_[r.identity.name];
  fresh_.erase({n.sent, r.identity.name});
  n.rumour = r;
  n.sent = 0;
  fresh_.insert({0, r.identity.name});
}

// `about` first: whoever is held for suspect or gone must hear it from us to refute it.
void Membership::pick(std::vector<GossipUpdate>& into, const std::string& about) {
  if (!about.empty()) {
    const auto m = members_.find(about);
    if (m != members_.end() && m->second.seen.member.state != State::alive)
      into.push_back(m->second.seen.member);
    else if (m != members_.end() || about == self_.name)
      into.push_back(myself());
  }
  const auto most =
      static_cast<std::size_t>(kSpread * std::ceil(std::log2(static_cast<double>(there() + 2))));
  std::vector<std::pair<std::size_t, std::string>>
      taken;  // first, since what is sent comes back behind the others
  for (auto f = fresh_.begin(); f != fresh_.end() && into.size() + taken.size() < kRumoursMost; ++f)
    taken.push_back(*f);
  for (const auto& [sent, name] : taken) {
    fresh_.erase({sent, name});
    const auto n = news_.find(name);
    into.push_back(n->second.rumour);
    n->second.sent = sent + 1;
    if (n->second.sent >= most)
      news_.erase(n);
    else
      fresh_.insert({sent + 1, name});
  }
}

void Membership::gossip() {
  for (std::size_t i = 0; i < set_.fanout && !fresh_.empty(); ++i) {
    const auto peers = some(1, {});
    if (peers.empty()) return;
    ++counts_.gossips;
    send(peers[0]->seen.member.identity.address, message(Message::Kind::gossip, 0));
  }
}

// News are lost now and then: a few of what is known, new or not, to one other, in turn through
// all.
void Membership::refresh() {
  const auto peers = some(1, {});
  if (peers.empty()) return;
  Message m = message(Message::Kind::gossip, 0);
  auto it = members_.upper_bound(refreshed_);
  for (std::size_t i = 0; i < kRumoursMost && i < members_.size(); ++i, ++it) {
    if (it == members_.end()) it = members_.begin();
    m.rumours.push_back(it->second.seen.member);
    refreshed_ = it->first;
  }
  act(Send{peers[0]->seen.member.identity.address, std::move(m)});
  // Danger: hundreds that start at once, or two halves that meet, have hundreds of news, six a
  // message.
  if (fresh_.size() <= kStorm || now_ < exchanged_ + set_.reach) return;
  exchanged_ = now_;
  act(Exchange{peers[0]->seen.member.identity.address});
}

// Nobody probes the failed: without this two halves of a fleet would never find each other again.
void Membership::reach() {
  if (leaving_) return;
  if (!seeds_.empty() && (order_.empty() || draw(5) == 0)) {
    const auto& seed = seeds_[asked_seed_++ % seeds_.size()];
    if (!at_addresses_.contains(seed)) act(Exchange{seed});
  }
  if (failed_ == 0) return;
  // From a drawn place on, the next failed one: a bounded walk.
  auto it = members_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(draw(members_.size())));
  for (std::size_t i = 0; i < 64 && i < members_.size(); ++i, ++it) {
    if (it == members_.end()) it = members_.begin();
    const auto& r = it->second.seen.member;
    if (r.state != State::failed) continue;
    return call(r.identity, 0);
  }
}

// ---- The list

std::vector<Membership::Member*> Membership::some(std::size_t n, const std::string& but) {
  std::vector<Member*> out;
  for (std::size_t tries = 0; tries < 3 * n + 3 && out.size() < n && !order_.empty(); ++tries) {
    Member* m = order_[draw(order_.size())];
    if (m->seen.member.identity.name != but && std::find(out.begin(), out.end(), m) == out.end())
      out.push_back(m);
  }
  return out;
}

// A new one comes to a place drawn, so that a wave of them is not probed in the order of its
// coming.
void Membership::enlist(Member& m) {
  at_addresses_.insert(m.seen.member.identity.address);
  m.place = order_.size();
  order_.push_back(&m);
  const std::size_t to = draw(order_.size());
  std::swap(order_[to], order_[m.place]);
  order_[m.place]->place = m.place;
  m.place = to;
}
void Membership::strike(Member& m) {
  at_addresses_.erase(at_addresses_.find(m.seen.member.identity.address));
  order_.back()->place = m.place;
  std::swap(order_[m.place], order_.back());
  order_.pop_back();
}

std::vector<GossipUpdate> Membership::picture() const {
  std::vector<GossipUpdate> out{myself()};
  for (const auto& [name, m] : members_) out.push_back(m.seen.member);
  return out;
}
std::vector<Seen> Membership::members() const {
  std::vector<Seen> out;
  for (const auto& [name, m] : members_) out.push_back(m.seen);
  return out;
}
const Seen* Membership::find(std::string_view name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second.seen;
}

Whole Membership::whole() const {
  if (order_.empty()) return failed_ == 0 && seeds_.empty() ? Whole::whole : Whole::alone;
  if ((there() + 1) * 2 < known() + 1) return Whole::cut;
  return failed_ > 0 || suspects_ > 0 ? Whole::degraded : Whole::whole;
}

}  // namespace alderspur::cluster

// The router's part; voter.cpp has the voter's.
#include "consensus/consensus_node.h"

#include <algorithm>
#include <limits>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

constexpr Time kFetchTime = 400'000, kMineAgain = 150'000, kMineMost = 20'000'000, kSoon = 20'000,
               kWriteAgain = 500'000;

}  // namespace

const char* role_name(NodeRole part) {
  constexpr const char* kWords[] = {"follower", "asking", "learner", "voter"};
  return kWords[static_cast<std::size_t>(part)];
}

std::string encode(const PersistedState& k) {
  cluster::Packer p;
  p.array(4).number(1);
  pack(p, k.current), pack(p, k.accepted), pack(p, k.voters);
  return p.take();
}
std::optional<PersistedState> decode_persisted_state(std::string_view bytes) {
  const cluster::Unpacked u(bytes);
  if (!u.good) return {};
  cluster::Reader r(u.m.data, 4);
  PersistedState k;
  if (r.number() != 1) return {};
  k.current = version(cluster::Reader(r.next(), 6), r.good);
  k.accepted = maybe_version(r), k.voters = names(r);
  return r.good ? std::optional(std::move(k)) : std::nullopt;
}

ConsensusNode::ConsensusNode(ConsensusSettings settings, std::uint64_t seed)
    : set_(std::move(settings)), random_(seed), book_(set_.lease) {}
ConsensusNode::~ConsensusNode() = default;

void ConsensusNode::handle(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  out_ = &actions;
  std::visit([this](const auto& e) { on(e); }, event);
  if (begun_) turn();
  out_ = nullptr;
}

// What has become due, and what follows from the event.
void ConsensusNode::turn() {
  for (int i = 0; i < 8; ++i) {
    if (raft_ && now_ >= raft_->next_tick()) raft_->tick(now_);
    if (part_ != NodeRole::follower) begin_voting();
    follow_ledger();
    lead();
    move_on();
    if (now_ >= renew_at_) renew();
    fetch();
    write_again();
    push_mine();
    if (own_.empty()) break;
    const auto frames = std::exchange(own_, {});
    for (const auto& [from, bytes] : frames) on(MessageReceived{from, bytes});
  }
  sweep();
  keep();
  show();
}

Time ConsensusNode::next_deadline() const {
  if (!begun_) return std::numeric_limits<Time>::max();
  Time out = std::max(renew_at_, now_);
  if (raft_) out = std::min(out, raft_->next_tick());
  if (fetch_) out = std::min(out, fetch_->until);
  if (!nudges_.empty()) out = std::min(out, nudge_at_);
  if (lease_until_ > now_) out = std::min(out, lease_until_);
  if (part_ == NodeRole::joining) out = std::min(out, inquire_at_);
  if (part_ == NodeRole::learner && reset_at_ > now_) out = std::min(out, reset_at_);
  for (const auto& m : mine_) out = std::min(out, std::min(m.again, m.until));
  for (const auto& [digest, item] : items_)
    if (item.write_at) out = std::min(out, item.write_at);
  return std::max(out, now_);
}

void ConsensusNode::on(const Start& e) {
  begun_ = true;
  kept_ = told_kept_ = e.state;
  if (kept_.voters.empty()) kept_.voters = set_.voters;
  for (const auto& [digest, bytes] : e.contents) {
    auto content = decode_content(bytes);
    if (!content || content_digest(bytes) != digest) continue;
    items_[digest] = {bytes, std::make_shared<const Content>(std::move(*content)), true, true, true,
                      {}};
  }
  target_ = kept_.current;
  if (const auto it = items_.find(target_.digest); it != items_.end())
    acting_.version = target_, acting_.content = it->second.content;
  else if (target_.number)
    report("content_lost",
           "the content of version " + std::to_string(target_.number) + " is not on the disk");
  saved_ = e.log, no_disk_ = e.has_no_disk;
  renew_at_ = now_;
  if (!to_vote(set_.name)) return;
  part_ = NodeRole::joining, asking_since_ = inquire_at_ = now_;
  if (e.is_log_corrupt) spoilt("the disk holds a log that cannot be believed");
}

void ConsensusNode::on(const MessageReceived& e) {
  auto m = decode_message(e.bytes);
  if (!m || !begun_) return;
  std::visit([&](auto& x) { take(e.from, x); }, *m);
}
void ConsensusNode::on(const PeersChanged& e) {
  others_ = e.names;
  std::erase(others_, set_.name);
}
void ConsensusNode::on(const LoadMeasured& e) { weight_ = e.request_rate, bad_ = e.failure_ratio; }
void ConsensusNode::on(const TimerFired&) {}

void ConsensusNode::send(const std::string& to, const Message& m) {
  if (to == set_.name)
    own_.emplace_back(to, encode(m));
  else
    act(SendMessage{to, encode(m)});
}

// ---- Lease

bool ConsensusNode::fit(const Version& v) const {
  const auto it = items_.find(v.digest);
  return v.number && it != items_.end() && it->second.fit();
}

LeaseRequest ConsensusNode::standing() const {
  LeaseRequest r;
  r.epoch = set_.epoch, r.sent_at = now_, r.active_number = acting_.version.number;
  for (const Version* v :
       {&acting_.version, static_cast<const Version*>(&target_), pending_ ? &*pending_ : nullptr})
    if (v && fit(*v)) r.stored_number = std::max(r.stored_number, v->number);
  r.rejected_number = refused_, r.rejection_reason = refused_why_, r.last_grant_id = grant_;
  if (leased()) r.total_share = share_all_, r.location_share = share_point_;
  r.request_rate = weight_, r.failure_ratio = bad_, r.protocol_version = set_.protocol_version,
  r.location = set_.location;
  if (part_ == NodeRole::learner && cleared_) r.learner_id = learner_;
  // Until it sees itself among them: the leader that let it in may be gone.
  if (part_ == NodeRole::voter && learner_ && raft_ && !raft_->has_server(set_.name))
    r.learner_id = learner_;
  return r;
}

void ConsensusNode::follow(const std::string& leader) {
  if (leader != leader_) leader_forms_.reset();
  leader_ = leader;
}

void ConsensusNode::renew() {
  renew_at_ = now_ + set_.renew_interval;
  const auto& voters = desired();
  if (voters.empty()) return;
  if (now_ > heard_at_ + 2 * set_.renew_interval + kSoon)
    follow("");  // it may be gone: ask them all in turn
  if (is_leader(now_)) follow(set_.name);
  const auto& to = leader_.empty() ? voters[voter_at_++ % voters.size()] : leader_;
  asked_.insert(now_);
  while (asked_.size() > 8) asked_.erase(asked_.begin());
  send(to, standing());
  if (!leased()) ask_around();
}

void ConsensusNode::ask_around() {
  if (!others_.empty()) send(others_[random_() % others_.size()], VersionQuery{});
}
void ConsensusNode::take(const std::string& from, VersionQuery&) {
  VersionNews t{target_, {}};
  if (kept_.accepted) t.accepted = kept_.accepted;
  send(from, t);
}
void ConsensusNode::take(const std::string&, VersionNews& m) {
  hear(m.current, true);
  if (m.accepted) hear(*m.accepted, false);
}

bool ConsensusNode::among_first(const Version& v, const std::string& name) {
  return std::find(v.canary.routers.begin(), v.canary.routers.end(), name) !=
         v.canary.routers.end();
}

// Danger: news may come late or in any order; a number never goes back. And what is on trial
// elsewhere holds for nobody else, whoever tells of it.
void ConsensusNode::hear(const Version& v, bool in_force) {
  if (v.canary && !first(v)) return;
  if (in_force && v.number == target_.number && target_.canary &&
      !v.canary) {  // it holds for all now
    target_ = v;
    if (acting_.version.number == v.number) acting_.version = kept_.current = v;
  }
  if (in_force && v.number > target_.number) target_ = v;
  if (!in_force && v.number > target_.number &&
      (!kept_.accepted || v.number > kept_.accepted->number))
    kept_.accepted = v;
}

void ConsensusNode::take(const std::string& from, Redirect& m) {
  if (from != leader_ && !leader_.empty()) return;
  follow(m.leader == from ? "" : m.leader);
  if (!leader_.empty()) heard_at_ = now_, renew_soon(kSoon);
}

void ConsensusNode::take(const std::string&, RenewHint&) { renew_soon(); }

void ConsensusNode::take(const std::string& from, LeaseGrant& m) {
  // Danger: an answer to an earlier process of this name, or one overtaken by a later, is none.
  if (m.id <= grant_ || asked_.erase(m.sent_at) == 0) return;
  grant_ = m.id, leader_ = from, heard_at_ = now_, leader_forms_ = m.protocol_version;
  if (!m.voters.empty()) kept_.voters = m.voters;
  among_ = m.is_member;
  hear(m.current, true);
  pending_ = m.pending, pending_agreed_ = m.is_pending_accepted;
  if (m.pending && m.is_pending_accepted) hear(*m.pending, false);
  if (part_ == NodeRole::learner && cleared_ && m.admitted_learner_id == learner_ && learner_)
    report("readmitted", "as a learner with an empty log"), begin_raft({}, {});
  move_on();
  const bool holds = acting_.version.number == m.current.number;
  const Time until = holds ? m.sent_at + m.duration : 0;
  lease_until_ = until > now_ ? until : 0;
  share_all_ = m.total_share, share_point_ = m.location_share;
  if (holds && m.duration == 0) renew_soon(kSoon);  // it learns now that we hold it
}

// ---- Contents

void ConsensusNode::want(const Version& v) {
  if (!v.number || items_.contains(v.digest)) return;
  if (fetch_ && fetch_->digest == v.digest) return;
  if (fetch_ && v.number != target_.number) return;  // what is in force comes first
  fetch_ = Fetch{v.digest, {}, v.content_size, static_cast<std::size_t>(random_() % 4), 0};
}

void ConsensusNode::fetch() {
  want(target_);
  if (pending_) want(*pending_);
  if (kept_.accepted) want(*kept_.accepted);
  if (!fetch_ || now_ < fetch_->until) return;
  fetch_->until = now_ + kFetchTime;
  std::vector<std::string> sources;
  const auto add = [&](const std::string& name) {
    if (!name.empty() && name != set_.name &&
        std::find(sources.begin(), sources.end(), name) == sources.end())
      sources.push_back(name);
  };
  add(leader_);
  for (const auto& v : desired()) add(v);
  for (int i = 0; i < 2 && !others_.empty(); ++i) add(others_[random_() % others_.size()]);
  if (pending_) add(pending_->author);
  if (!sources.empty())
    send(sources[fetch_->source++ % sources.size()],
         FetchRequest{fetch_->digest, fetch_->bytes.size()});
}

void ConsensusNode::take(const std::string& from, FetchRequest& m) {
  const auto it = items_.find(m.digest);
  ContentChunk c{m.digest, m.offset, 0, {}};
  if (it != items_.end() && m.offset < it->second.bytes.size())
    c.total_size = it->second.bytes.size(),
    c.bytes = it->second.bytes.substr(m.offset, kMaxChunkBytes);
  send(from, c);
}

void ConsensusNode::take(const std::string& from, ContentChunk& m) {
  if (!fetch_ || m.digest != fetch_->digest || m.offset != fetch_->bytes.size()) return;
  if (m.total_size == 0)
    return void(fetch_->until = std::min(fetch_->until, now_ + kSoon));  // the next source
  fetch_->bytes += m.bytes;
  if (fetch_->bytes.size() < m.total_size && fetch_->bytes.size() <= kMaxContentBytes) {
    fetch_->until = now_ + kFetchTime;
    return send(from, FetchRequest{m.digest, fetch_->bytes.size()});
  }
  const auto digest = fetch_->digest;
  auto bytes = std::move(fetch_->bytes);
  fetch_.reset();
  if (content_digest(bytes) != digest)
    return report("content_spoilt", "from " + from);  // asked for again
  arrived(digest, std::move(bytes));
}

void ConsensusNode::arrived(const std::string& digest, std::string bytes) {
  auto content = decode_content(bytes);
  Item& item = items_[digest];
  if (item.content || item.checked) return;
  item.bytes = std::move(bytes);
  if (!content) {  // by a program that knows another form
    item.checked = true, item.reason = "of a form that this program does not know";
    return judge(digest);
  }
  item.content = std::make_shared<const Content>(std::move(*content));
  act(WriteContent{digest, item.bytes});
  act(CheckContent{digest, item.content});
}

void ConsensusNode::on(const ContentWritten& e) {
  const auto it = items_.find(e.digest);
  if (it == items_.end()) return;
  it->second.written = e.is_ok;
  // Danger: a full disk says no at once; written again as fast, it would take the process's time
  // for nothing.
  if (!e.is_ok && it->second.write_at == 0) report("not_kept", "a content did not reach the disk");
  it->second.write_at = e.is_ok ? 0 : now_ + kWriteAgain;
  judge(e.digest);
}
void ConsensusNode::write_again() {
  for (auto& [digest, item] : items_) {  // a few
    if (!item.write_at || now_ < item.write_at) continue;
    item.write_at = std::numeric_limits<Time>::max();  // until the disk has answered
    act(WriteContent{digest, item.bytes});
  }
}
void ConsensusNode::on(const ContentChecked& e) {
  const auto it = items_.find(e.digest);
  if (it == items_.end()) return;
  it->second.checked = true, it->second.good = e.is_valid,
  it->second.reason = to_printable(e.reason, kMaxNoteLength);
  judge(e.digest);
}

void ConsensusNode::judge(const std::string& digest) {
  const Item& item = items_[digest];
  const auto concerns = [&](const Version* v) { return v && v->number && v->digest == digest; };
  const Version* v = concerns(pending_ ? &*pending_ : nullptr) ? &*pending_
                     : concerns(&target_)                      ? &target_
                                                               : nullptr;
  if (!v) return;
  if (item.checked && !item.good && refused_ != v->number) {
    refused_ = v->number, refused_why_ = item.reason;
    report("refused", "version " + std::to_string(v->number) + ": " + item.reason);
  }
  renew_soon();  // the leader waits to hear it
}

// Nobody needs the others any more. Only under a lease: a start has yet to hear what was agreed.
void ConsensusNode::sweep() {
  if (items_.size() <= kMaxStoredContents || !leased()) return;
  const auto used = [&](const std::string& d) {
    return d == acting_.version.digest || d == target_.digest ||
           (pending_ && d == pending_->digest) || (kept_.accepted && d == kept_.accepted->digest) ||
           std::any_of(mine_.begin(), mine_.end(),
                       [&](const Mine& m) { return m.propose.version.digest == d; });
  };
  for (auto it = items_.begin(); it != items_.end() && items_.size() > kMaxStoredContents;) {
    if (used(it->first))
      ++it;
    else
      act(DeleteContent{it->first}), it = items_.erase(it);
  }
}

// ---- Acting

void ConsensusNode::move_on() {
  if (target_.number <= acting_.version.number || !fit(target_)) return;
  acting_.version = target_, acting_.content = items_[target_.digest].content;
  kept_.current = target_;
  if (kept_.accepted && kept_.accepted->number <= target_.number) kept_.accepted.reset();
  if (pending_ && pending_->number <= target_.number) pending_.reset();
  lease_until_ = 0;  // that was on the older one
  renew_soon();
}

void ConsensusNode::show() {
  acting_.is_conservative = !leased();
  acting_.newer_contents.clear();
  if (acting_.is_conservative) {
    const auto unite = [&](const Version& v) {
      const auto it = items_.find(v.digest);
      if (v.number > acting_.version.number && it != items_.end() && it->second.content)
        acting_.newer_contents.push_back(it->second.content);
    };
    unite(target_);
    if (kept_.accepted && kept_.accepted->number != target_.number) unite(*kept_.accepted);
  }
  acting_.total_share = acting_.is_conservative ? 0 : share_all_;
  acting_.location_share = acting_.is_conservative ? 0 : share_point_;
  if (acting_ == shown_) return;
  shown_ = acting_;
  act(Activate{acting_});
}

void ConsensusNode::keep() {
  if (kept_ == told_kept_) return;
  told_kept_ = kept_;
  act(PersistState{kept_});
}

ContentPtr ConsensusNode::content(std::uint64_t number) const {
  const auto of = [&](const Version& v) -> ContentPtr {
    const auto it = items_.find(v.digest);
    return v.number == number && it != items_.end() ? it->second.content : nullptr;
  };
  if (auto c = of(acting_.version)) return c;
  if (pending_)
    if (auto c = of(*pending_)) return c;
  for (const auto& past : ledger_.history())
    if (auto c = of(past.version)) return c;
  return of(target_);
}

// ---- Proposals of this router's operator

void ConsensusNode::on(const OperatorProposal& e) {
  const auto no = [&](std::string text) {
    act(ProposalFinished{{e.nonce, false, true, 0, std::move(text)}});
  };
  if (mine_.size() >= kMaxOpenProposals) return no("too many proposals are under way here");
  Mine m;
  m.propose.nonce = e.nonce;
  m.until = now_ + kMineMost, m.again = now_;
  if (!e.voters.empty()) {
    m.propose.voters = e.voters;
    if (e.voters.size() > kMaxVoters || e.voters.size() % 2 == 0)
      return no("take 1, 3, 5 or 7 voters");
  } else if (e.canary_decision) {
    m.verdict = e.canary_decision, m.verdict->nonce = e.nonce;
  } else {
    if (e.content.empty() || e.content.size() > kMaxDocuments)
      return no("a content has 1 to 64 documents");
    auto bytes = encode(e.content);
    if (bytes.size() > kMaxContentBytes) return no("over 16 MB");
    const auto& t = e.canary;
    if (t.routers.size() > kMaxVoters) return no("a trial has 7 first routers at most");
    if (t && (t.duration <= 0 || t.duration > kMaxCanaryDuration))
      return no("a trial takes a second to a day");
    auto& v = m.propose.version;
    v.digest = content_digest(bytes), v.content_size = bytes.size();
    v.author = to_printable(e.author.empty() ? set_.name : e.author, cluster::kWordMost);
    v.note = to_printable(e.note, kMaxNoteLength);
    v.canary = e.canary;
    v.base_number = e.base_number.value_or(
        std::max({target_.number, kept_.accepted ? kept_.accepted->number : 0, settled_}));
    if (!items_.contains(v.digest)) arrived(v.digest, std::move(bytes));
  }
  mine_.push_back(std::move(m));
}

void ConsensusNode::push_mine() {
  for (auto it = mine_.begin(); it != mine_.end();) {
    const auto& v = it->propose.version;
    const auto item = items_.find(v.digest);
    ProposalResult s{it->propose.nonce, false, true, 0, {}};
    const bool content = it->propose.voters.empty() && !it->verdict;
    if (content && item != items_.end() && item->second.checked && !item->second.good)
      s.reason = "refused here: " + item->second.reason;
    else if (now_ >= it->until)
      s.reason =
          "no answer from the voters; it may still come into force, ask which versions there are";
    // Danger: to a leader of an earlier program it would be a version like any other, and hold for
    // all.
    if (v.canary && leader_forms_ && *leader_forms_ < 1)
      s.reason = "the program of " + leader_ + ", which leads, knows no trials";
    if (!s.reason.empty()) {
      act(ProposalFinished{s});
      it = mine_.erase(it);
      continue;
    }
    const bool ready = !content || (item != items_.end() && item->second.fit());
    if (now_ >= it->again) {
      it->again = now_ + kMineAgain;
      const auto& voters = desired();
      const auto to = !leader_.empty() ? leader_
                      : voters.empty() ? ""
                                       : voters[random_() % voters.size()];
      const bool may = !v.canary || leader_forms_;
      if (ready && may && !to.empty()) it->verdict ? send(to, *it->verdict) : send(to, it->propose);
    }
    ++it;
  }
}

void ConsensusNode::take(const std::string&, ProposeResponse& m) {
  const auto it = std::find_if(mine_.begin(), mine_.end(),
                               [&](const Mine& x) { return x.propose.nonce == m.result.nonce; });
  if (it == mine_.end() || !m.result.is_final) return;
  if (m.result.is_accepted) settled_ = std::max(settled_, m.result.version_number);
  act(ProposalFinished{m.result});
  mine_.erase(it);
}

}  // namespace alderspur::consensus

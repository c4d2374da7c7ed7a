// The voter's part of Agreement: its disk, its vote, and what it decides while it leads.
#include <algorithm>

#include "consensus/consensus_node.h"

namespace alderspur::consensus {
namespace {

constexpr Time kInquireEvery = 300'000, kInquireMost = 3'000'000, kResetEvery = 5'000'000;
constexpr Time kVoterWait = 500'000;  // for voters beyond a majority: with a lease's end under T
constexpr Time kProposeAgain = 1'000'000, kNudgeEvery = 5'000;
constexpr std::size_t kNudgesAtOnce = 32;
constexpr Time kHarmTime = 2'000'000;  // for which the first routers must do worse
constexpr double kEvidence = 1;        // requests a second there, at least: fewer tell nothing

}  // namespace

const std::vector<std::string>& ConsensusNode::desired() const {
  if (raft_ && !ledger_.voters().empty()) return ledger_.voters();
  return kept_.voters.empty() ? set_.voters : kept_.voters;
}
bool ConsensusNode::to_vote(const std::string& name) const {
  const auto& voters = desired();
  return std::find(voters.begin(), voters.end(), name) != voters.end();
}

// ---- The disk

void ConsensusNode::put(std::uint64_t instance, std::uint64_t number, LogWrite store) {
  putting_.push_back({++puts_, instance, number});
  act(WriteLog{puts_, std::move(store)});
}

void ConsensusNode::on(const LogWritten& e) {
  const auto it =
      std::find_if(putting_.begin(), putting_.end(), [&](auto& p) { return p.put == e.number; });
  if (it == putting_.end()) return;
  // Danger: one that was not even taken is told of ahead of those before it.
  const bool in_turn = it == putting_.begin();
  const auto p = *it;
  putting_.erase(it);
  if (p.instance == 0) {
    if (part_ != NodeRole::learner) return;
    cleared_ = e.is_ok;
    trouble_ = e.is_ok ? "" : "the disk takes no log";
    if (!e.is_ok) reset_at_ = now_ + kResetEvery;
    renew_soon();
    return;
  }
  if (p.instance != instance_ || !raft_) return;
  if (!in_turn) return spoilt("the disk takes no more stores");
  raft_->on_write_done(now_, p.number, e.is_ok);
  if (raft_->failed()) spoilt("a store did not reach the disk");
}

// Danger: what a disk has lost or made up, a vote above all, may not be gone on from as if nothing
// had been. The former self is taken out of the voters by the others before the new one counts.
void ConsensusNode::spoilt(const std::string& why) {
  raft_.reset();
  part_ = NodeRole::learner;
  learner_ = random_() | 1;
  cleared_ = false, reset_at_ = 0;
  trouble_ = why;
  report("log_set_aside", why);
  put(0, 0, {LogWrite::Kind::reset, 0, {}, {}});
}

// ---- The start

LogStatus ConsensusNode::witness(const std::string& to, bool asks) {
  LogStatus w;
  w.wants_reply = asks;
  if (raft_) {
    w.term = raft_->term(), w.last_term = raft_->last_term(), w.last_index = raft_->last_index();
    std::tie(w.acknowledged_term, w.acknowledged_index) = raft_->acknowledged(to);
  } else if (part_ == NodeRole::joining) {
    w.is_empty = saved_.is_empty(), w.term = saved_.term, w.last_index = saved_.last_index();
    w.last_term = !saved_.entries.empty() ? saved_.entries.back().term
                  : saved_.snapshot       ? saved_.snapshot->term
                                          : 0;
  }
  return w;
}

void ConsensusNode::take(const std::string& from, LogStatus& m) {
  if (m.wants_reply) send(from, witness(from, false));
  if (m.is_empty) empty_.insert(from);
  const bool ours = raft_ ? false : part_ == NodeRole::joining;
  if (ours || !m.wants_reply) witnesses_[from] = m;
  // Also after a start that did not wait for this one.
  const auto last = raft_ ? raft_->last_index() : saved_.last_index();
  const auto term = raft_ ? raft_->term() : saved_.term;
  const bool counts =
      part_ == NodeRole::voter || (part_ == NodeRole::joining && !saved_.is_empty());
  if (counts && !learner_ && !m.wants_reply &&
      (m.acknowledged_index > last || m.acknowledged_term > term))
    spoilt("it holds less than it has acknowledged to " + from);
}

void ConsensusNode::begin_voting() {
  if (part_ == NodeRole::learner) {
    if (!cleared_ && reset_at_ && now_ >= reset_at_)
      reset_at_ = 0, put(0, 0, {LogWrite::Kind::reset, 0, {}, {}});
    return;
  }
  if (part_ != NodeRole::joining) return;
  if (now_ >= inquire_at_) {
    inquire_at_ = now_ + kInquireEvery;
    for (const auto& v : desired())
      if (v != set_.name) send(v, witness(v, true));
  }
  const auto& voters = desired();
  std::size_t answered = 0, empty = 0;
  std::pair<std::uint64_t, std::uint64_t> floor{0, 0};
  for (const auto& v : voters) {
    if (v == set_.name) continue;
    const auto it = witnesses_.find(v);
    if (empty_.contains(v)) ++empty;
    if (it == witnesses_.end()) continue;
    ++answered;
    floor = std::max(floor, {it->second.last_term, it->second.last_index});
  }
  const bool all = answered + 1 == voters.size();
  if (saved_.is_empty()) {
    if (all && empty + 1 == voters.size()) {
      auto found = voters;
      std::sort(found.begin(), found.end());
      report("founded", "a new cluster of " + std::to_string(found.size()) + " voters");
      return begin_raft({}, found);
    }
    for (const auto& [name, w] : witnesses_)
      if (!w.is_empty && !empty_.contains(name))
        return spoilt("the log of this voter is lost: " + name + " has one");
    return;
  }
  if (!all && now_ < asking_since_ + kInquireMost) return;
  begin_raft(std::exchange(saved_, {}), {});
  raft_->restrict_votes(floor, now_ + kVoteRestrictionTime);
}

void ConsensusNode::begin_raft(PersistedLog saved, const std::vector<std::string>& found) {
  part_ = NodeRole::voter, among_ = true;
  ledger_ = AppliedState();
  trouble_.clear();
  const auto instance = ++instance_;
  Raft::Callbacks hooks;
  hooks.send = [this](const std::string& to, std::string frame) {
    send(to, RaftFrame{std::move(frame)});
  };
  hooks.store = [this, instance](std::uint64_t number, LogWrite s) {
    put(instance, number, std::move(s));
  };
  hooks.apply = [this](std::string_view bytes) {
    if (const auto c = decode_command(bytes)) ledger_.apply(*c);
  };
  hooks.snapshot = [this] { return ledger_.snapshot(); };
  hooks.restore = [this](std::string_view bytes) { return ledger_.restore(bytes); };
  raft_ = std::make_unique<Raft>(set_.name, set_.raft, std::move(saved), found, random_(), now_,
                                 std::move(hooks));
}

void ConsensusNode::take(const std::string& from, RaftFrame& m) {
  if (raft_) raft_->receive(now_, from, m.bytes);
}

void ConsensusNode::follow_ledger() {
  const bool wanted = to_vote(set_.name);
  if (part_ == NodeRole::follower && wanted && !no_disk_) spoilt("made a voter");
  if (!raft_) return;
  hear(ledger_.current(), true);
  const auto* p = ledger_.pending();
  const bool agreed = ledger_.accepted().has_value();
  if (agreed && first(*p)) hear(*p, true), p = nullptr;  // on trial here, or to hold for all soon
  if (p)
    pending_ = *p, pending_agreed_ = agreed && !ledger_.canary();
  else if (pending_)
    pending_.reset();
  if (p && pending_agreed_) pending_->canary = {}, hear(*pending_, false);
  const bool in = raft_->has_server(set_.name);
  if (in) learner_ = 0;
  // Taken out of the voters: what it holds is of no use to anybody. It is not told by its log,
  // which ends.
  if (!wanted && (!in || !among_) && part_ == NodeRole::voter) {
    raft_.reset();
    part_ = NodeRole::follower, learner_ = 0;
    put(0, 0, {LogWrite::Kind::reset, 0, {}, {}});
    report("no_voter", "it was taken out of the voters");
  }
}

// ---- Leading

void ConsensusNode::take(const std::string& from, LeaseRequest& m) {
  if (!is_leader(now_)) return send(from, Redirect{raft_ ? raft_->leader() : ""});
  if (book_.term() != raft_->term()) book_.begin_term(now_, raft_->term());
  LeaseGrant g;
  g.sent_at = m.sent_at, g.protocol_version = set_.protocol_version;
  g.current = ledger_.current();
  if (const auto* p = ledger_.pending()) {
    const bool agreed = ledger_.accepted().has_value();
    if (agreed && among_first(*p, from))
      g.current = *p;
    else
      g.pending = *p, g.is_pending_accepted = agreed && !ledger_.canary();
    if (g.is_pending_accepted) g.pending->canary = {};
  }
  g.voters = desired();
  book_.renew(now_, from, m, g);
  if (g.id == 0) return;  // a former self
  admit(from, m, g);
  g.is_member = raft_->has_server(from);
  send(from, g);
}

void ConsensusNode::admit(const std::string& name, const LeaseRequest& r, LeaseGrant& out) {
  if (!r.learner_id || !to_vote(name)) return;
  Admission& a = admissions_[name];
  if (a.learner != r.learner_id) a = {r.learner_id, false};
  if (!a.done && !raft_->has_server(name)) a.done = true;
  if (a.done)
    out.admitted_learner_id = r.learner_id;
  else
    raft_->change_membership(now_, Raft::MembershipChange::remove, name,
                             [this, name, learner = r.learner_id](bool good) {
                               if (auto& x = admissions_[name]; good && x.learner == learner)
                                 x.done = true;
                             });
}

void ConsensusNode::take(const std::string& from, ProposeRequest& m) {
  if (!is_leader(now_)) return send(from, Redirect{raft_ ? raft_->leader() : ""});
  if (const auto* s = ledger_.find_result(m.nonce)) return send(from, ProposeResponse{*s});
  if (!m.voters.empty()) return void(propose(ChangeVoters{m.nonce, m.voters}));
  const auto old = m.version.canary ? who_knows_no_trials() : "";
  if (!old.empty())
    return send(from,
                ProposeResponse{{m.nonce, false, true, 0,
                                 "the program of " + old + ", which votes, knows no trials"}});
  propose(OfferVersion{m.nonce, m.version});
}

// Danger: a voter that passes by what it does not know would make another state of the same log.
std::string ConsensusNode::who_knows_no_trials() const {
  for (const auto& [name, role] : raft_->roles()) {
    const auto* h = name == set_.name ? nullptr : book_.find(name);
    if (name == set_.name ? set_.protocol_version < 1 : !h || h->protocol_version < 1) return name;
  }
  return {};
}

void ConsensusNode::take(const std::string& from, CanaryDecision& m) {
  if (!is_leader(now_)) return send(from, Redirect{raft_ ? raft_->leader() : ""});
  if (const auto* s = ledger_.find_result(m.nonce)) return send(from, ProposeResponse{*s});
  if (m.promote)
    propose(PromoteCanary{m.nonce, m.version_number});
  else
    propose(RollBackCanary{m.nonce, m.version_number, "taken back by an operator"});
}

// Nothing is proposed twice within a second; what is lost with a leader is asked again.
bool ConsensusNode::propose(const Command& c) {
  const auto of = std::visit(
      [](const auto& x) -> std::uint64_t {
        if constexpr (requires { x.nonce; })
          if (x.nonce) return x.nonce;
        if constexpr (requires { x.number; }) return x.number;
        return 0;
      },
      c);
  const int kind = static_cast<int>(c.index());
  if (proposed_ == of && proposed_kind_ == kind && now_ < proposed_at_ + kProposeAgain)
    return false;
  proposed_ = of, proposed_kind_ = kind, proposed_at_ = now_;
  return raft_->propose(now_, encode(c));
}

void ConsensusNode::lead() {
  if (!is_leader(now_)) return;
  if (book_.term() != raft_->term()) {
    book_.begin_term(now_, raft_->term());
    admissions_.clear(), proposed_ = tried_ = 0, nudged_ = {0, -1}, offered_number_ = 0;
    report("leads", "term " + std::to_string(raft_->term()));
  }
  book_.remove_expired(now_);
  if (const auto* p = ledger_.pending()) decide(*p);
  reconcile();
  nudge_some();
}

void ConsensusNode::decide(const Version& v) {
  if (ledger_.canary()) return watch(v);
  if (ledger_.accepted()) {
    if (book_.all_have_stored(now_, v.number)) propose(ActivateVersion{v.number});
    return;
  }
  if (offered_number_ != v.number) offered_number_ = v.number, offered_since_ = now_;
  std::size_t voters = 0, yes = 0;
  bool waits = false;
  for (const auto& [name, role] : raft_->roles()) {
    if (role != RAFT_VOTER) continue;
    ++voters;
    const auto* h = book_.find(name);
    if (h && h->rejected_number == v.number)
      return void(propose(WithdrawVersion{
          v.number,
          to_printable("refused by " + name + ": " + h->rejection_reason, kMaxNoteLength)}));
    if (h && h->stored_number >= v.number)
      ++yes;
    else if (h && h->may_hold_lease)
      waits = true;  // it may yet refuse
  }
  // Danger: a voter whose disk hangs keeps its lease and never holds anything; it loses that by
  // Agree.
  if (yes > voters / 2 && (!waits || now_ > offered_since_ + kVoterWait))
    propose(AcceptVersion{v.number});
  else if (now_ > offered_since_ + kMaxOfferTime)
    propose(WithdrawVersion{v.number, "its content did not reach enough voters in time"});
}

// Worse than elsewhere by more than was declared: of all that ended, weighed by how much each
// router takes.
bool ConsensusNode::harmful(const Version& trial, std::string& why) const {
  double weight = 0, bad = 0;
  for (const auto& name : trial.canary.routers)
    if (const auto* h = book_.find(name); h && h->active_number == trial.number)
      weight += h->request_rate, bad += h->request_rate * h->failure_ratio;
  const double others = book_.total_request_rate() - weight;
  if (weight < kEvidence + static_cast<double>(trial.canary.routers.size()))
    return false;  // each counts one more
  const double here = bad / weight,
               there = others > 1e-9 ? std::max(0.0, book_.total_failure_rate() - bad) / others : 0;
  why = std::to_string(static_cast<int>(here * 100)) + "% ended badly at the first routers, " +
        std::to_string(static_cast<int>(there * 100)) + "% elsewhere";
  return here > there + trial.canary.max_failure_increase;
}

// A new leader counts the time anew: it cannot know for how long an earlier one watched.
void ConsensusNode::watch(const Version& trial) {
  if (tried_ != trial.number) tried_ = trial.number, tried_since_ = now_, harm_since_ = 0;
  std::string why;
  if (!harmful(trial, why))
    harm_since_ = 0;
  else if (!harm_since_)
    harm_since_ = now_;
  if (harm_since_ && now_ >= harm_since_ + kHarmTime)
    return void(propose(RollBackCanary{0, trial.number, why}));
  if (now_ < tried_since_ + trial.canary.duration) return;
  if (trial.canary.promote_on_expiry)
    propose(PromoteCanary{0, trial.number});
  else
    propose(RollBackCanary{0, trial.number, "its time is over"});
}

void ConsensusNode::reconcile() {
  const auto& voters = desired();
  const auto servers = raft_->roles();
  const auto nothing = [](bool) {};
  for (const auto& name : voters) {
    const auto it = servers.find(name);
    if (it == servers.end()) {
      const auto a = admissions_.find(name);
      if (a != admissions_.end() && a->second.done)
        return void(
            raft_->change_membership(now_, Raft::MembershipChange::add_spare, name, nothing));
    } else if (it->second != RAFT_VOTER) {
      return void(
          raft_->change_membership(now_, Raft::MembershipChange::promote_to_voter, name, nothing));
    }
  }
  // One that is to go goes once the new ones vote, and whoever leads goes last.
  const auto all =
      std::all_of(voters.begin(), voters.end(), [&](const auto& v) { return servers.contains(v); });
  if (!all) return;
  std::string last;
  for (const auto& [name, role] : servers) {
    if (to_vote(name)) continue;
    if (name == set_.name)
      last = name;
    else
      return void(raft_->change_membership(now_, Raft::MembershipChange::remove, name, nothing));
  }
  if (!last.empty()) raft_->change_membership(now_, Raft::MembershipChange::remove, last, nothing);
}

// All routers are told at a change that there is news, some at a time; what the news is they ask.
void ConsensusNode::nudge_some() {
  const auto* p = ledger_.pending();
  const std::pair<std::uint64_t, int> stands{p ? p->number : ledger_.current().number,
                                             !p                   ? 3
                                             : ledger_.canary()   ? 4
                                             : ledger_.accepted() ? 2
                                                                  : 1};
  if (stands != nudged_)
    nudged_ = stands, nudges_.assign(others_.begin(), others_.end()), nudge_at_ = now_;
  if (now_ < nudge_at_) return;
  for (std::size_t i = 0; i < kNudgesAtOnce && !nudges_.empty(); ++i) {
    send(nudges_.front(), RenewHint{});
    nudges_.pop_front();
  }
  nudge_at_ = now_ + kNudgeEvery;
  if (raft_) renew_soon(set_.renew_interval);
}

NodeStatus ConsensusNode::status(Time now) const {
  NodeStatus v;
  v.active = acting_, v.pending = pending_, v.is_pending_accepted = pending_agreed_;
  v.is_leader = is_leader(now), v.role = part_, v.leader = leader_;
  v.lease_left = std::max<Time>(0, lease_until_ - now);
  if (raft_) v.term = raft_->term(), v.last_log_index = raft_->last_index();
  v.voters = desired(), v.fault = trouble_;
  if (v.is_leader) {
    const auto* p = ledger_.pending();
    v.routers_behind = book_.routers_behind(p ? p->number : ledger_.current().number, 16);
  }
  v.history = ledger_.history();
  return v;
}

}  // namespace alderspur::consensus

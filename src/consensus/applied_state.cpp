#include "consensus/applied_state.h"

#include <algorithm>
#include <utility>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

enum class Kind : std::uint64_t { offer = 1, agree, force, withdraw, voters, release, back };

}  // namespace

std::string encode(const Command& command) {
  cluster::Packer p;
  const auto kind = [&](Kind k, std::size_t n) {
    p.array(n + 1).number(static_cast<std::uint64_t>(k));
  };
  struct {
    decltype(kind)& head;
    cluster::Packer& p;
    void operator()(const OfferVersion& c) {
      head(Kind::offer, 2), p.number(c.nonce), pack(p, c.version);
    }
    void operator()(const AcceptVersion& c) { head(Kind::agree, 1), p.number(c.number); }
    void operator()(const ActivateVersion& c) { head(Kind::force, 1), p.number(c.number); }
    void operator()(const WithdrawVersion& c) {
      head(Kind::withdraw, 2), p.number(c.number).text(c.reason);
    }
    void operator()(const PromoteCanary& c) {
      head(Kind::release, 2), p.number(c.nonce).number(c.number);
    }
    void operator()(const RollBackCanary& c) {
      head(Kind::back, 3), p.number(c.nonce).number(c.number).text(c.reason);
    }
    void operator()(const ChangeVoters& c) {
      head(Kind::voters, 2), p.number(c.nonce), pack(p, c.voters);
    }
  } write{kind, p};
  std::visit(write, command);
  return p.take();
}

std::optional<Command> decode_command(std::string_view bytes) {
  const cluster::Unpacked u(bytes);
  if (!u.good) return {};
  cluster::Reader r(u.m.data, 2);
  const auto kind = static_cast<Kind>(r.number());
  Command out;
  if (kind == Kind::offer) {
    OfferVersion o;
    o.nonce = r.number(), o.version = version(cluster::Reader(r.next(), 6), r.good);
    out = std::move(o);
  } else if (kind == Kind::agree) {
    out = AcceptVersion{r.number()};
  } else if (kind == Kind::force) {
    out = ActivateVersion{r.number()};
  } else if (kind == Kind::withdraw) {
    WithdrawVersion w;
    w.number = r.number(), w.reason = r.text(kMaxNoteLength);
    out = std::move(w);
  } else if (kind == Kind::voters) {
    ChangeVoters v;
    v.nonce = r.number(), v.voters = names(r);
    out = std::move(v);
  } else if (kind == Kind::release) {
    PromoteCanary x;
    x.nonce = r.number(), x.number = r.number();
    out = x;
  } else if (kind == Kind::back) {
    RollBackCanary b;
    b.nonce = r.number(), b.number = r.number(), b.reason = r.text(kMaxNoteLength);
    out = std::move(b);
  } else {
    return {};  // of a later program
  }
  return r.good ? std::optional(std::move(out)) : std::nullopt;
}

void AppliedState::apply(const Command& command) {
  std::visit([this](const auto& c) { on(c); }, command);
}

const ProposalResult* AppliedState::find_result(std::uint64_t nonce) const {
  const auto it = std::find_if(settled_.begin(), settled_.end(),
                               [&](const ProposalResult& s) { return s.nonce == nonce; });
  return it == settled_.end() ? nullptr : &*it;
}

void AppliedState::settle(ProposalResult s) {
  if (!s.nonce) return;
  std::erase_if(settled_, [&](const ProposalResult& old) { return old.nonce == s.nonce; });
  settled_.push_back(std::move(s));
  if (settled_.size() > kMaxRememberedResults) settled_.pop_front();
}

void AppliedState::on(const OfferVersion& c) {
  if (find_result(c.nonce)) return;  // asked again
  const std::uint64_t head = agreed_ ? agreed_->number : in_force_.number;
  if (offered_ || agreed_) {
    const auto& other = *pending();
    return settle(
        {c.nonce, false, true, head,
         "version " + std::to_string(other.number) + " by " + other.author + " is under way"});
  }
  if (c.version.base_number != head)
    return settle({c.nonce, false, true, head,
                   "made from " + std::to_string(c.version.base_number) + ", but " +
                       std::to_string(head) + " by " + in_force_.author + " holds"});
  if (c.version.canary && !in_force_.number)
    return settle(
        {c.nonce, false, true, head, "nothing is in force that a trial could go back to"});
  offered_ = c.version;
  offered_->number = ++last_;
  pending_nonce_ = c.nonce;
  settle({c.nonce, true, false, last_, "offered"});
}

void AppliedState::on(const AcceptVersion& c) {
  if (!offered_ || offered_->number != c.number) return;
  agreed_ = std::exchange(offered_, std::nullopt);
  // Whoever asked has the word that counts now; how a trial ends is in the history.
  const bool trial = static_cast<bool>(agreed_->canary);
  settle({pending_nonce_, true, trial, c.number, trial ? "on trial" : "agreed"});
}

bool AppliedState::on_trial(std::uint64_t nonce, std::uint64_t number) {
  if (find_result(nonce)) return false;  // asked again
  const bool is = canary() && agreed_->number == number;
  settle({nonce, is, true, number,
          is ? "so be it" : "version " + std::to_string(number) + " is not on trial"});
  return is;
}

void AppliedState::on(const PromoteCanary& c) { released_ |= on_trial(c.nonce, c.number); }

// Numbers never go back: the content that all others act on comes again, as the next version.
void AppliedState::on(const RollBackCanary& c) {
  if (!on_trial(c.nonce, c.number)) return;
  Version again = in_force_;
  again.number = ++last_, again.base_number = c.number;
  again.note =
      ("as " + std::to_string(in_force_.number) + ", " + c.reason).substr(0, kMaxNoteLength);
  end(*std::exchange(agreed_, std::nullopt), false, c.reason);
  replaced();
  in_force_ = again;
  history_.push_back({again, "in force"});
  if (history_.size() > kMaxHistory) history_.pop_front();
}

void AppliedState::on(const ActivateVersion& c) {
  if (!agreed_ || agreed_->number != c.number) return;
  in_force_ = *std::exchange(agreed_, std::nullopt);
  in_force_.canary = {}, released_ = false;
  replaced();
  end(in_force_, true, "in force");
}

void AppliedState::replaced() {
  for (auto& p : history_)
    if (p.outcome == "in force") p.outcome = "replaced";
}

void AppliedState::on(const WithdrawVersion& c) {
  if (!offered_ || offered_->number != c.number) return;
  end(*std::exchange(offered_, std::nullopt), false, c.reason);
}

void AppliedState::end(const Version& v, bool yes, const std::string& text) {
  settle({std::exchange(pending_nonce_, 0), yes, true, v.number, text});
  history_.push_back({v, text});
  if (history_.size() > kMaxHistory) history_.pop_front();
}

void AppliedState::on(const ChangeVoters& c) {
  if (find_result(c.nonce)) return;
  voters_ = c.voters;
  settle({c.nonce, true, true, 0, "voters changed"});
}

// ---- Snapshot

std::string AppliedState::snapshot() const {
  cluster::Packer p;
  p.array(9).number(1).number(last_).number(pending_nonce_);
  pack(p, offered_), pack(p, agreed_), pack(p, in_force_), pack(p, voters_);
  p.array(2).array(settled_.size());
  for (const auto& s : settled_)
    p.array(5)
        .number(s.nonce)
        .flag(s.is_accepted)
        .flag(s.is_final)
        .number(s.version_number)
        .text(s.reason);
  p.array(history_.size());
  for (const auto& h : history_) {
    p.array(2);
    pack(p, h.version);
    p.text(h.outcome);
  }
  p.flag(released_);
  return p.take();
}

bool AppliedState::restore(std::string_view bytes) {
  const cluster::Unpacked u(bytes);
  if (!u.good) return false;
  cluster::Reader r(u.m.data, 8);
  AppliedState l;
  if (r.number() != 1) return false;
  l.last_ = r.number(), l.pending_nonce_ = r.number();
  l.offered_ = maybe_version(r), l.agreed_ = maybe_version(r);
  l.in_force_ = version(cluster::Reader(r.next(), 6), r.good);
  l.voters_ = names(r);
  cluster::Reader tail(r.next(), 2);
  const auto settled = tail.array(kMaxRememberedResults);
  for (std::uint32_t i = 0; i < settled; ++i) {
    auto x = tail.item(i, 5);
    ProposalResult s;
    s.nonce = x.number(), s.is_accepted = x.flag(), s.is_final = x.flag(),
    s.version_number = x.number(), s.reason = x.text(kMaxResultText);
    tail.good = tail.good && x.good;
    l.settled_.push_back(std::move(s));
  }
  const auto history = tail.array(kMaxHistory);
  for (std::uint32_t i = 0; i < history; ++i) {
    auto x = tail.item(i, 2);
    HistoryEntry past;
    past.version = version(cluster::Reader(x.next(), 6), x.good),
    past.outcome = x.text(kMaxResultText);
    tail.good = tail.good && x.good;
    l.history_.push_back(std::move(past));
  }
  if (r.more()) l.released_ = r.flag();
  if (!r.good || !tail.good) return false;
  *this = std::move(l);
  return true;
}

}  // namespace alderspur::consensus

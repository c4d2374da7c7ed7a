#include "replication/replica.h"

#include <algorithm>

#include "cluster/packing.h"

namespace alderspur::replication {
namespace {

// Frames: [kind, fields...]. A later kind reads as nothing.
enum class Kind : std::uint64_t {
  news_bans = 1,
  news_floors,
  sums,
  same,
  whole_bans,
  leaves,
  floors
};
constexpr std::size_t kBansBytesMost = 1 << 20;

void begin(cluster::Packer& p, Kind kind, std::size_t fields) {
  p.array(fields + 1).number(static_cast<std::uint64_t>(kind));
}
void pack(cluster::Packer& p, const std::vector<Floor>& floors) {
  p.array(floors.size());
  for (const auto& f : floors)
    p.array(3).flag(f.object).number(f.id).number(static_cast<std::uint64_t>(f.at));
}
std::string framed(Kind kind, const Bans& bans) {
  cluster::Packer p;
  begin(p, kind, 1);
  p.bytes(bans.encode());
  return p.take();
}
std::string framed(const std::vector<Floor>& news) {
  cluster::Packer p;
  begin(p, Kind::news_floors, 1);
  pack(p, news);
  return p.take();
}
bool read(cluster::Reader& r, std::vector<Floor>& into) {
  const auto n = r.array(kEntriesMost);
  for (std::uint32_t i = 0; i < n; ++i) {
    auto x = r.item(i, 3);
    Floor f;
    f.object = x.flag(), f.id = x.number(),
    f.at = static_cast<Time>(x.number(std::uint64_t{1} << 62));
    if (!x.good) return r.good = false;
    into.push_back(f);
  }
  return r.good;
}
void pack(cluster::Packer& p, const std::array<std::uint64_t, kRanges>& sums) {
  p.array(kRanges);
  for (const auto s : sums) p.number(s);
}
bool read(cluster::Reader& r, std::array<std::uint64_t, kRanges>& into) {
  cluster::Reader x(r.next(), kRanges);
  for (auto& s : into) s = x.number();
  return r.good = r.good && x.good;
}

}  // namespace

Replica::Replica(ReplicaSettings settings, std::uint64_t seed)
    : set_(std::move(settings)), random_(seed), floors_(set_.floors_most) {}

void Replica::handle(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  if (!began_) began_ = now, compare_at_ = now;
  out_ = &actions;
  std::visit([this](const auto& e) { on(e); }, event);
  out_ = nullptr;
}

void Replica::send(const std::string& to, std::string bytes) {
  out_->push_back(SendFrame{to, std::move(bytes)});
}

// To a few, each once, and not back to whom it came from.
void Replica::news(const std::string& bytes, const std::string& but) {
  ++counts_.news;
  std::vector<std::string> to;
  for (std::size_t tries = 0;
       tries < 4 * set_.fanout && to.size() < set_.fanout && !others_.empty(); ++tries) {
    const auto& name = others_[random_() % others_.size()];
    if (name != but && std::find(to.begin(), to.end(), name) == to.end()) to.push_back(name);
  }
  for (const auto& name : to) send(name, bytes);
}

void Replica::on(const Others& e) {
  const bool first = others_.empty() && !e.names.empty();
  others_ = e.names;
  if (first && !caught_up_) compare_at_ = now_;
}

void Replica::tell(const Bans& change, const std::string& but) {
  if (!change.empty()) news(framed(Kind::news_bans, change), but);
}
void Replica::on(const CallBan& e) {
  tell(bans_.ban(set_.self, {e.server, e.cause.substr(0, kCauseMost), e.at}), {});
}
void Replica::on(const CallLift& e) { tell(bans_.lift(e.server), {}); }
void Replica::on(const Purged& e) {
  if (floors_.raise(e.floor)) news(framed({e.floor}), {});
}

void Replica::on(const Tick&) {
  if (now_ < compare_at_) return;
  // A fresh copy asks more often: it serves on what it does not have yet.
  compare_at_ = now_ + (caught_up_ ? set_.compare : set_.compare / 5);
  if (others_.empty()) more_ = false;
  caught_up_ |= now_ >= began_ + set_.alone && !more_;
  if (!others_.empty()) compare(others_[random_() % others_.size()]);
}

void Replica::compare(const std::string& with) {
  ++counts_.compared;
  cluster::Packer p;
  begin(p, Kind::sums, 3);
  p.number(bans_.digest()).number(static_cast<std::uint64_t>(floors_.all()));
  pack(p, floors_.sums());
  send(with, p.take());
}

// Danger: a change from elsewhere is told to the router by what it ends in: two bans and one lift
// are one ban.
void Replica::take_bans(const std::string& from, const Bans& theirs, bool whole) {
  const auto before = bans_.servers();
  const auto had = bans_.digest();
  bans_.join(theirs);
  for (const auto& s : before)
    if (!bans_.banned(s)) out_->push_back(Bind{s, false});
  for (const auto& s : bans_.servers())
    if (!std::binary_search(before.begin(), before.end(), s)) out_->push_back(Bind{s, true});
  const bool news_here = bans_.digest() != had;
  if (whole && bans_.digest() != theirs.digest())  // it lacks something of ours
    send(from, framed(Kind::whole_bans, bans_));
  if (news_here && !whole) tell(theirs, from);
}

bool Replica::take(const Floor& f) {
  if (!floors_.raise(f)) return false;
  out_->push_back(Forbid{f});
  return true;
}

void Replica::answer_sums(const std::string& from, std::uint64_t bans, Time all,
                          const std::array<std::uint64_t, kRanges>& theirs) {
  floors_.raise_all(all);
  const auto ours = floors_.sums();
  if (bans == bans_.digest() && ours == theirs && all == floors_.all()) {
    cluster::Packer p;
    begin(p, Kind::same, 0);
    return send(from, p.take());
  }
  if (bans != bans_.digest()) send(from, framed(Kind::whole_bans, bans_));
  std::vector<std::size_t> differ;
  for (std::size_t i = 0; i < kRanges; ++i)
    if (ours[i] != theirs[i]) differ.push_back(i);
  // Some of them, in no order, so that a large difference does not hang at its beginning.
  std::shuffle(differ.begin(), differ.end(), random_);
  if (differ.size() > kLeavesMost) differ.resize(kLeavesMost);
  if (differ.empty() && all == floors_.all()) return;
  cluster::Packer p;
  begin(p, Kind::leaves, 2);
  p.number(static_cast<std::uint64_t>(floors_.all())).array(differ.size());
  for (const auto i : differ) {
    p.array(2).number(i);
    pack(p, floors_.leaves(i));
  }
  send(from, p.take());
}

std::string Replica::floors_frame(const std::vector<Floor>& floors,
                                  const std::vector<std::size_t>& wanted) const {
  cluster::Packer p;
  begin(p, Kind::floors, 3);
  p.number(static_cast<std::uint64_t>(floors_.all()));
  pack(p, floors);
  p.array(wanted.size());
  for (const auto leaf : wanted) p.array(1).number(leaf);
  return p.take();
}

void Replica::on(const Frame& e) {
  const cluster::Unpacked u(e.bytes);
  const auto refuse = [&] { ++counts_.refused; };
  if (!u.good) return refuse();
  cluster::Reader r(u.m.data, 1);
  switch (static_cast<Kind>(r.number())) {
    case Kind::news_bans:
    case Kind::whole_bans: {
      const bool whole =
          u.m.data.via.array.ptr[0].via.u64 == static_cast<std::uint64_t>(Kind::whole_bans);
      Bans theirs;
      if (!Bans::decode(r.bytes(kBansBytesMost), theirs)) return refuse();
      return take_bans(e.from, theirs, whole);
    }
    case Kind::news_floors: {
      std::vector<Floor> floors, fresh;
      if (!read(r, floors) || floors.size() > kNewsMost) return refuse();
      for (const auto& f : floors)
        if (take(f)) fresh.push_back(f);
      if (!fresh.empty()) news(framed(fresh), e.from);
      return;
    }
    case Kind::sums: {
      std::array<std::uint64_t, kRanges> theirs{};
      const auto bans = r.number();
      const auto all = static_cast<Time>(r.number(std::uint64_t{1} << 62));
      if (!read(r, theirs)) return refuse();
      return answer_sums(e.from, bans, all, theirs);
    }
    case Kind::same:
      ++counts_.same;
      caught_up_ = true;
      return;
    case Kind::leaves: {
      floors_.raise_all(static_cast<Time>(r.number(std::uint64_t{1} << 62)));
      const auto n = r.array(kLeavesMost);
      std::vector<Floor> ours;
      std::vector<std::size_t> wanted;
      for (std::uint32_t i = 0; i < n && r.good; ++i) {
        auto x = r.item(i, 2);
        const auto range = static_cast<std::size_t>(x.number(kRanges - 1));
        std::array<std::uint64_t, kRanges> theirs{};
        if (!read(x, theirs)) return refuse();
        const auto mine = floors_.leaves(range);
        for (std::size_t k = 0;
             k < kRanges && ours.size() < kEntriesMost && wanted.size() < kEntriesMost; ++k)
          if (mine[k] != theirs[k])
            wanted.push_back(range * kRanges + k), floors_.each(wanted.back(), ours, kEntriesMost);
      }
      counts_.leaves += wanted.size();
      if (!r.good) return refuse();
      if (!wanted.empty()) send(e.from, floors_frame(ours, wanted));
      return;
    }
    case Kind::floors: {
      floors_.raise_all(static_cast<Time>(r.number(std::uint64_t{1} << 62)));
      std::vector<Floor> theirs, ours;
      if (!read(r, theirs)) return refuse();
      const auto n = r.array(kEntriesMost);
      for (std::uint32_t i = 0; i < n; ++i) {
        auto x = r.item(i, 1);
        const auto leaf = x.number(kLeaves - 1);
        if (!x.good) return refuse();
        floors_.each(static_cast<std::size_t>(leaf), ours, kEntriesMost);
      }
      counts_.entries += theirs.size();
      more_ = theirs.size() >= kEntriesMost;
      for (const auto& f : theirs) take(f);
      if (!ours.empty()) send(e.from, floors_frame(ours, {}));
      // At once again, until both say that they are the same: a copy that was long away catches up
      // in a row.
      if (n == 0 && !theirs.empty()) compare(e.from);
      return;
    }
  }
  refuse();
}

}  // namespace alderspur::replication

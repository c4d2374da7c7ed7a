#include "replication/bans.h"

#include "cluster/packing.h"
#include "replication/hash.h"

namespace alderspur::replication {
namespace {

constexpr std::size_t kEncodedMost = 1 << 20;

void pack(cluster::Packer& p, const Dot& d) {
  p.text(d.by.first).number(d.by.second).number(d.count);
}
Dot dot(cluster::Reader& r) {
  Dot d;
  d.by.first = r.text(), d.by.second = r.number(), d.count = r.number();
  return d;
}

}  // namespace

void Bans::hold(const Dot& dot, const Ban& ban) {
  if (held_.emplace(dot, ban).second) ++counts_[ban.server];
}
void Bans::drop(std::map<Dot, Ban>::iterator it) {
  const auto c = counts_.find(it->second.server);
  if (--c->second == 0) counts_.erase(c);
  held_.erase(it);
}

Bans Bans::ban(const Author& by, Ban what) {
  Bans out;
  if (held_.size() >= kBansMost) return out;
  for (const auto& [d, b] : held_)
    if (d.by == by && b.server == what.server) return out;
  const Dot d{by, context_.last(by) + 1};
  if (!context_.add(d)) return out;
  hold(d, what);
  out.hold(d, what);
  (void)out.context_.add(d);
  return out;
}

Bans Bans::lift(std::string_view server) {
  Bans out;  // the dots, seen, and nothing held: so they are gone for whoever joins this
  for (auto it = held_.begin(); it != held_.end();) {
    const auto next = std::next(it);
    if (it->second.server == server) (void)out.context_.add(it->first), drop(it);
    it = next;
  }
  return out;
}

void Bans::join(const Bans& o) {
  for (auto it = held_.begin(); it != held_.end();) {
    const auto next = std::next(it);
    if (!o.held_.contains(it->first) && o.context_.has(it->first)) drop(it);  // lifted there
    it = next;
  }
  Context seen = context_;
  for (const auto& [d, b] : o.held_) {
    if (context_.has(d)) continue;  // held here already, or lifted here
    if (held_.size() >= kBansMost) continue;
    if (seen.add(d)) hold(d, b);
  }
  // Danger: what was left out for a bound must not count as seen, or it would count as lifted.
  bool all = true;
  for (const auto& [d, b] : o.held_) all = all && (context_.has(d) || held_.contains(d));
  context_ = std::move(seen);
  if (all) context_.join(o.context_);
}

std::vector<std::string> Bans::servers() const {
  std::vector<std::string> out;
  for (const auto& [server, n] : counts_) out.push_back(server);
  return out;
}

std::uint64_t Bans::digest() const {
  std::uint64_t sum = 0;
  for (const auto& [d, b] : held_) sum += mixed(d.by.first, d.by.second, d.count) * 3;
  for (const auto& [by, n] : context_.upto()) sum += mixed(by.first, by.second, n) * 5;
  for (const auto& d : context_.cloud()) sum += mixed(d.by.first, d.by.second, d.count) * 7;
  return sum;
}

std::string Bans::encode() const {
  cluster::Packer p;
  p.array(3).array(held_.size());
  for (const auto& [d, b] : held_) {
    p.array(6);
    pack(p, d);
    p.text(b.server).text(b.cause).number(static_cast<std::uint64_t>(b.at));
  }
  p.array(context_.upto().size());
  for (const auto& [by, n] : context_.upto()) p.array(3).text(by.first).number(by.second).number(n);
  p.array(context_.cloud().size());
  for (const auto& d : context_.cloud()) p.array(3), pack(p, d);
  return p.take();
}

bool Bans::decode(std::string_view bytes, Bans& into) {
  if (bytes.size() > kEncodedMost) return false;
  const cluster::Unpacked u(bytes);
  if (!u.good) return false;
  cluster::Reader r(u.m.data, 3);
  Bans out;
  std::map<Author, std::uint64_t> upto;
  bool good = true;
  const auto held = r.array(kBansMost);
  for (std::uint32_t i = 0; i < held; ++i) {
    auto x = r.item(i, 6);
    const Dot d = dot(x);
    Ban b;
    b.server = x.text(kWordMost), b.cause = x.text(kCauseMost);
    b.at = static_cast<Time>(x.number(std::uint64_t{1} << 62));
    good = good && x.good && d.count > 0;
    out.hold(d, b);
  }
  const auto authors = r.array(kAuthorsMost);
  for (std::uint32_t i = 0; i < authors; ++i) {
    auto x = r.item(i, 3);
    const Dot d = dot(x);
    good = good && x.good;
    out.context_.raise(d.by, d.count);
  }
  const auto cloud = r.array(kCloudMost);
  for (std::uint32_t i = 0; i < cloud; ++i) {
    auto x = r.item(i, 3);
    const Dot d = dot(x);
    good = good && x.good && d.count > 0 && out.context_.add(d);
  }
  // Held and not seen is no copy that a router makes.
  for (const auto& [d, b] : out.held_) good = good && out.context_.has(d);
  if (!r.good || !good) return false;
  into = std::move(out);
  return true;
}

}  // namespace alderspur::replication

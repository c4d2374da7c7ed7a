// How versions, names and servers stand in messages, in the ledger's snapshot and in what is kept.
// For the codecs of this folder.
#pragma once

#include "cluster/packing.h"
#include "consensus/applied_state.h"
#include "consensus/raft.h"

namespace alderspur::consensus {

constexpr std::size_t kMaxResultText = 600, kMaxRaftServers = 64;

inline void pack(cluster::Packer& p, const std::vector<std::string>& names);
inline std::vector<std::string> names(cluster::Reader& r);

// A version on trial has one field more, which a program that knows of none passes by.
inline void pack(cluster::Packer& p, const Version& v) {
  p.array(v.canary ? 7 : 6)
      .number(v.number)
      .text(v.digest)
      .number(v.base_number)
      .number(v.content_size);
  p.text(v.author).text(v.note);
  if (!v.canary) return;
  p.array(4);
  pack(p, v.canary.routers);
  p.number(static_cast<std::uint64_t>(v.canary.duration))
      .real(v.canary.max_failure_increase)
      .flag(v.canary.promote_on_expiry);
}
inline Version version(cluster::Reader&& r, bool& good) {
  Version v;
  v.number = r.number(), v.digest = r.text(), v.base_number = r.number(),
  v.content_size = r.number(kMaxContentBytes), v.author = r.text(), v.note = r.text(kMaxNoteLength);
  if (r.more()) {
    cluster::Reader t(r.next(), 4);
    v.canary.routers = names(t),
    v.canary.duration = static_cast<Time>(t.number(kMaxCanaryDuration));
    v.canary.max_failure_increase = t.real(), v.canary.promote_on_expiry = t.flag();
    r.good = r.good && t.good;
  }
  good = good && r.good;
  return v;
}

inline void pack(cluster::Packer& p, const std::optional<Version>& v) {
  p.array(v ? 1 : 0);
  if (v) pack(p, *v);
}
inline std::optional<Version> maybe_version(cluster::Reader& r) {
  if (r.array(1) == 0) return {};
  return version(r.item(0, 6), r.good);
}

// Of voters: kVotersMost at most.
inline void pack(cluster::Packer& p, const std::vector<std::string>& names) {
  p.array(names.size());
  for (const auto& n : names) p.text(n);
}
inline std::vector<std::string> names(cluster::Reader& r) {
  std::vector<std::string> out;
  const auto n = r.array(kMaxVoters);
  for (std::uint32_t i = 0; i < n; ++i) out.push_back(r.element_text(i));
  return out;
}

using Servers = decltype(Configuration::servers);
inline void pack(cluster::Packer& p, const Servers& servers) {
  p.array(servers.size());
  for (const auto& [name, role] : servers)
    p.array(2).text(name).number(static_cast<std::uint64_t>(role));
}
inline Servers servers(cluster::Reader& r) {
  Servers out;
  const auto n = r.array(kMaxRaftServers);
  for (std::uint32_t i = 0; i < n; ++i) {
    auto x = r.item(i, 2);
    auto name = x.text();
    out.emplace_back(std::move(name), static_cast<int>(x.number(RAFT_SPARE)));
    r.good = r.good && x.good;
  }
  return out;
}

inline void pack(cluster::Packer& p, const Configuration& v) {
  p.array(2).number(v.index);
  pack(p, v.servers);
}
inline Configuration voters(cluster::Reader&& r, bool& good) {
  Configuration v;
  v.index = r.number(), v.servers = servers(r);
  good = good && r.good;
  return v;
}

}  // namespace alderspur::consensus

// How versions, names and servers stand in messages, in the ledger's snapshot and in what is kept.
// For the codecs of this folder.
#pragma once

#include "cluster/packing.h"
#include "consensus/applied_state.h"
#include "consensus/raft.h"

namespace alderspur::consensus {

constexpr std::size_t kSettledText = 600, kServersMost = 64;

inline void pack(cluster::Packer& p, const std::vector<std::string>& names);
inline std::vector<std::string> names(cluster::Reader& r);

// A version on trial has one field more, which a program that knows of none passes by.
inline void pack(cluster::Packer& p, const Version& v) {
  p.array(v.trial ? 7 : 6).number(v.number).text(v.digest).number(v.base).number(v.size);
  p.text(v.author).text(v.note);
  if (!v.trial) return;
  p.array(4);
  pack(p, v.trial.first);
  p.number(static_cast<std::uint64_t>(v.trial.hold)).real(v.trial.harm).flag(v.trial.go_on);
}
inline Version version(cluster::Reader&& r, bool& good) {
  Version v;
  v.number = r.number(), v.digest = r.text(), v.base = r.number(), v.size = r.number(kContentMost),
  v.author = r.text(), v.note = r.text(kNoteMost);
  if (r.more()) {
    cluster::Reader t(r.next(), 4);
    v.trial.first = names(t), v.trial.hold = static_cast<Time>(t.number(kTrialMost));
    v.trial.harm = t.real(), v.trial.go_on = t.flag();
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
  const auto n = r.array(kVotersMost);
  for (std::uint32_t i = 0; i < n; ++i) out.push_back(r.element_text(i));
  return out;
}

using Servers = decltype(VotersAt::servers);
inline void pack(cluster::Packer& p, const Servers& servers) {
  p.array(servers.size());
  for (const auto& [name, role] : servers)
    p.array(2).text(name).number(static_cast<std::uint64_t>(role));
}
inline Servers servers(cluster::Reader& r) {
  Servers out;
  const auto n = r.array(kServersMost);
  for (std::uint32_t i = 0; i < n; ++i) {
    auto x = r.item(i, 2);
    auto name = x.text();
    out.emplace_back(std::move(name), static_cast<int>(x.number(RAFT_SPARE)));
    r.good = r.good && x.good;
  }
  return out;
}

inline void pack(cluster::Packer& p, const VotersAt& v) {
  p.array(2).number(v.index);
  pack(p, v.servers);
}
inline VotersAt voters(cluster::Reader&& r, bool& good) {
  VotersAt v;
  v.index = r.number(), v.servers = servers(r);
  good = good && r.good;
  return v;
}

}  // namespace alderspur::consensus

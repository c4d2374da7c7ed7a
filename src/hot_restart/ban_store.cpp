#include "hot_restart/ban_store.h"

#include <algorithm>
#include <utility>

#include "core/parsing.h"

namespace alderspur::hot_restart {
namespace {

constexpr std::string_view kForm = "bans 1 ";

}  // namespace

std::string encode(const Bans& bans) {
  std::string out(kForm);
  out += std::to_string(bans.serial) + '\n';
  for (const auto& name : bans.names) (out += name) += '\n';
  return out;
}

std::optional<Bans> decode_bans(std::string_view payload) {
  const auto line = [&] {
    const auto end = std::min(payload.find('\n'), payload.size());
    const auto text = payload.substr(0, end);
    payload.remove_prefix(std::min(payload.size(), end + 1));
    return text;
  };
  Bans out;
  const auto first = line();
  if (!first.starts_with(kForm) || !core::parse_number(first.substr(kForm.size()), out.serial))
    return {};
  while (!payload.empty()) {
    const auto name = line();
    if (name.empty() || !core::is_plain_word(name) || out.names.size() >= kBansMost) return {};
    out.names.emplace(name);
  }
  return out;
}

void carry_out(const BanChange& change, std::set<std::string>& names) {
  if (change.out)
    names.insert(change.name);
  else
    names.erase(change.name);
}

void BanStore::call(const BanChange& change) {
  // A later call on the same server stands for the one that did not reach the disk.
  std::erase_if(unsaved_, [&](auto& c) { return c.name == change.name; });
  under_way_.push_back(change);
}

void BanStore::adopt(const Bans& list) {
  if (list.serial > list_.serial) list_ = list;
}
void BanStore::saved(const Bans& list) {
  if (!under_way_.empty()) under_way_.erase(under_way_.begin());
  adopt(list);
}
void BanStore::not_saved() {
  if (under_way_.empty()) return;
  const auto change = under_way_.front();
  under_way_.erase(under_way_.begin());
  const auto same = [&](auto& c) { return c.name == change.name; };
  if (std::none_of(under_way_.begin(), under_way_.end(), same)) unsaved_.push_back(change);
}
std::vector<BanChange> BanStore::again() {
  std::erase_if(unsaved_, [&](auto& c) {
    return std::any_of(under_way_.begin(), under_way_.end(),
                       [&](auto& u) { return u.name == c.name; });
  });
  const std::size_t room = kUnderWayMost - std::min(kUnderWayMost, under_way_.size());
  const auto end = unsaved_.begin() + static_cast<std::ptrdiff_t>(std::min(room, unsaved_.size()));
  std::vector<BanChange> out(unsaved_.begin(), end);
  unsaved_.erase(unsaved_.begin(), end);
  under_way_.insert(under_way_.end(), out.begin(), out.end());
  return out;
}
void BanStore::seen(const Bans& list) { adopt(list); }

bool BanStore::in_force(const std::string& name) const {
  bool out = list_.names.contains(name);
  for (const auto* changes : {&unsaved_, &under_way_})
    for (const auto& c : *changes)
      if (c.name == name) out = c.out;
  return out;
}

bool BanStore::settled(const std::string& name) const {
  for (const auto* changes : {&unsaved_, &under_way_})
    for (const auto& c : *changes)
      if (c.name == name) return false;
  return true;
}

std::vector<BanChange> BanStore::take() {
  std::set<std::string> now = list_.names;
  for (const auto* changes : {&unsaved_, &under_way_})
    for (const auto& c : *changes) carry_out(c, now);
  std::vector<BanChange> out;
  for (const auto& name : now)
    if (!told_.contains(name)) out.push_back({name, true});
  for (const auto& name : told_)
    if (!now.contains(name)) out.push_back({name, false});
  told_ = std::move(now);
  return out;
}

}  // namespace alderspur::hot_restart

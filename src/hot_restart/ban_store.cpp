#include "hot_restart/ban_store.h"

#include <algorithm>
#include <utility>

#include "core/parsing.h"

namespace alderspur::hot_restart {
namespace {

// The payload consists of the line "bans 1 SERIAL" and one line with the server's name for each
// ban.
constexpr std::string_view kFormatPrefix = "bans 1 ";

/// Removes the first line from `text` and returns it without its line break.
std::string_view take_line(std::string_view& text) {
  const auto end = std::min(text.find('\n'), text.size());
  const auto line = text.substr(0, end);
  text.remove_prefix(std::min(text.size(), end + 1));
  return line;
}

/// Reports whether one of the changes concerns the server.
bool contains(const std::vector<BanChange>& changes, const std::string& server) {
  return std::any_of(changes.begin(), changes.end(),
                     [&](const BanChange& change) { return change.server == server; });
}

}  // namespace

std::string encode(const BanList& list) {
  std::string payload(kFormatPrefix);
  payload += std::to_string(list.serial);
  payload += '\n';
  for (const auto& server : list.servers) {
    payload += server;
    payload += '\n';
  }
  return payload;
}

std::optional<BanList> decode_ban_list(std::string_view payload) {
  const auto first = take_line(payload);
  if (!first.starts_with(kFormatPrefix)) return {};
  const auto serial = core::parse_number<std::uint64_t>(first.substr(kFormatPrefix.size()));
  if (!serial) return {};
  BanList list;
  list.serial = *serial;
  while (!payload.empty()) {
    const auto server = take_line(payload);
    if (server.empty() || !core::is_plain_word(server) || list.servers.size() >= kMaxBans) {
      return {};
    }
    list.servers.emplace(server);
  }
  return list;
}

void apply_change(const BanChange& change, std::set<std::string>& servers) {
  if (change.is_banned) {
    servers.insert(change.server);
  } else {
    servers.erase(change.server);
  }
}

void BanStore::begin_change(const BanChange& change) {
  // The new change replaces an earlier change of the same server that could not be saved.
  std::erase_if(failed_, [&](const BanChange& failed) { return failed.server == change.server; });
  pending_.push_back(change);
}

void BanStore::adopt_if_newer(const BanList& list) {
  if (list.serial > saved_list_.serial) saved_list_ = list;
}

void BanStore::on_saved(const BanList& list) {
  if (!pending_.empty()) pending_.erase(pending_.begin());
  adopt_if_newer(list);
}

void BanStore::on_save_failed() {
  if (pending_.empty()) return;
  const BanChange change = pending_.front();
  pending_.erase(pending_.begin());
  if (!contains(pending_, change.server)) failed_.push_back(change);
}

void BanStore::on_list_read(const BanList& list) { adopt_if_newer(list); }

std::vector<BanChange> BanStore::retry_failed_changes() {
  std::erase_if(failed_,
                [&](const BanChange& change) { return contains(pending_, change.server); });
  const std::size_t room = kMaxPendingChanges - std::min(kMaxPendingChanges, pending_.size());
  const auto end = failed_.begin() + static_cast<std::ptrdiff_t>(std::min(room, failed_.size()));
  std::vector<BanChange> retried(failed_.begin(), end);
  failed_.erase(failed_.begin(), end);
  pending_.insert(pending_.end(), retried.begin(), retried.end());
  return retried;
}

bool BanStore::is_banned(const std::string& server) const {
  bool is_banned = saved_list_.servers.contains(server);
  for (const auto* changes : {&failed_, &pending_}) {
    for (const auto& change : *changes) {
      if (change.server == server) is_banned = change.is_banned;
    }
  }
  return is_banned;
}

bool BanStore::is_saved(const std::string& server) const {
  return !contains(failed_, server) && !contains(pending_, server);
}

bool BanStore::has_room_for(const BanChange& change) const {
  if (pending_.size() >= kMaxPendingChanges) return false;
  return !change.is_banned || is_banned(change.server) || reported_.size() < kMaxBans;
}

std::vector<BanChange> BanStore::take_effective_changes() {
  std::set<std::string> effective = saved_list_.servers;
  for (const auto* changes : {&failed_, &pending_}) {
    for (const auto& change : *changes) apply_change(change, effective);
  }
  std::vector<BanChange> result;
  for (const auto& server : effective) {
    if (!reported_.contains(server)) result.push_back({server, true});
  }
  for (const auto& server : reported_) {
    if (!effective.contains(server)) result.push_back({server, false});
  }
  reported_ = std::move(effective);
  return result;
}

}  // namespace alderspur::hot_restart

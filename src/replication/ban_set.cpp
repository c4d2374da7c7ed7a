#include "replication/ban_set.h"

#include <algorithm>
#include <utility>

#include "msgpack_codec/reader.h"
#include "msgpack_codec/writer.h"
#include "replication/digest.h"

namespace alderspur::replication {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

constexpr std::uint64_t kMaxTime = std::uint64_t{1} << 62;  // Unix time, microseconds
// Numbers of array elements.
constexpr std::size_t kBanFields = 6;
constexpr std::size_t kDotFields = 3;

// The three parts of a digest have different weights, so that moving a dot from one part to another
// changes the digest.
constexpr std::uint64_t kBanWeight = 3;
constexpr std::uint64_t kContiguousWeight = 5;
constexpr std::uint64_t kDetachedWeight = 7;

void write_dot(Writer& writer, const Dot& dot) {
  writer.text(dot.author.name).number(dot.author.epoch).number(dot.sequence);
}

Dot read_dot(Reader& reader) {
  Dot dot;
  dot.author.name = reader.text();
  dot.author.epoch = reader.number();
  dot.sequence = reader.number();
  return dot;
}

// Reads the dot of a change. The sequence numbers of an author start at 1, so 0 is rejected.
Dot read_change(Reader& reader) {
  Dot dot = read_dot(reader);
  if (dot.sequence == 0) reader.fail();
  return dot;
}

/// A ban and the dot of the change that made it.
struct DottedBan {
  Dot dot;
  Ban ban;
};

DottedBan read_dotted_ban(Reader& fields) {
  DottedBan dotted;
  dotted.dot = read_change(fields);
  dotted.ban.server = fields.text(kMaxServerName);
  dotted.ban.cause = fields.text(kMaxCause);
  dotted.ban.at = static_cast<Time>(fields.number(kMaxTime));
  return dotted;
}

}  // namespace

void BanSet::insert(const Dot& dot, const Ban& ban) {
  if (bans_.emplace(dot, ban).second) ++bans_by_server_[ban.server];
}

std::map<Dot, Ban>::iterator BanSet::erase(std::map<Dot, Ban>::iterator position) {
  const auto count = bans_by_server_.find(position->second.server);
  if (--count->second == 0) bans_by_server_.erase(count);
  return bans_.erase(position);
}

Dot BanSet::next_dot(const Author& author) const {
  if (last_own_change_ && last_own_change_->author.name == author.name) {
    const auto& [own_author, sequence] = *last_own_change_;
    // A later change of the same author means that this copy was restored from an outdated file.
    if (context_.last_received(own_author) == sequence) return {own_author, sequence + 1};
  }
  return {author, context_.last_received(author) + 1};
}

bool BanSet::has_room_for(const Author& author) const {
  return bans_.size() < kMaxBans && context_.has_room_for(next_dot(author).author);
}

bool BanSet::is_banned_by(const Author& author, std::string_view server) const {
  return std::any_of(bans_.begin(), bans_.end(), [&](const auto& entry) {
    return entry.first.author == author && entry.second.server == server;
  });
}

BanSet BanSet::add_change(const Dot& dot, const std::optional<Ban>& ban) {
  BanSet delta;
  (void)context_.add(dot);
  (void)delta.context_.add(dot);
  if (ban) {
    insert(dot, *ban);
    delta.insert(dot, *ban);
  }
  last_own_change_ = dot;
  return delta;
}

BanSet BanSet::add(const Author& author, const Ban& ban) {
  if (!has_room_for(author)) return {};
  const Dot dot = next_dot(author);
  if (is_banned_by(dot.author, ban.server)) return {};
  return add_change(dot, ban);
}

BanSet BanSet::lift(std::string_view server) {
  // The delta contains the dots in its context only, not the bans. Each copy that joins the delta
  // therefore removes the bans.
  BanSet delta;
  for (auto position = bans_.begin(); position != bans_.end();) {
    if (position->second.server != server) {
      ++position;
      continue;
    }
    (void)delta.context_.add(position->first);
    position = erase(position);
  }
  return delta;
}

void BanSet::remove_bans_lifted_in(const BanSet& other) {
  for (auto position = bans_.begin(); position != bans_.end();) {
    const Dot& dot = position->first;
    const bool is_lifted = !other.bans_.contains(dot) && other.context_.contains(dot);
    position = is_lifted ? erase(position) : std::next(position);
  }
}

void BanSet::join(const BanSet& other) {
  remove_bans_lifted_in(other);
  CausalContext seen = context_;
  for (const auto& [dot, ban] : other.bans_) {
    if (context_.contains(dot)) continue;  // already present in this copy, or already lifted
    if (bans_.size() >= kMaxBans) continue;
    if (seen.add(dot)) insert(dot, ban);
  }
  // A ban that was left out because of a limit must not enter the context: it would count as lifted
  // in this copy, and then in all copies.
  const bool is_complete =
      std::all_of(other.bans_.begin(), other.bans_.end(), [&](const auto& entry) {
        return context_.contains(entry.first) || bans_.contains(entry.first);
      });
  context_ = std::move(seen);
  if (is_complete) context_.join(other.context_);
}

std::vector<std::string> BanSet::banned_servers() const {
  std::vector<std::string> servers;
  servers.reserve(bans_by_server_.size());
  for (const auto& [server, count] : bans_by_server_) servers.push_back(server);
  return servers;
}

Time BanSet::latest_time() const {
  Time latest = 0;
  for (const auto& [dot, ban] : bans_) latest = std::max(latest, ban.at);
  return latest;
}

std::uint64_t BanSet::digest() const {
  std::uint64_t sum = 0;
  for (const auto& [dot, ban] : bans_) sum += hash_dot(dot.author, dot.sequence) * kBanWeight;
  for (const auto& [author, last] : context_.contiguous()) {
    sum += hash_dot(author, last) * kContiguousWeight;
  }
  for (const auto& dot : context_.detached()) {
    sum += hash_dot(dot.author, dot.sequence) * kDetachedWeight;
  }
  return sum;
}

std::string BanSet::encode() const {
  Writer writer;
  writer.array(kElements);
  write(writer);
  return writer.str();
}

void BanSet::write(Writer& writer) const {
  writer.array(bans_.size());
  for (const auto& [dot, ban] : bans_) {
    writer.array(kBanFields);
    write_dot(writer, dot);
    writer.text(ban.server).text(ban.cause).number(static_cast<std::uint64_t>(ban.at));
  }
  writer.array(context_.contiguous().size());
  for (const auto& [author, last] : context_.contiguous()) {
    writer.array(kDotFields);
    write_dot(writer, {author, last});
  }
  writer.array(context_.detached().size());
  for (const auto& dot : context_.detached()) {
    writer.array(kDotFields);
    write_dot(writer, dot);
  }
}

std::optional<BanSet> BanSet::decode(std::string_view bytes) {
  if (bytes.size() > kMaxEncodedBans) return std::nullopt;
  return msgpack_codec::decode_array(bytes, kElements, &BanSet::read);
}

BanSet BanSet::read(Reader& reader) {
  BanSet decoded;
  for (const auto& [dot, ban] : reader.records(kMaxBans, kBanFields, read_dotted_ban)) {
    decoded.insert(dot, ban);
  }
  for (const Dot& last : reader.records(kMaxAuthors, kDotFields, read_dot)) {
    decoded.context_.add_up_to(last.author, last.sequence);
  }
  for (const Dot& dot : reader.records(kMaxDetachedDots, kDotFields, read_change)) {
    if (!decoded.context_.add(dot)) reader.fail();
  }
  // The dot of each ban must be in the causal context. No router writes a copy that violates this.
  for (const auto& [dot, ban] : decoded.bans_) {
    if (!decoded.context_.contains(dot)) reader.fail();
  }
  return decoded;
}

}  // namespace alderspur::replication

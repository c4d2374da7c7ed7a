#include "replication/replica.h"

#include <algorithm>
#include <utility>

namespace alderspur::replication {
namespace {

// A replica that is not caught up compares this many times as often, because its router serves
// requests without the bans and purges that are missing.
constexpr Time kCatchUpSpeed = 5;

// Number of random draws per gossip target. If they are used up, fewer peers receive the change.
constexpr std::size_t kDrawsPerPeer = 4;

// The result of comparing bucket digests: floors to send, and buckets whose floors to request.
struct BucketDifferences {
  std::vector<PurgeFloor> ours;
  std::vector<std::size_t> buckets;
  bool is_full() const {
    return ours.size() >= kMaxFloorsPerFrame || buckets.size() >= kMaxFloorsPerFrame;
  }
};

void add_differing_buckets(const PurgeFloors& floors, std::size_t range,
                           const BucketDigests& theirs, BucketDifferences& differences) {
  const auto ours = floors.bucket_digests(range);
  for (std::size_t i = 0; i < kBucketsPerRange && !differences.is_full(); ++i) {
    if (ours[i] == theirs[i]) continue;
    const std::size_t bucket = range * kBucketsPerRange + i;
    differences.buckets.push_back(bucket);
    floors.append_bucket(bucket, differences.ours, kMaxFloorsPerFrame);
  }
}

}  // namespace

const char* to_string(Bound bound) {
  switch (bound) {
    case Bound::bans:
      return "bans";
    case Bound::authors:
      return "authors";
    case Bound::detached_dots:
      return "detached_dots";
    case Bound::floors:
      return "floors";
  }
  return "unknown";
}

Replica::Replica(ReplicaSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed), floors_(settings_.max_floors) {}

void Replica::handle(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  if (started_at_ == 0) {
    started_at_ = now_;
    compare_at_ = now_;
  }
  actions_ = &actions;
  std::visit([this](const auto& specific) { on(specific); }, event);
  report_reached_bounds();
  actions_ = nullptr;
}

// ---- Clock skew

void Replica::on(const ClockRead& event) { unix_offset_ = event.unix_now - now_; }

// Returns false and reports a clock skew if `time` is too far ahead of this router's clock.
bool Replica::accept_time(Time time, const std::string& from) {
  if (!unix_offset_) return true;
  const Time ahead = time - (now_ + *unix_offset_);
  if (ahead <= settings_.max_clock_skew) return true;
  ++counters_.clock_skews;
  actions_->push_back(ReportClockSkew{from, ahead});
  return false;
}

void Replica::send_rejection(const std::string& to) {
  send(to, encode_rejected(now_ + *unix_offset_ + settings_.max_clock_skew));
}

void Replica::handle(const std::string& from, const RejectedFrame& frame) {
  ++counters_.rejected_by_peers;
  Rejection& rejection = rejections_[from];
  rejection.accepted_until = frame.accepted_until;
  rejection.received_at = now_;
  for (const auto& [dot, ban] : bans_.bans()) {
    if (!is_own(dot) || ban.at <= frame.accepted_until) continue;
    if (!rejection.reported_servers.insert(ban.server).second) continue;
    const Time peer_now = frame.accepted_until - settings_.max_clock_skew;
    const Time ahead = unix_offset_ ? now_ + *unix_offset_ - peer_now : 0;
    actions_->push_back(ReportRejectedBan{ban.server, from, ahead});
  }
}

// What a peer accepts advances with its clock, so a ban that it rejects is accepted later.
std::vector<std::string> Replica::peers_rejecting(const std::string& server) const {
  std::vector<std::string> peers;
  for (const auto& [peer, rejection] : rejections_) {
    const Time accepted_until = rejection.accepted_until + (now_ - rejection.received_at);
    const bool is_rejected =
        std::any_of(bans_.bans().begin(), bans_.bans().end(), [&](const auto& entry) {
          const auto& [dot, ban] = entry;
          return is_own(dot) && ban.server == server && ban.at > accepted_until;
        });
    if (is_rejected) peers.push_back(peer);
  }
  return peers;
}

void Replica::on(const BansLoaded& event) {
  if (!accept_time(event.bans.latest_time(), {})) return;
  bans_.join(event.bans);
  const auto& last = event.bans.last_own_change();
  if (!last) return;
  bans_.set_last_own_change(last);
  loaded_sequence_ = last->sequence;
}

// ---- Limits

void Replica::report_reached_bounds() {
  const CausalContext& context = bans_.context();
  update_bound(Bound::bans, bans_.bans().size() >= kMaxBans);
  update_bound(Bound::authors, context.contiguous().size() >= kMaxAuthors);
  update_bound(Bound::detached_dots, context.detached().size() >= kMaxDetachedDots);
  update_bound(Bound::floors, floors_.folds() != folds_reported_);
  folds_reported_ = floors_.folds();
}

void Replica::update_bound(Bound bound, bool is_reached) {
  if (!is_reached) {
    reached_bounds_.erase(bound);
    return;
  }
  if (!reached_bounds_.insert(bound).second) return;
  ++counters_.bounds_reached;
  actions_->push_back(ReportBound{bound});
}

// ---- Changes

void Replica::send(const std::string& to, std::string bytes) {
  actions_->push_back(SendFrame{to, std::move(bytes)});
}

// Sends a frame to `fanout` different random peers, except the peer that it was received from.
void Replica::gossip(const std::string& bytes, const std::string& except) {
  ++counters_.changes_gossiped;
  if (peers_.empty()) return;
  std::vector<std::string> targets;
  const std::size_t max_draws = kDrawsPerPeer * settings_.fanout;
  for (std::size_t draw = 0; draw < max_draws && targets.size() < settings_.fanout; ++draw) {
    const auto& name = peers_[random_() % peers_.size()];
    const bool is_drawn = std::find(targets.begin(), targets.end(), name) != targets.end();
    if (name != except && !is_drawn) targets.push_back(name);
  }
  for (const auto& name : targets) send(name, bytes);
}

void Replica::gossip_bans(const BanSet& delta, const std::string& except) {
  if (!delta.empty()) gossip(encode_ban_delta(delta), except);
}

void Replica::on(const PeersChanged& event) {
  const bool has_first_peers = peers_.empty() && !event.names.empty();
  peers_ = event.names;
  const auto is_gone = [this](const std::string& name) {
    return std::find(peers_.begin(), peers_.end(), name) == peers_.end();
  };
  std::erase_if(open_comparisons_, is_gone);
  std::erase_if(full_bans_sent_at_, [&](const auto& entry) { return is_gone(entry.first); });
  std::erase_if(rejections_, [&](const auto& entry) { return is_gone(entry.first); });
  if (has_first_peers && !is_caught_up_) compare_at_ = now_;
}

void Replica::on(const BanRequested& event) {
  const Ban ban{event.server, event.cause.substr(0, kMaxCause), event.at};
  gossip_bans(bans_.add(settings_.self, ban), {});
  if (bans_.is_banned(ban.server)) return;
  ++counters_.bans_refused;
  actions_->push_back(ReportRefusedBan{ban.server});
}

void Replica::on(const LiftRequested& event) { gossip_bans(bans_.lift(event.server), {}); }

void Replica::on(const PurgeObserved& event) {
  if (!accept_time(event.floor.at, {})) return;
  if (floors_.raise(event.floor)) gossip(encode_floor_updates({event.floor}), {});
}

bool Replica::apply_floor(const PurgeFloor& floor) {
  if (!floors_.raise(floor)) return false;
  actions_->push_back(ApplyPurge{floor});
  return true;
}

void Replica::apply_global_floor(Time at) {
  if (floors_.raise_global(at)) actions_->push_back(ApplyGlobalPurge{at});
}

// Merges bans and notifies the router of the net effect only: if two bans and one lift of a server
// arrive together, the router receives one ban.
void Replica::join_bans(const BanSet& theirs) {
  const auto before = bans_.banned_servers();
  if (knows_later_own_change(theirs)) {
    repeat_own_bans_as_new_author(theirs);
  } else {
    bans_.join(theirs);
  }
  for (const auto& server : before) {
    if (!bans_.is_banned(server)) actions_->push_back(SetBan{server, false});
  }
  for (const auto& server : bans_.banned_servers()) {
    if (!std::binary_search(before.begin(), before.end(), server)) {
      actions_->push_back(SetBan{server, true});
    }
  }
}

bool Replica::knows_later_own_change(const BanSet& theirs) const {
  const auto& last = bans_.last_own_change();
  return last && theirs.context().last_received(last->author) > last->sequence;
}

// Joins a set that contains changes which another process of this router has made, with dots that
// this process may have used for other bans.
void Replica::repeat_own_bans_as_new_author(const BanSet& theirs) {
  const Author author = bans_.last_own_change()->author;
  std::vector<Ban> own_bans;
  for (const auto& [dot, ban] : bans_.bans()) {
    if (dot.author == author && dot.sequence > loaded_sequence_) own_bans.push_back(ban);
  }
  actions_->push_back(ReportOutdatedBans{});
  bans_.set_last_own_change(std::nullopt);
  bans_.join(theirs);
  for (const auto& ban : own_bans) gossip_bans(bans_.add(settings_.self, ban), {});
}

// ---- Comparisons

void Replica::on(const Tick& /*event*/) {
  if (now_ < compare_at_) return;
  const Time speed = is_caught_up_ ? 1 : kCatchUpSpeed;
  compare_at_ = now_ + settings_.compare_interval / speed;
  if (peers_.empty()) has_more_to_receive_ = false;
  const bool has_waited = now_ >= started_at_ + settings_.catch_up_timeout;
  if (has_waited && !has_more_to_receive_) is_caught_up_ = true;
  if (!peers_.empty()) compare_with(peers_[random_() % peers_.size()]);
}

void Replica::compare_with(const std::string& peer) {
  ++counters_.comparisons;
  open_comparisons_.insert(peer);
  send(peer, encode_digests(bans_, floors_));
}

void Replica::send_full_bans(const std::string& to) {
  ++counters_.full_bans_sent;
  send(to, encode_full_bans(bans_));
}

void Replica::send_differing_ranges(const std::string& to, Time their_global_floor,
                                    const RangeDigests& theirs) {
  const auto ours = floors_.range_digests();
  std::vector<std::size_t> differing;
  for (std::size_t range = 0; range < kRanges; ++range) {
    if (ours[range] != theirs[range]) differing.push_back(range);
  }
  if (differing.empty() && their_global_floor == floors_.global_floor()) {
    return;
  }
  // The ranges to send are chosen at random. In a fixed order, a large difference would never get
  // past the first ranges.
  std::shuffle(differing.begin(), differing.end(), random_);
  if (differing.size() > kMaxRangesPerFrame) differing.resize(kMaxRangesPerFrame);
  std::vector<RangeBuckets> ranges;
  ranges.reserve(differing.size());
  for (const auto range : differing) ranges.push_back({range, floors_.bucket_digests(range)});
  send(to, encode_bucket_digests(floors_.global_floor(), ranges));
}

// ---- Frames

// The whole frame is decoded and checked before any part of it takes effect, so a rejected frame
// changes nothing.
void Replica::on(const FrameReceived& event) {
  const auto frame = decode_frame(event.bytes);
  if (!frame) {
    ++counters_.rejected;
    return;
  }
  if (!accept_time(latest_time(*frame), event.from)) {
    ++counters_.rejected;
    send_rejection(event.from);
    return;
  }
  std::visit([&](const auto& specific) { handle(event.from, specific); }, *frame);
}

void Replica::handle(const std::string& from, const BanDeltaFrame& frame) {
  const auto digest_before = bans_.digest();
  join_bans(frame.delta);
  if (bans_.digest() != digest_before) gossip_bans(frame.delta, from);
}

// A full set is answered with a full set only once in each comparison that this replica has opened.
// Otherwise, two replicas that a limit prevents from becoming equal would answer each other
// forever.
void Replica::handle(const std::string& from, const FullBansFrame& frame) {
  join_bans(frame.bans);
  const bool is_peer_behind = bans_.digest() != frame.bans.digest();
  if (is_peer_behind && open_comparisons_.erase(from) > 0) send_full_bans(from);
}

void Replica::handle(const std::string& from, const FloorUpdatesFrame& frame) {
  std::vector<PurgeFloor> new_here;
  for (const auto& floor : frame.floors) {
    if (apply_floor(floor)) new_here.push_back(floor);
  }
  if (!new_here.empty()) gossip(encode_floor_updates(new_here), from);
}

void Replica::handle(const std::string& from, const DigestsFrame& frame) {
  apply_global_floor(frame.global_floor);
  const bool has_same_bans = frame.bans_digest == bans_.digest();
  const bool has_same_floors =
      floors_.range_digests() == frame.ranges && frame.global_floor == floors_.global_floor();
  if (has_same_bans && has_same_floors) {
    send(from, encode_identical());
    return;
  }
  if (!has_same_bans) answer_with_bans(from);
  send_differing_ranges(from, frame.global_floor, frame.ranges);
}

// Sends the full set of bans, limited in rate: successive comparisons that transfer floors do not
// transfer the bans each time.
void Replica::answer_with_bans(const std::string& to) {
  const auto [sent_at, is_first] = full_bans_sent_at_.try_emplace(to, now_);
  const bool is_due = now_ >= sent_at->second + settings_.compare_interval / kCatchUpSpeed;
  if (!is_first && !is_due) return;
  sent_at->second = now_;
  send_full_bans(to);
}

void Replica::handle(const std::string& from, const IdenticalFrame& /*frame*/) {
  ++counters_.identical;
  rejections_.erase(from);
  is_caught_up_ = true;
}

void Replica::handle(const std::string& from, const BucketDigestsFrame& frame) {
  apply_global_floor(frame.global_floor);
  BucketDifferences differences;
  for (const auto& [range, digests] : frame.ranges) {
    add_differing_buckets(floors_, range, digests, differences);
  }
  counters_.differing_buckets += differences.buckets.size();
  if (differences.buckets.empty()) return;
  send(from, encode_floors(floors_.global_floor(), differences.ours, differences.buckets));
}

void Replica::handle(const std::string& from, const FloorsFrame& frame) {
  apply_global_floor(frame.global_floor);
  std::vector<PurgeFloor> requested;
  for (const auto bucket : frame.requested_buckets) {
    floors_.append_bucket(bucket, requested, kMaxFloorsPerFrame);
  }
  counters_.floors_received += frame.floors.size();
  has_more_to_receive_ = frame.floors.size() >= kMaxFloorsPerFrame;
  for (const auto& floor : frame.floors) apply_floor(floor);
  if (!requested.empty()) {
    send(from, encode_floors(floors_.global_floor(), requested, {}));
  }
  // This opens the next comparison at once, until both states are identical. A replica that was
  // down for long catches up without waiting for its next scheduled comparison.
  if (frame.requested_buckets.empty() && !frame.floors.empty()) compare_with(from);
}

}  // namespace alderspur::replication

#include "cluster/frame_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <utility>

#include "core/parsing.h"

namespace alderspur::cluster {
namespace {

constexpr std::string_view kMagic = "ALC1";
constexpr std::string_view kMagicPrefix = kMagic.substr(0, 3);  // the same in all versions
constexpr std::size_t kClusterOffset = kMagic.size();
constexpr std::size_t kSenderOffset = kClusterOffset + 8;
constexpr std::size_t kSequenceOffset = kSenderOffset + 8;
constexpr std::size_t kHeaderSize = kSequenceOffset + 8;
constexpr std::size_t kMacSize = 32;
static_assert(kHeaderSize + kMacSize == kFrameOverhead);

constexpr std::uint64_t kWindowSize = 64;  // sequence numbers, one bit each
constexpr double kMicrosecondsPerSecond = 1e6;

void append_little_endian(std::string& out, std::uint64_t number) {
  for (int byte = 0; byte < 8; ++byte) out += static_cast<char>(number >> (8 * byte));
}

std::uint64_t read_little_endian(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t byte = 8; byte-- > 0;) {
    number = number << 8 | static_cast<unsigned char>(bytes[byte]);
  }
  return number;
}

}  // namespace

const char* to_string(FrameStatus status) {
  constexpr std::array kNames = {"good",   "unreadable", "later",   "foreign",
                                 "spoilt", "replayed",   "flooding"};
  return kNames.at(static_cast<std::size_t>(status));
}

FrameAuthenticator::FrameAuthenticator(std::string_view cluster, std::string secret,
                                       std::uint64_t sender_id, FrameRate rate)
    : FrameAuthenticator(core::stable_hash(cluster), std::move(secret), sender_id, rate) {}

FrameAuthenticator::FrameAuthenticator(std::uint64_t cluster_hash, std::string secret,
                                       std::uint64_t sender_id, FrameRate rate)
    : cluster_hash_(cluster_hash), sender_id_(sender_id), secret_(std::move(secret)), rate_(rate) {}

FrameAuthenticator FrameAuthenticator::with_sender(std::uint64_t sender_id, FrameRate rate) const {
  return {cluster_hash_, secret_, sender_id, rate};
}

std::string FrameAuthenticator::compute_mac(std::string_view bytes) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), mac.data(), &size);
  return {reinterpret_cast<const char*>(mac.data()), kMacSize};
}

std::string FrameAuthenticator::sign(std::string_view payload) {
  std::string frame(kMagic);
  append_little_endian(frame, cluster_hash_);
  append_little_endian(frame, sender_id_);
  append_little_endian(frame, ++last_sequence_);
  frame += payload;
  frame += compute_mac(frame);
  return frame;
}

VerifiedFrame FrameAuthenticator::verify(std::string_view frame, core::Time now) {
  if (frame.size() < kFrameOverhead || !frame.starts_with(kMagicPrefix)) {
    return {FrameStatus::unreadable, {}};
  }
  if (!frame.starts_with(kMagic)) return {FrameStatus::later_version, {}};
  if (read_little_endian(frame.substr(kClusterOffset)) != cluster_hash_) {
    return {FrameStatus::foreign_cluster, {}};
  }
  const std::uint64_t sender_id = read_little_endian(frame.substr(kSenderOffset));
  const std::uint64_t sequence = read_little_endian(frame.substr(kSequenceOffset));
  const auto known = senders_.find(sender_id);
  if (known != senders_.end()) {
    if (!take_token(known->second, now)) return {FrameStatus::rate_limited, {}};
    if (known->second.is_replay(sequence)) return {FrameStatus::replayed, {}};
  }
  const auto authenticated = frame.substr(0, frame.size() - kMacSize);
  const auto expected = compute_mac(authenticated);
  if (CRYPTO_memcmp(expected.data(), frame.data() + authenticated.size(), kMacSize) != 0) {
    return {FrameStatus::forged, {}};
  }
  // The sender's state changes only after the MAC is verified: a forged frame must not advance a
  // replay window or evict another sender.
  Sender& sender = known != senders_.end() ? known->second : add_sender(sender_id, now);
  sender.mark_received(sequence);
  return {FrameStatus::valid, authenticated.substr(kHeaderSize)};
}

bool FrameAuthenticator::take_token(Sender& sender, core::Time now) const {
  const auto elapsed = static_cast<double>(std::max<core::Time>(0, now - sender.refilled_at));
  const double refill = rate_.per_second * elapsed / kMicrosecondsPerSecond;
  sender.tokens = std::min(rate_.burst, sender.tokens + refill);
  sender.refilled_at = now;
  if (sender.tokens < 1) return false;
  --sender.tokens;
  return true;
}

FrameAuthenticator::Sender& FrameAuthenticator::add_sender(std::uint64_t sender_id,
                                                           core::Time now) {
  if (sender_order_.size() >= kMaxSenders) {
    senders_.erase(sender_order_.front());
    sender_order_.pop_front();
  }
  sender_order_.push_back(sender_id);
  Sender& sender = senders_[sender_id];
  sender.refilled_at = now;
  sender.tokens = rate_.burst;
  return sender;
}

bool FrameAuthenticator::Sender::is_replay(std::uint64_t sequence) const {
  if (sequence > highest) return false;
  const std::uint64_t age = highest - sequence;
  return age >= kWindowSize || (received >> age & 1) != 0;
}

void FrameAuthenticator::Sender::mark_received(std::uint64_t sequence) {
  if (sequence <= highest) {
    received |= std::uint64_t{1} << (highest - sequence);
    return;
  }
  const std::uint64_t advance = sequence - highest;
  received = advance >= kWindowSize ? 1 : received << advance | 1;
  highest = sequence;
}

}  // namespace alderspur::cluster

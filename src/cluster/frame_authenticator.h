// Authenticates the frames that the members of a cluster send to each other. Each frame contains
// the hash of the cluster's name, the sender's id and a sequence number, and ends with a message
// authentication code (MAC) that is computed with the shared secret (HMAC-SHA256, RFC 2104). The
// class does no I/O and is not thread-safe.
//
// Layout of a frame: the magic "ALC1"; the hash of the cluster's name, the sender's id and the
// sequence number as 64-bit little-endian integers; the payload; the MAC.
//
// Replay protection: for each sender the receiver keeps a window of the last 64 sequence numbers. A
// frame is a replay if its sequence number was already received or is older than the window. The
// receiver keeps at most kMaxSenders senders and evicts the oldest entry first.
//
// Rate limit: a token bucket limits the frames accepted from each sender, so that a flood of frames
// from one sender does not affect the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/deadlines.h"

namespace alderspur::cluster {

constexpr std::size_t kMaxSenders = 8192;
constexpr std::size_t kFrameOverhead = 4 + 3 * 8 + 32;  // bytes besides the payload

/// Token bucket parameters for the frames that are accepted from one sender.
struct FrameRate {
  double per_second = 400;
  double burst = 400;
};

/// The result of verifying a frame.
enum class FrameStatus {
  valid,
  unreadable,       // not a frame of any version
  later_version,    // a frame of a version that this process does not support
  foreign_cluster,  // a frame of a cluster with another name
  forged,           // the MAC does not match: corrupted, or signed with another secret
  replayed,
  rate_limited,  // the sender exceeds its frame rate
};
/// Returns the name of the status as it appears in the log.
const char* to_string(FrameStatus status);

/// The status of a frame, with the payload if the frame is valid.
struct VerifiedFrame {
  FrameStatus status = FrameStatus::unreadable;
  std::string_view payload;  // points into the frame; empty unless the status is `valid`
};

/// Signs outgoing frames and verifies incoming ones.
class FrameAuthenticator {
 public:
  /// `sender_id` must be a new number at each start of a process.
  FrameAuthenticator(std::string_view cluster, std::string secret, std::uint64_t sender_id,
                     FrameRate rate = {});
  /// Returns an authenticator for the same cluster and secret that has received no frame yet.
  FrameAuthenticator with_sender(std::uint64_t sender_id, FrameRate rate = {}) const;

  /// Returns a signed frame that carries `payload`.
  std::string sign(std::string_view payload);
  /// Verifies a received frame. The cheap checks run first; the MAC is computed only if the cluster
  /// matches and, for a sender that is already in the table, the frame is within the sender's rate
  /// and not a replay. `now` is in microseconds.
  VerifiedFrame verify(std::string_view frame, core::Time now);

 private:
  struct Sender {
    std::uint64_t highest = 0;   // the highest sequence number received
    std::uint64_t received = 0;  // bit n is set if the number highest - n was received
    double tokens = 0;
    core::Time refilled_at = 0;

    bool is_replay(std::uint64_t sequence) const;
    void mark_received(std::uint64_t sequence);
  };

  FrameAuthenticator(std::uint64_t cluster_hash, std::string secret, std::uint64_t sender_id,
                     FrameRate rate);
  bool take_token(Sender& sender, core::Time now) const;
  std::string compute_mac(std::string_view bytes) const;
  Sender& add_sender(std::uint64_t sender_id, core::Time now);

  const std::uint64_t cluster_hash_;
  const std::uint64_t sender_id_;
  const std::string secret_;
  const FrameRate rate_;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<std::uint64_t, Sender> senders_;
  std::deque<std::uint64_t> sender_order_;  // keys of senders_, oldest first
};

}  // namespace alderspur::cluster

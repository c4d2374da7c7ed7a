// Authenticates what members of a cluster send each other: each frame names the cluster, the sender
// and a sequence number, and carries a message authentication code by the shared secret
// (HMAC-SHA256, RFC 2104). No I/O; not thread-safe.
//
// A frame: "ALC1"; in little-endian 64-bit numbers the cluster's hash, the sender's id and the
// sequence number; the payload; the code.
//
// Of each sender a window of 64 sequence numbers is remembered: a number that was seen in it, or is
// older, counts as replayed. Senders are remembered up to kMaxSenders; the first that came go
// first. What one sender may send is limited by a token bucket: a sender that floods costs the
// others nothing.
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

/// Limits what is accepted of one sender.
struct FrameRate {
  double per_second = 400;
  double burst = 400;
};

enum class FrameStatus {
  valid,
  unreadable,       // no frame of any version
  later_version,    //
  foreign_cluster,  // of a cluster of another name
  forged,           // the code is wrong: corrupted, or made with another secret
  replayed,
  rate_limited,
};
/// As it is logged.
const char* to_string(FrameStatus status);

struct VerifiedFrame {
  FrameStatus status = FrameStatus::unreadable;
  std::string_view payload;  // a slice of the frame, only where it is valid
};

class FrameAuthenticator {
 public:
  /// `sender_id` must be new at each start of a process.
  FrameAuthenticator(std::string_view cluster, std::string secret, std::uint64_t sender_id,
                     FrameRate rate = {});
  /// For the same cluster and secret, without the senders seen so far.
  FrameAuthenticator with_sender(std::uint64_t sender_id, FrameRate rate = {}) const;

  /// The frame that carries `payload`.
  std::string sign(std::string_view payload);
  /// Cheap checks come first: the code is computed only for frames that may be ours.
  VerifiedFrame verify(std::string_view frame, core::Time now);

 private:
  struct Sender {
    std::uint64_t highest = 0;  // sequence number
    std::uint64_t seen = 0;     // bit n stands for highest - n
    double tokens = 0;
    core::Time refilled_at = 0;

    bool has_seen(std::uint64_t sequence) const;
    void mark_seen(std::uint64_t sequence);
  };

  FrameAuthenticator(std::uint64_t cluster_hash, std::string secret, std::uint64_t sender_id,
                     FrameRate rate);
  bool take_token(Sender& sender, core::Time now) const;
  std::string code_of(std::string_view bytes) const;
  Sender& add_sender(std::uint64_t sender_id, core::Time now);

  const std::uint64_t cluster_hash_;
  const std::uint64_t sender_id_;
  const std::string secret_;
  const FrameRate rate_;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<std::uint64_t, Sender> senders_;
  std::deque<std::uint64_t> sender_order_;  // of senders_, as they came
};

}  // namespace alderspur::cluster

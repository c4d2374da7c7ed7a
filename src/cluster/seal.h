// What a message of the cluster is wrapped in: which cluster, which sender, its how manieth, and a
// code by the shared secret (HMAC-SHA256, RFC 2104). No I/O.
//
//   "ALC1", then in little-endian 64-bit numbers the cluster's hash, the sender, its count; the
//   payload; the code
//
// Of each sender (a number drawn at its start) a window of 64 counts is remembered: what comes
// again is replayed, and what is older than the window passes for it. Senders are remembered up to
// kSendersMost; the longest there go first. A sender may be heard kRate times a second, and kBurst
// at once: one that floods costs the others nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/deadlines.h"

namespace alderspur::cluster {

constexpr std::size_t kSendersMost = 8192, kSealBytes = 4 + 3 * 8 + 32;
constexpr double kRate = 400, kBurst = 400;

enum class Opened { good, unreadable, later, foreign, spoilt, replayed, flooding };
const char* word(Opened opened);

class Seal {
 public:
  // `sender` is to be new at each start.
  // `rate` and `burst` bound what is opened of one sender.
  Seal(std::string_view cluster, std::string secret, std::uint64_t sender, double rate = kRate,
       double burst = kBurst);
  // Of the same cluster and secret.
  Seal under(std::uint64_t sender, double rate = kRate, double burst = kBurst) const;
  std::string seal(std::string_view payload);
  // `payload` is a slice of `frame`. Cheapest checks first: the code is reckoned for what may be
  // ours only.
  Opened open(std::string_view frame, core::Time now, std::string_view& payload);

 private:
  Seal(std::uint64_t cluster, std::string secret, std::uint64_t sender, double rate, double burst);
  struct Window {
    std::uint64_t highest = 0, seen = 0;  // seen: bit n stands for highest - n
    double tokens = 0;
    core::Time at = 0;
  };
  std::string code(std::string_view bytes) const;
  const std::uint64_t cluster_, sender_;
  const std::string secret_;
  const double rate_, burst_;
  std::uint64_t count_ = 0;
  std::unordered_map<std::uint64_t, Window> windows_;
  std::deque<std::uint64_t> order_;
};

}  // namespace alderspur::cluster

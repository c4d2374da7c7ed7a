#include "cluster/seal.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

#include "core/parsing.h"

namespace alderspur::cluster {
namespace {

constexpr std::string_view kMagic = "ALC1";
constexpr std::size_t kCode = 32, kHead = 4 + 3 * 8;

void put(std::string& out, std::uint64_t n) {
  for (int i = 0; i < 8; ++i) out += static_cast<char>(n >> (8 * i));
}
std::uint64_t get(std::string_view bytes) {
  std::uint64_t n = 0;
  for (int i = 7; i >= 0; --i)
    n = n << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
  return n;
}

}  // namespace

const char* word(Opened opened) {
  constexpr const char* kWords[] = {"good",   "unreadable", "later",   "foreign",
                                    "spoilt", "replayed",   "flooding"};
  return kWords[static_cast<std::size_t>(opened)];
}

Seal::Seal(std::string_view cluster, std::string secret, std::uint64_t sender, double rate,
           double burst)
    : Seal(core::stable_hash(cluster), std::move(secret), sender, rate, burst) {}
Seal::Seal(std::uint64_t cluster, std::string secret, std::uint64_t sender, double rate,
           double burst)
    : cluster_(cluster), sender_(sender), secret_(std::move(secret)), rate_(rate), burst_(burst) {}
Seal Seal::under(std::uint64_t sender, double rate, double burst) const {
  return Seal(cluster_, secret_, sender, rate, burst);
}

std::string Seal::code(std::string_view bytes) const {
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), out, &size);
  return {reinterpret_cast<const char*>(out), kCode};
}

std::string Seal::seal(std::string_view payload) {
  std::string out(kMagic);
  put(out, cluster_), put(out, sender_), put(out, ++count_);
  out += payload;
  return out += code(out);
}

Opened Seal::open(std::string_view frame, core::Time now, std::string_view& payload) {
  if (frame.size() < kSealBytes || !frame.starts_with(kMagic.substr(0, 3)))
    return Opened::unreadable;
  if (!frame.starts_with(kMagic)) return Opened::later;
  if (get(frame.substr(4)) != cluster_) return Opened::foreign;
  const std::uint64_t sender = get(frame.substr(12)), count = get(frame.substr(20));
  const auto known = windows_.find(sender);
  if (known != windows_.end()) {
    Window& w = known->second;
    w.tokens = std::min(
        burst_, w.tokens + rate_ * static_cast<double>(std::max<core::Time>(0, now - w.at)) / 1e6);
    w.at = now;
    if (w.tokens < 1) return Opened::flooding;
    --w.tokens;
    if (count <= w.highest && (w.highest - count >= 64 || (w.seen >> (w.highest - count) & 1)))
      return Opened::replayed;
  }
  const auto body = frame.substr(0, frame.size() - kCode);
  const auto mine = code(body);
  if (CRYPTO_memcmp(mine.data(), frame.data() + body.size(), kCode) != 0) return Opened::spoilt;
  // Only now: what is not signed must not move a window, or take another's place.
  if (known == windows_.end()) {
    if (order_.size() >= kSendersMost) windows_.erase(order_.front()), order_.pop_front();
    order_.push_back(sender);
  }
  Window& w = windows_[sender];
  if (known == windows_.end()) w.at = now, w.tokens = burst_;
  if (count > w.highest) {
    const auto by = count - w.highest;
    w.seen = by >= 64 ? 1 : w.seen << by | 1;
    w.highest = count;
  } else {
    w.seen |= 1ULL << (w.highest - count);
  }
  payload = body.substr(kHead);
  return Opened::good;
}

}  // namespace alderspur::cluster

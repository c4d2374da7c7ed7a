// What the decisions estimate with: hashes, sliding counts, running means, moving limits, budgets.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "alderspur/router.h"

namespace alderspur {

constexpr Time kMs = 1000, kSecond = 1000 * kMs;
constexpr Time kWindow = 4 * kSecond;  // loads are counted over it: some tens of requests a cache
constexpr double kLearn = 0.05;        // weight of a new sample in running means
constexpr double kNoLimit = 1e9;       // a limit before the first answer moves it
constexpr double kLimitRoom = 3;  // times what is out: how far a limit rises, so that bursts pass

inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
inline double unit(std::uint64_t h) { return (static_cast<double>(h >> 11) + 0.5) * 0x1.0p-53; }
inline double known(double v) { return std::isfinite(v) && v > 0 ? v : 0; }

// A sliding count: the running window and a falling part of the one before.
class Window {
 public:
  void add(Time now, double x) {
    roll(now);
    current_ += x;
  }
  double read(Time now) {
    roll(now);
    return current_ + before_ * (1 - static_cast<double>(now % kWindow) / kWindow);
  }

 private:
  void roll(Time now) {
    const Time slot = now / kWindow;
    if (slot == slot_) return;
    before_ = slot == slot_ + 1 ? current_ : 0;
    current_ = 0;
    slot_ = slot;
  }
  double current_ = 0, before_ = 0;
  Time slot_ = 0;
};

struct Mean {
  double value = 0, dev = 0;
  bool any = false;
  void learn(double x, double weight = kLearn) {
    if (!any) value = x, dev = x / 2, any = true;
    dev += weight * (std::abs(x - value) - dev);
    value += weight * (x - value);
  }
};

struct Limit {  // on work out: moved by how close answers come to what they aim at, and by what is
                // out
  double value = kNoLimit;
  void learn(double step, double off, double least, double out) {
    value = std::clamp(value * (1 + step * off), least, std::max(4 * least, kLimitRoom * out));
  }
};

struct Bucket {  // a budget that requests fill and extra attempts empty
  double saved = 0;
  void earn(double x, double most) { saved = std::min(most, saved + x); }
  bool spend() { return saved >= 1 ? (saved -= 1, true) : false; }
};

}  // namespace alderspur

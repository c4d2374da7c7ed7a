// Lifeguard's local health score: how far this process itself may be slow or badly connected. The
// higher it is, the more time others are given to answer.
#pragma once

#include <algorithm>

namespace alderspur::cluster {

class LocalHealth {
 public:
  static constexpr int kWorst = 8;

  /// 0: healthy.
  int score() const { return score_; }
  void improve() { score_ = std::max(score_ - 1, 0); }
  void degrade() { score_ = std::min(score_ + 1, kWorst); }
  void degrade_to_worst() { score_ = kWorst; }

 private:
  int score_ = 0;
};

}  // namespace alderspur::cluster

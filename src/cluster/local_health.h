// The local health score of Lifeguard. It estimates how likely it is that this process itself is
// slow or badly connected. The higher the score, the longer the failure detector waits for answers
// of other members.
#pragma once

#include <algorithm>

namespace alderspur::cluster {

/// A saturating score from 0 (healthy) to kMaxScore.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 8;

  /// Returns the score; 0 means healthy.
  int score() const { return score_; }
  void improve() { score_ = std::max(score_ - 1, 0); }
  void degrade() { score_ = std::min(score_ + 1, kMaxScore); }
  void degrade_to_max() { score_ = kMaxScore; }

 private:
  int score_ = 0;
};

}  // namespace alderspur::cluster

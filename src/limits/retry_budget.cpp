#include "limits/retry_budget.h"

#include <algorithm>

namespace alderspur::limits {

RetryBudget::RetryBudget(double ratio, double max_saved)
    : ratio_(ratio), max_saved_(max_saved), saved_(max_saved / 2) {}

void RetryBudget::on_request() { saved_ = std::min(saved_ + ratio_, max_saved_); }

bool RetryBudget::try_retry() {
  if (saved_ < 1) return false;
  saved_ -= 1;
  return true;
}

}  // namespace alderspur::limits

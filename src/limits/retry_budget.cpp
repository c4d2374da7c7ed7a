#include "limits/retry_budget.h"

#include <algorithm>

namespace alderspur::limits {

RetryBudget::RetryBudget(double ratio, double max_balance)
    : ratio_(ratio), max_balance_(max_balance), balance_(max_balance / 2) {}

void RetryBudget::on_request() { balance_ = std::min(balance_ + ratio_, max_balance_); }

bool RetryBudget::try_retry() {
  if (balance_ < 1) return false;
  balance_ -= 1;
  return true;
}

}  // namespace alderspur::limits

// A budget for retries, as in the published design "Retry budgets" of the Finagle library: a
// service that fails every request gets 1 + ratio times as many, however patient its clients are.
#pragma once

namespace alderspur::limits {

/// Every request earns `ratio` of a retry, up to `max_saved`. Not thread-safe.
class RetryBudget {
 public:
  static constexpr double kDefaultMaxSaved = 20;

  /// Begins with half of `max_saved`.
  explicit RetryBudget(double ratio, double max_saved = kDefaultMaxSaved);

  /// Counts the first attempt of a request.
  void on_request();

  /// Takes one retry off the budget; false if there is none left.
  bool try_retry();

 private:
  double ratio_;
  double max_saved_;
  double saved_;
};

}  // namespace alderspur::limits

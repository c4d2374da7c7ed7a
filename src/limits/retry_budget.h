// A retry budget, as in the Finagle library ("Retry budgets"). It limits the load that retries
// cause: a service that fails every request receives at most 1 + ratio times as many requests,
// however often its clients would retry.
#pragma once

namespace alderspur::limits {

/// Each request adds `ratio` retries to the balance, up to `max_balance`; each retry takes one. Not
/// thread-safe.
class RetryBudget {
 public:
  /// The default of `max_balance`, in retries.
  static constexpr double kDefaultMaxBalance = 20;

  /// The initial balance is half of `max_balance`.
  explicit RetryBudget(double ratio, double max_balance = kDefaultMaxBalance);

  /// Adds to the balance for the first attempt of a request.
  void on_request();

  /// Takes one retry from the balance. Returns false if the balance is below one retry.
  bool try_retry();

 private:
  double ratio_;
  double max_balance_;
  double balance_;
};

}  // namespace alderspur::limits

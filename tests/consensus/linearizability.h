// Checks whether a history of client operations on a compare-and-set register is linearizable. For
// versions of the configuration, the register holds the number of the current version.
//
// Each operation has the time of its call and the time of its response. The history is linearizable
// if every operation can be assigned a single point in time between these two such that executing
// the operations in this order gives all the observed responses. The search for such an order is
// the algorithm of Wing and Gong (1993). Its time grows exponentially with the number of concurrent
// operations.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace alderspur::consensus::linearizability {

using Timestamp = std::int64_t;  // microseconds
/// The response time of an operation that got no response.
constexpr Timestamp kNoResponse = std::numeric_limits<Timestamp>::max();

/// A read or a compare-and-set operation of a client.
struct Operation {
  enum class Kind { read, change };
  Kind kind = Kind::read;
  Timestamp called_at = 0;
  Timestamp answered_at = kNoResponse;  // without a response, a change may have been applied or not
  std::uint64_t base = 0;               // of a change: the value it expects in the register
  std::uint64_t number = 0;  // the value read, or the value set by a change; 0 without a response
  bool is_rejected = false;  // of a change: it was not applied
};

/// Returns one line per operation, for the message of a failed check.
inline std::string describe(const std::vector<Operation>& operations) {
  std::string text;
  for (const auto& operation : operations) {
    const bool is_read = operation.kind == Operation::Kind::read;
    const bool is_answered = operation.answered_at != kNoResponse;
    text += is_read ? "read " : "change from " + std::to_string(operation.base) + " to ";
    text += std::to_string(operation.number);
    text += operation.is_rejected ? " rejected" : "";
    text += " [" + std::to_string(operation.called_at / 1000) + ", ";
    text += is_answered ? std::to_string(operation.answered_at / 1000) : "-";
    text += "] ms\n";
  }
  return text;
}

/// Searches for a linearization of a history by backtracking. Rejected changes are ignored, because
/// they do not change the register.
class LinearizabilitySearch {
 public:
  explicit LinearizabilitySearch(std::vector<Operation> operations)
      : operations_(std::move(operations)) {
    std::erase_if(operations_, [](const Operation& operation) { return operation.is_rejected; });
    is_placed_.resize(operations_.size());
  }

  /// Returns true if the operations that are not yet placed can be linearized, starting with the
  /// register value `value`.
  bool is_linearizable(std::uint64_t value = 0) {
    const Timestamp first_response = earliest_remaining_response();
    // Operations without a response need not have been applied.
    if (first_response == kNoResponse) return true;
    const bool is_new_state = visited_.insert({is_placed_, value}).second;
    if (!is_new_state) return false;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      // An operation that was called after the response of another one cannot precede it.
      if (is_placed_[i] || operations_[i].called_at > first_response) continue;
      for (const std::uint64_t next : next_values(operations_[i], value)) {
        is_placed_[i] = true;
        if (is_linearizable(next)) return true;
        is_placed_[i] = false;
      }
    }
    return false;
  }

 private:
  // Returns the earliest response time of the operations that are not yet placed.
  Timestamp earliest_remaining_response() const {
    Timestamp earliest = kNoResponse;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      if (!is_placed_[i]) earliest = std::min(earliest, operations_[i].answered_at);
    }
    return earliest;
  }
  // Returns the possible register values after an operation; empty if the operation cannot be
  // placed next.
  std::vector<std::uint64_t> next_values(const Operation& operation, std::uint64_t value) const {
    if (operation.kind == Operation::Kind::read) {
      return operation.number == value ? std::vector{value} : std::vector<std::uint64_t>{};
    }
    if (operation.base != value) return {};
    if (operation.answered_at != kNoResponse) return {operation.number};
    return observed_values_above(value);
  }
  // Returns the values that a change without a response may have set: those above `value` that
  // other operations have observed.
  std::vector<std::uint64_t> observed_values_above(std::uint64_t value) const {
    std::set<std::uint64_t> values;
    for (const auto& operation : operations_) {
      const bool is_read = operation.kind == Operation::Kind::read;
      const std::uint64_t observed = is_read ? operation.number : operation.base;
      if (observed > value) values.insert(observed);
    }
    return {values.begin(), values.end()};
  }

  std::vector<Operation> operations_;
  std::vector<bool> is_placed_;  // by operation: already part of the order
  std::set<std::pair<std::vector<bool>, std::uint64_t>> visited_;
};

/// Returns true if the history is linearizable, starting with the register value 0.
inline bool is_linearizable(const std::vector<Operation>& operations) {
  return LinearizabilitySearch(operations).is_linearizable();
}

}  // namespace alderspur::consensus::linearizability

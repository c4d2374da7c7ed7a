// Judges what clients saw of a register that is changed by compare-and-set: of versions, where the
// register is the number of the current one. An operation has the times of its call and of its
// response; the search is that of Wing and Gong (1993): is there an order of single moments, each
// within its operation, that explains all responses?
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
constexpr Timestamp kNoResponse = std::numeric_limits<Timestamp>::max();

struct Operation {
  enum class Kind { read, change };
  Kind kind = Kind::read;
  Timestamp called_at = 0;
  Timestamp answered_at = kNoResponse;  // without a response it may have happened, or not
  std::uint64_t base = 0;               // of a change
  std::uint64_t number = 0;  // what was read, or what the change became; 0 without a response
  bool is_rejected = false;  // a change that did not happen
};

/// One line an operation, for the message of a failed check.
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

class LinearizabilitySearch {
 public:
  explicit LinearizabilitySearch(std::vector<Operation> operations)
      : operations_(std::move(operations)) {
    std::erase_if(operations_, [](const Operation& operation) { return operation.is_rejected; });
    is_done_.resize(operations_.size());
  }

  /// True if the operations that are left have an order, when the register holds `value`.
  bool is_linearizable(std::uint64_t value = 0) {
    const Timestamp first_response = earliest_open_response();
    // Those without a response need not have happened.
    if (first_response == kNoResponse) return true;
    const bool is_new_state = visited_.insert({is_done_, value}).second;
    if (!is_new_state) return false;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      // An operation called after another's response cannot come before that one.
      if (is_done_[i] || operations_[i].called_at > first_response) continue;
      for (const std::uint64_t next : next_values(operations_[i], value)) {
        is_done_[i] = true;
        if (is_linearizable(next)) return true;
        is_done_[i] = false;
      }
    }
    return false;
  }

 private:
  Timestamp earliest_open_response() const {
    Timestamp earliest = kNoResponse;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      if (!is_done_[i]) earliest = std::min(earliest, operations_[i].answered_at);
    }
    return earliest;
  }
  // What the register may hold after that operation; nothing if it is not possible now.
  std::vector<std::uint64_t> next_values(const Operation& operation, std::uint64_t value) const {
    if (operation.kind == Operation::Kind::read) {
      return operation.number == value ? std::vector{value} : std::vector<std::uint64_t>{};
    }
    if (operation.base != value) return {};
    if (operation.answered_at != kNoResponse) return {operation.number};
    return observed_values_above(value);
  }
  // What a change without a response became is known from those that have observed it.
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
  std::vector<bool> is_done_;
  std::set<std::pair<std::vector<bool>, std::uint64_t>> visited_;
};

inline bool is_linearizable(const std::vector<Operation>& operations) {
  return LinearizabilitySearch(operations).is_linearizable();
}

}  // namespace alderspur::consensus::linearizability

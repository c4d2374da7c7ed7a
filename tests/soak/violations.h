// What a run has found against the rules of the service.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/deadlines.h"

namespace soak {

using alderspur::core::Time;

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;

/// The times of one step of the run. What a step finds has happened after `previous`: rules are
/// judged by the time that favours the router, so that a slow test breaks none.
struct StepTimes {
  Time previous = 0;  // Unix time in microseconds
  Time now = 0;
};

class Violations {
 public:
  explicit Violations(Time start) : start_(start) {}

  void add(Time at, const std::string& what) {
    ++count_;
    if (texts_.size() >= kMaxTexts) return;
    texts_.push_back(std::to_string((at - start_) / kMillisecond) + " ms: " + what);
  }
  std::size_t count() const { return count_; }
  /// One line each; the first ones if there are many.
  std::string describe() const {
    std::string lines;
    for (const auto& text : texts_) lines += text + "\n";
    return lines;
  }

 private:
  static constexpr std::size_t kMaxTexts = 12;
  const Time start_;
  std::size_t count_ = 0;
  std::vector<std::string> texts_;
};

}  // namespace soak

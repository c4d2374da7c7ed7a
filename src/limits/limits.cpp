#include "limits/limits.h"

#include <algorithm>
#include <cmath>

namespace alderspur::limits {
namespace {

constexpr double kSecond = 1e6;
constexpr double kHoldingTimeLearningRate = 0.1;
constexpr double kInitialHoldingTime = 100'000;  // microseconds
constexpr Time kMinRetryAfter = 1'000;
constexpr Time kMaxRetryAfter = 60'000'000;

double burst(const Rule& r) {
  return r.burst ? std::max(1.0, static_cast<double>(*r.burst))
                 : std::max(1.0, r.max_rate.value_or(0) / 10);
}
Time bounded(double microseconds) {
  return std::clamp(static_cast<Time>(std::ceil(std::min(microseconds, 1e12))), kMinRetryAfter,
                    kMaxRetryAfter);
}

}  // namespace

Permit::~Permit() {
  if (limits_) limits_->give_back(gates_, 0, 0);
}
void Permit::release(Time now) {
  if (!limits_) return;
  std::exchange(limits_, nullptr)->give_back(gates_, since_, now);
  gates_.clear();
}
void Permit::swap(Permit& other) noexcept {
  std::swap(limits_, other.limits_);
  std::swap(gates_, other.gates_);
  std::swap(since_, other.since_);
}

void Limits::fill(Gate& g, const Rule& rule, Time now) const {
  const double most = burst(rule);
  if (!g.begun) g.tokens = most, g.filled = now, g.begun = true;
  const double passed = static_cast<double>(std::max<Time>(0, now - g.filled)) / kSecond;
  g.tokens = std::min(most, g.tokens + passed * *rule.max_rate);
  g.filled = std::max(g.filled, now);
}

// All are looked at before anything is taken: a request that one gate refuses must not cost another
// a token.
Verdict Limits::ask(const std::vector<Ask>& asked, Time now) {
  Verdict v;
  for (const auto& a : asked) {
    if (!a.rule.any()) continue;
    Gate& g = gates_[a.gate];
    if (a.rule.max_rate) {
      fill(g, a.rule, now);
      if (g.tokens < 1) {
        ++g.counters.refused_rate;
        const Time after = bounded((1 - g.tokens) / *a.rule.max_rate * kSecond);
        if (after > v.retry_after) v.gate = a.gate, v.retry_after = after;
        v.admitted = false;
      }
    }
    if (a.rule.max_in_flight && g.out >= *a.rule.max_in_flight) {
      ++g.counters.refused_full;
      // Little's law the other way round: of `out` held for `held` each, one leaves every held /
      // out; it has to be as many as stand over the limit.
      const double held = g.held > 0 ? g.held : kInitialHoldingTime;
      const auto over = static_cast<double>(g.out - *a.rule.max_in_flight + 1);
      const Time after =
          bounded(held * over / static_cast<double>(std::max<std::size_t>(1, g.out)));
      if (after > v.retry_after) v.gate = a.gate, v.retry_after = after;
      v.admitted = false;
    }
  }
  if (!v.admitted) return v;
  v.permit.since_ = now;
  for (const auto& a : asked) {
    if (!a.rule.any()) continue;
    Gate& g = gates_[a.gate];
    if (a.rule.max_rate) g.tokens -= 1;
    ++g.out;
    ++g.counters.admitted;
    v.permit.gates_.push_back(a.gate);
  }
  if (!v.permit.gates_.empty()) v.permit.limits_ = this;
  return v;
}

void Limits::give_back(const std::vector<std::string>& gates, Time since, Time now) {
  for (const auto& name : gates) {
    const auto it = gates_.find(name);
    if (it == gates_.end() || it->second.out == 0) continue;
    Gate& g = it->second;
    --g.out;
    if (now <= since) continue;
    const auto held = static_cast<double>(now - since);
    g.held = g.held > 0 ? g.held + kHoldingTimeLearningRate * (held - g.held) : held;
  }
}

void Limits::keep(const std::vector<std::string>& named) {
  std::erase_if(gates_, [&](const auto& e) {
    return e.second.out == 0 && std::find(named.begin(), named.end(), e.first) == named.end();
  });
}

std::size_t Limits::in_flight(std::string_view gate) const {
  const auto it = gates_.find(gate);
  return it == gates_.end() ? 0 : it->second.out;
}
GateCounters Limits::counters(std::string_view gate) const {
  const auto it = gates_.find(gate);
  return it == gates_.end() ? GateCounters{} : it->second.counters;
}

}  // namespace alderspur::limits

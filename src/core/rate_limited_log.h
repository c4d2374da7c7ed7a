// What arrives and cannot be used, told to whoever keeps the log: one line a kind in ten seconds,
// so that a flood of it costs neither the log nor the loop. No I/O; the loop's thread only.
//
// A line says how many of its kind were passed over since the one before. Foreign text in it is cut
// to 80 characters, and whatever does not print is shown as a dot. Clients' words are never quoted.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/deadlines.h"

namespace alderspur::core {

enum class Complaint { notice, address, answer, frame, request, connections };
constexpr std::size_t kComplaints = static_cast<std::size_t>(Complaint::connections) + 1;

class Complaints {
 public:
  using Say = std::function<void(const std::string& event, const std::string& text)>;
  void on_say(Say say) { say_ = std::move(say); }
  // `quote`: what arrived, or whom it is about; empty: nothing to show.
  void about(Complaint kind, Time now, std::string_view quote = {});

 private:
  struct Kind {
    Time next = 0;  // no line before
    std::uint64_t passed_over = 0;
  };
  Say say_;
  std::array<Kind, kComplaints> kinds_{};
};

}  // namespace alderspur::core

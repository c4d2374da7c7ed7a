// What a process of the router publishes about itself, and its text form in a slot file of the
// shared directory. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace alderspur::hot_restart {

/// The numbers stand in slot files and must not change.
enum class ProcessPhase : std::uint8_t { starting = 0, serving = 1, draining = 2 };

/// What a process publishes about itself.
struct ProcessStatus {
  ProcessPhase phase = ProcessPhase::starting;
  std::uint32_t known_peers = 0;  // other processes of the router that it has found
  double share = 0;               // its part of the router's budgets, 0 to 1
  double request_rate = 0;        // requests per second that it receives
  double concurrency_limit = 0;   // see alderspur::BudgetShare; 0: none found yet
};

/// The content of a slot file.
struct SlotRecord {
  ProcessStatus status;
  std::int64_t process_id = 0;
  std::int64_t claimed_at = 0;  // microseconds of the machine's uptime
};

/// Records have a fixed length, padded with zeros: one write replaces the whole record, so readers
/// see either the old or the new one.
constexpr std::size_t kSlotRecordBytes = 128;
/// One byte longer than the record, so that it always ends with a zero.
using SlotRecordText = std::array<char, kSlotRecordBytes + 1>;

/// The text of a record, as decode_slot_record() reads it.
SlotRecordText encode(const SlotRecord& record);
/// Returns nothing if the text has another format or a value is out of range.
std::optional<SlotRecord> decode_slot_record(const SlotRecordText& text);

}  // namespace alderspur::hot_restart

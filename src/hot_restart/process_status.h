// The status that a process of the router publishes for the router's other processes, and the text
// form of that status in a slot file of the shared directory. This module does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace alderspur::hot_restart {

/// The stage that a process has reached. The numbers are stored in slot files and must not change.
enum class ProcessPhase : std::uint8_t { starting = 0, serving = 1, draining = 2 };

/// The status that a process publishes.
struct ProcessStatus {
  ProcessPhase phase = ProcessPhase::starting;
  std::uint32_t known_peers = 0;  // other processes of the router that this one has found
  double share = 0;               // this process's share of the router's budgets, 0 to 1
  double request_rate = 0;        // requests per second that this process receives
  double concurrency_limit = 0;   // see alderspur::BudgetShare; 0: not determined yet
};

/// The content of a slot file.
struct SlotRecord {
  ProcessStatus status;
  std::int64_t process_id = 0;
  std::int64_t claimed_at = 0;  // microseconds since the machine's boot
};

/// The length of every record, padded with zeros. With a fixed length, one write replaces the whole
/// record, so readers see either the old record or the new one.
constexpr std::size_t kSlotRecordBytes = 128;
/// A buffer one byte longer than the record, so that the text always ends with a zero.
using SlotRecordText = std::array<char, kSlotRecordBytes + 1>;

/// Returns the text form of a record, which decode_slot_record() reads.
SlotRecordText encode(const SlotRecord& record);
/// Parses the text form of a record. Returns nothing if the text has another format or a value is
/// out of range.
std::optional<SlotRecord> decode_slot_record(const SlotRecordText& text);

}  // namespace alderspur::hot_restart

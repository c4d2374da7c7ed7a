#include "hot_restart/process_status.h"

#include <cinttypes>
#include <cstdio>

namespace alderspur::hot_restart {
namespace {

constexpr int kFieldCount = 7;    // fields in a record, not counting the format prefix
constexpr double kMaxRate = 1e9;  // requests per second
constexpr double kMaxConcurrencyLimit = 1e9;

bool is_in_range(const ProcessStatus& status) {
  return status.share >= 0 && status.share <= 1 && status.request_rate >= 0 &&
         status.request_rate < kMaxRate && status.concurrency_limit >= 0 &&
         status.concurrency_limit < kMaxConcurrencyLimit;
}

// Converts a stored number to a phase. A number that only a later version defines is read as
// `starting`, so that such a process does not count as a successor.
ProcessPhase phase_from(int number) {
  if (number == static_cast<int>(ProcessPhase::serving)) return ProcessPhase::serving;
  if (number == static_cast<int>(ProcessPhase::draining)) return ProcessPhase::draining;
  return ProcessPhase::starting;
}

}  // namespace

SlotRecordText encode(const SlotRecord& record) {
  SlotRecordText text{};
  const ProcessStatus& status = record.status;
  std::snprintf(text.data(), text.size(),
                "place 1 %" PRId64 " %d %" PRIu32 " %" PRId64 " %.4f %.3f %.4f\n",
                record.process_id, static_cast<int>(status.phase), status.known_peers,
                record.claimed_at, status.share, status.request_rate, status.concurrency_limit);
  return text;
}

std::optional<SlotRecord> decode_slot_record(const SlotRecordText& text) {
  SlotRecord record;
  ProcessStatus& status = record.status;
  int phase = 0;
  const int parsed =
      std::sscanf(text.data(), "place 1 %" SCNd64 " %d %" SCNu32 " %" SCNd64 " %lf %lf %lf",
                  &record.process_id, &phase, &status.known_peers, &record.claimed_at,
                  &status.share, &status.request_rate, &status.concurrency_limit);
  if (parsed != kFieldCount || !is_in_range(status)) return {};
  status.phase = phase_from(phase);
  return record;
}

}  // namespace alderspur::hot_restart

// Checks lists of servers that were read from files: alone, and as a change of the active list.
//
// Threads: one worker evaluates; the loop's thread replaces the active list. All functions are
// thread-safe.
#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "endpoints/endpoint_set.h"
#include "file_watch/watcher.h"
#include "settings/settings.h"

namespace alderspur::control {

/// The result of reading and checking the files once: a candidate, no change, or a rejection.
struct ListEvaluation {
  std::optional<endpoints::CandidateList> candidate;  // valid, and of another generation
  bool is_unchanged = false;      // valid, and of the generation of the active list
  std::string rejection;          // otherwise: the first error, in one line
  std::size_t finding_count = 0;  // errors of a rejected list
  core::Time duration = 0;        // microseconds that the evaluation took
};

class ListEvaluator {
 public:
  /// `zones`: the names of the locations, in the order of their numbers.
  ListEvaluator(settings::Membership settings, std::vector<std::string> zones);

  /// Checks what was read. Blocks for as long as a large list takes to be parsed.
  ListEvaluation evaluate(const file_watch::PollResult& files) const;

  /// The list against which candidates are checked; null: none.
  endpoints::SnapshotPtr active_list() const;
  void set_active_list(endpoints::SnapshotPtr list);

  const std::vector<std::string>& zones() const { return zones_; }

 private:
  endpoints::SnapshotPtr parse(const file_watch::PollResult& files, core::Time read_at,
                               diagnostics::Findings& findings) const;

  settings::Membership settings_;
  const std::vector<std::string> zones_;
  mutable std::mutex mutex_;
  endpoints::SnapshotPtr active_list_;  // guarded by mutex_
};

}  // namespace alderspur::control

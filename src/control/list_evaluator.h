// Checks server lists that were read from files: each list by itself, and as a change of the active
// list.
//
// Threads: a worker evaluates lists, while the event loop's thread replaces the active list. All
// methods are thread-safe.
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

/// The result of reading and checking the files once: a candidate list, no change, or a rejection.
struct ListEvaluation {
  std::optional<endpoints::CandidateList> candidate;  // a valid list of a new generation
  bool is_unchanged = false;      // the list is valid and has the generation of the active list
  std::string rejection;          // the first error, in one line; empty unless the list is rejected
  std::size_t finding_count = 0;  // the number of errors of a rejected list
  core::Time duration = 0;        // the duration of the evaluation in microseconds
};

/// Parses and checks server lists against the settings and the active list.
class ListEvaluator {
 public:
  /// `zones` contains the names of the locations, ordered by location number.
  ListEvaluator(settings::Membership settings, std::vector<std::string> zones);

  /// Parses and checks the files on the calling thread, which takes long for a large list.
  ListEvaluation evaluate(const file_watch::PollResult& files) const;

  /// Returns the list with which new lists are compared, or null if there is none.
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

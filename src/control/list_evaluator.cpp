#include "control/list_evaluator.h"

#include <utility>

#include "endpoints/check.h"
#include "endpoints/list.h"
#include "net/loop.h"

namespace alderspur::control {

ListEvaluator::ListEvaluator(settings::Membership settings, std::vector<std::string> zones)
    : settings_(std::move(settings)), zones_(std::move(zones)) {
  settings_.list_limits.threads = endpoints::spare_threads();
}

endpoints::SnapshotPtr ListEvaluator::active_list() const {
  const std::lock_guard lock(mutex_);
  return active_list_;
}

void ListEvaluator::set_active_list(endpoints::SnapshotPtr list) {
  const std::lock_guard lock(mutex_);
  active_list_ = std::move(list);
}

endpoints::SnapshotPtr ListEvaluator::parse(const file_watch::PollResult& files, core::Time read_at,
                                            diagnostics::Findings& findings) const {
  const auto& contents = files.contents;
  const auto& limits = settings_.list_limits;
  const auto read = endpoints::read_list(contents.text, contents.file, read_at, limits, findings);
  if (!read.list) return nullptr;
  if (contents.is_directory) return endpoints::read_pieces(read, contents.pieces, limits, findings);
  if (!read.pieces.empty()) {
    findings.error("L004", {contents.file, 0, 0},
                   "the list is a manifest, which must be configured by its directory",
                   "configure the directory that contains the manifest");
  }
  return read.list;
}

ListEvaluation ListEvaluator::evaluate(const file_watch::PollResult& files) const {
  ListEvaluation evaluation;
  const core::Time began_at = net::unix_now();
  if (files.observation == file_watch::Observation::unreadable) {
    evaluation.rejection = to_string(files.error);
    return evaluation;
  }
  diagnostics::Findings findings;
  const auto list = parse(files, began_at, findings);
  const auto active = active_list();
  if (list && findings.is_ok()) {
    check_alone(*list, findings);
    check_change(active.get(), *list, settings_.change_limits, findings);
  }
  if (list && findings.is_ok()) {
    endpoints::CandidateList candidate{list, active, difference(active.get(), *list), {}};
    candidate.zones = resolve_zones(*list, zones_, findings);
    evaluation.is_unchanged = active && active->generation == list->generation;
    if (findings.is_ok() && !evaluation.is_unchanged) evaluation.candidate = std::move(candidate);
  }
  if (!findings.is_ok()) {
    evaluation.is_unchanged = false;
    evaluation.rejection = diagnostics::to_string(findings.list()[0]);
    evaluation.finding_count = findings.errors();
  }
  evaluation.duration = net::unix_now() - began_at;
  return evaluation;
}

}  // namespace alderspur::control

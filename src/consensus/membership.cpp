#include "consensus/membership.h"

#include <algorithm>

namespace alderspur::consensus {
namespace {

using Change = Raft::MembershipChange;

void begin_change(Time now, Change change, const std::string& server, Raft& raft) {
  // The result is not needed here: the next round compares the configuration again.
  raft.change_membership(now, change, server, [](bool /*is_committed*/) {});
}

}  // namespace

bool Membership::is_admitted(const std::string& name) const {
  const auto found = admissions_.find(name);
  return found != admissions_.end() && found->second.is_admitted;
}

bool Membership::admit(Time now, const std::string& name, std::uint64_t learner_id, Raft& raft) {
  Admission& admission = admissions_[name];
  if (admission.learner_id != learner_id) admission = {learner_id, false};
  if (!admission.is_admitted && !raft.has_server(name)) admission.is_admitted = true;
  if (admission.is_admitted) return true;
  raft.change_membership(now, Change::remove, name, [this, name, learner_id](bool is_committed) {
    const auto found = admissions_.find(name);
    if (is_committed && found != admissions_.end() && found->second.learner_id == learner_id) {
      found->second.is_admitted = true;
    }
  });
  return false;
}

void Membership::reconcile(Time now, const std::string& self,
                           const std::vector<std::string>& wanted, Raft& raft) const {
  const auto roles = raft.roles();
  for (const auto& name : wanted) {
    const auto role = roles.find(name);
    if (role == roles.end()) {
      if (is_admitted(name)) return begin_change(now, Change::add_spare, name, raft);
    } else if (role->second != RAFT_VOTER) {
      return begin_change(now, Change::promote_to_voter, name, raft);
    }
  }
  // Servers are removed only after all wanted voters have been added, and the leader is removed
  // last.
  const bool has_all = std::all_of(wanted.begin(), wanted.end(),
                                   [&](const std::string& name) { return roles.contains(name); });
  if (!has_all) return;
  bool is_leader_unwanted = false;
  for (const auto& [name, role] : roles) {
    if (std::find(wanted.begin(), wanted.end(), name) != wanted.end()) continue;
    if (name != self) return begin_change(now, Change::remove, name, raft);
    is_leader_unwanted = true;
  }
  if (is_leader_unwanted) begin_change(now, Change::remove, self, raft);
}

}  // namespace alderspur::consensus

// The leader's changes of the Raft configuration. They bring it to the list of wanted voters, one
// server at a time, and admit learners, whose logs are empty. Used by Leader. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft.h"

namespace alderspur::consensus {

/// The admissions of learners in the current term, and the changes of the configuration.
class Membership {
 public:
  /// Discards the admissions of earlier terms.
  void begin_term() { admissions_.clear(); }

  /// Handles the request of a router to be admitted as a learner with an empty log. Its previous
  /// identity is first removed from the configuration, because the router may have lost a vote of
  /// that identity and could vote again in the same term. Returns true once the learner is
  /// admitted; the router repeats its request until then.
  bool admit(Time now, const std::string& name, std::uint64_t learner_id, Raft& raft);

  /// Begins the next change that brings the configuration closer to the wanted voters, if one is
  /// needed. `self` is the leader's name.
  void reconcile(Time now, const std::string& self, const std::vector<std::string>& wanted,
                 Raft& raft) const;

 private:
  struct Admission {
    std::uint64_t learner_id = 0;  // see LeaseRequest
    bool is_admitted = false;
  };
  bool is_admitted(const std::string& name) const;

  std::map<std::string, Admission> admissions_;  // by router name
};

}  // namespace alderspur::consensus

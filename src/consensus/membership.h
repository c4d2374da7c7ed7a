// The leader's changes of the Raft configuration: it is brought, one server at a time, to the
// voters that are wanted, and learners that lost their log are admitted. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft.h"

namespace alderspur::consensus {

class Membership {
 public:
  void begin_term() { admissions_.clear(); }

  /// A voter asks to be admitted as a learner with an empty log. Its former self is removed from
  /// the configuration first: until then its lost votes could count. True once it is admitted.
  bool admit(Time now, const std::string& name, std::uint64_t learner_id, Raft& raft);

  /// Begins the next change towards the wanted voters, if one is needed. `self`: the leader's name.
  void reconcile(Time now, const std::string& self, const std::vector<std::string>& wanted,
                 Raft& raft) const;

 private:
  struct Admission {
    std::uint64_t learner_id = 0;
    bool is_admitted = false;
  };
  bool is_admitted(const std::string& name) const;

  std::map<std::string, Admission> admissions_;  // by router name
};

}  // namespace alderspur::consensus

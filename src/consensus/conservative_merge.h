// The careful union of lists of servers: what a router without a lease acts on. Pure.
//
// Field by field: gone over draining over in service, the smaller weight; a server that one list
// does not have is not used, nor one of which they tell different places or addresses. A place that
// would be left without a server in service keeps what the newest list has there: it is what others
// act on by then.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "endpoints/list.h"

namespace alderspur::consensus {

// `lists` in the order of their numbers, at least one.
endpoints::Snapshot merge_conservatively(const std::vector<endpoints::SnapshotPtr>& lists);
// As a text that reads as that list, with this generation, meant as it stands.
std::string to_text(const endpoints::Snapshot& list, std::uint64_t generation);

// What a router with these documents acts on, newest last; empty with `error` where one does not
// read.
std::string list_to_act_on(const std::vector<std::string>& texts, std::uint64_t generation,
                           std::string& error);

}  // namespace alderspur::consensus

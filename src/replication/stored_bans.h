// The form in which a router stores its replicated bans, and the rule by which its next process
// continues the author of its changes. Without this rule, each start of a router that then bans a
// server would add an author to every copy. An author cannot be forgotten: a copy from before a
// lift would bring the ban back.
//
// Only a process that knows all dots of an author may continue it; otherwise two changes could have
// the same dot. A process knows them if the previous process ended in order: that process then
// wrote its last change and its epoch into the file, after its last frame. The epoch must be that
// of the router's previous start, which the router stores in another file before it sends anything.
// So the file is rejected as a basis if a later process has started since, if it was restored from
// a backup, or if a process ended without writing it. The new process is then a new author.
// The functions do no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "replication/ban_set.h"

namespace alderspur::replication {

/// Returns the payload of the file that the process with this epoch writes as its last action. A
/// payload that is written earlier is BanSet::encode(), and versions without this rule read either
/// as that.
std::string encode_final_bans(const BanSet& bans, std::uint64_t epoch);

/// Returns nothing if the payload is not valid. The result has a last own change only if its author
/// may be continued, given the epoch of the router's previous process (nothing if unknown).
std::optional<BanSet> decode_stored_bans(std::string_view payload,
                                         std::optional<std::uint64_t> previous_epoch);

}  // namespace alderspur::replication

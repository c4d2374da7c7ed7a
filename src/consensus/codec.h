// MessagePack codec of the values that messages, log commands, snapshots of the replicated state
// and stored files have in common: versions, lists of names and Raft configurations. Stateless;
// does no I/O.
//
// Every `pack` appends one value to the writer. Every `read_...` reads the next value from the
// reader. If the value has the wrong type or exceeds a limit, the reader fails and the result must
// not be used. Fields that later builds append to a value are ignored.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cluster/member.h"
#include "consensus/raft.h"
#include "consensus/version.h"
#include "msgpack_codec/document.h"
#include "msgpack_codec/reader.h"
#include "msgpack_codec/writer.h"

namespace alderspur::consensus {

constexpr std::size_t kMaxResultText = 600;  // bytes of the reason in a proposal's result
constexpr std::size_t kMaxRaftServers = 64;  // in one Raft configuration

/// A version. Its canary rollout is an additional last field, which builds without canary rollouts
/// ignore.
void pack(msgpack_codec::Writer& writer, const Version& version);
Version read_version(msgpack_codec::Reader& reader);

/// An optional version, as an array of one version or of none.
void pack(msgpack_codec::Writer& writer, const std::optional<Version>& version);
std::optional<Version> read_optional_version(msgpack_codec::Reader& reader);

/// A list of at most kMaxVoters router names.
void pack(msgpack_codec::Writer& writer, const std::vector<std::string>& names);
std::vector<std::string> read_names(msgpack_codec::Reader& reader);

/// The servers of a Raft configuration, at most kMaxRaftServers.
void pack(msgpack_codec::Writer& writer, const std::vector<RaftServer>& servers);
std::vector<RaftServer> read_servers(msgpack_codec::Reader& reader);

/// A Raft configuration with the index of its log entry.
void pack(msgpack_codec::Writer& writer, const Configuration& configuration);
Configuration read_configuration(msgpack_codec::Reader& reader);

}  // namespace alderspur::consensus

// Codec of the values that messages, log commands, snapshots of the replicated state and stored
// files share: versions, lists of names and Raft configurations, as MessagePack. No I/O and no
// state.
//
// Every `pack` appends one value to the writer. Every `read_...` takes one value from the reader,
// which fails if the value does not fit its form or its limits; the result is meaningless then.
// Fields that a later version added at the end are ignored.
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

constexpr std::size_t kMaxResultText = 600;  // bytes of a proposal's result
constexpr std::size_t kMaxRaftServers = 64;  // of one Raft configuration

/// A canary rollout is a further field, which programs without canary rollouts ignore.
void pack(msgpack_codec::Writer& writer, const Version& version);
Version read_version(msgpack_codec::Reader& reader);

/// An array of one version, or of none.
void pack(msgpack_codec::Writer& writer, const std::optional<Version>& version);
std::optional<Version> read_optional_version(msgpack_codec::Reader& reader);

/// Names of voters: kMaxVoters at most.
void pack(msgpack_codec::Writer& writer, const std::vector<std::string>& names);
std::vector<std::string> read_names(msgpack_codec::Reader& reader);

/// Servers of a Raft configuration: kMaxRaftServers at most.
void pack(msgpack_codec::Writer& writer, const std::vector<RaftServer>& servers);
std::vector<RaftServer> read_servers(msgpack_codec::Reader& reader);

/// A Raft configuration with the index of its log entry.
void pack(msgpack_codec::Writer& writer, const Configuration& configuration);
Configuration read_configuration(msgpack_codec::Reader& reader);

}  // namespace alderspur::consensus

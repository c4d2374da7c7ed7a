#include "consensus/raft_frame.h"

#include <utility>
#include <vector>

#include "consensus/codec.h"
#include "consensus/raft_conversions.h"

namespace alderspur::consensus {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

constexpr std::size_t kEntryFields = 3;
constexpr std::size_t kMaxEntries = 4096;  // of one message
constexpr std::size_t kMaxEntryBytes = 64 << 10;
constexpr std::size_t kMaxSnapshotBytes = 1 << 20;
constexpr std::uint64_t kMaxTime = std::uint64_t{1} << 62;  // microseconds

void write(Writer& writer, const raft_append_entries& message) {
  writer.array(5).number(message.term);
  writer.number(message.prev_log_index).number(message.prev_log_term);
  writer.number(message.leader_commit);
  writer.array(message.n_entries);
  for (unsigned i = 0; i < message.n_entries; ++i) {
    const raft_entry& entry = message.entries[i];
    writer.array(kEntryFields).number(entry.term).number(entry.type).bytes(bytes_of(entry.buf));
  }
}

void write(Writer& writer, const raft_append_entries_result& message) {
  writer.array(3).number(message.term).number(message.rejected).number(message.last_log_index);
}

void write(Writer& writer, const raft_request_vote& message) {
  writer.array(6).number(message.term).number(message.candidate_id);
  writer.number(message.last_log_index).number(message.last_log_term);
  writer.flag(message.disrupt_leader).flag(message.pre_vote);
}

void write(Writer& writer, const raft_request_vote_result& message) {
  writer.array(3).number(message.term).flag(message.vote_granted);
  writer.number(static_cast<std::uint64_t>(message.pre_vote));
}

void write(Writer& writer, const raft_install_snapshot& message) {
  writer.array(5).number(message.term).number(message.last_index).number(message.last_term);
  pack(writer, from_raft_configuration(message.conf, message.conf_index));
  writer.bytes(bytes_of(message.data));
}

LogEntry read_entry(Reader& fields) {
  LogEntry entry;
  entry.term = fields.number();
  entry.type = fields.number(RAFT_CHANGE);
  entry.data = fields.bytes(kMaxEntryBytes);
  if (entry.type < RAFT_COMMAND) fields.fail();
  return entry;
}

// The functions below allocate memory for the library only after all fields have been validated, so
// a rejected message leaks nothing.
void read(Reader& reader, raft_append_entries& message) {
  message.term = reader.number();
  message.prev_log_index = reader.number();
  message.prev_log_term = reader.number();
  message.leader_commit = reader.number();
  const auto entries = reader.records(kMaxEntries, kEntryFields, read_entry);
  if (!reader.ok()) return;
  message.entries = to_raft_entries(entries);
  message.n_entries = static_cast<unsigned>(entries.size());
}

void read(Reader& reader, raft_append_entries_result& message) {
  message.term = reader.number();
  message.rejected = reader.number();
  message.last_log_index = reader.number();
}

void read(Reader& reader, raft_request_vote& message) {
  message.term = reader.number();
  message.candidate_id = reader.number();
  message.last_log_index = reader.number();
  message.last_log_term = reader.number();
  message.disrupt_leader = reader.flag();
  message.pre_vote = reader.flag();
}

void read(Reader& reader, raft_request_vote_result& message) {
  message.term = reader.number();
  message.vote_granted = reader.flag();
  message.pre_vote = static_cast<raft_tribool>(reader.number(raft_tribool_false));
}

void read(Reader& reader, raft_install_snapshot& message) {
  message.term = reader.number();
  message.last_index = reader.number();
  message.last_term = reader.number();
  const Configuration configuration = read_configuration(reader);
  const auto data = reader.bytes(kMaxSnapshotBytes);
  if (!reader.ok()) return;
  message.conf = to_raft_configuration(configuration);
  message.conf_index = configuration.index;
  message.data = to_raft_buffer(data);
}

bool read_fields(Reader& reader, std::string_view sender, raft_message& message) {
  switch (message.type) {
    case RAFT_IO_APPEND_ENTRIES:
      read(reader, message.append_entries);
      return reader.ok();
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      read(reader, message.append_entries_result);
      return reader.ok();
    case RAFT_IO_REQUEST_VOTE: {
      const raft_request_vote& request = message.request_vote;
      read(reader, message.request_vote);
      // `disrupt_leader` is set by a candidate to which the leader has transferred its leadership.
      // That is never done here, and such a vote would violate the leader lease.
      return reader.ok() && request.candidate_id == raft_id_of(sender) && !request.disrupt_leader;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT:
      read(reader, message.request_vote_result);
      return reader.ok();
    case RAFT_IO_INSTALL_SNAPSHOT:
      read(reader, message.install_snapshot);
      return reader.ok();
    default:
      return false;
  }
}

}  // namespace

std::string encode_raft_frame(const RaftFrameHeader& header, const raft_message& message) {
  Writer writer;
  writer.array(5).number(message.type);
  writer.number(static_cast<std::uint64_t>(header.sent_at));
  writer.number(header.echo.term);
  writer.number(static_cast<std::uint64_t>(header.echo.sent_at));
  switch (message.type) {
    case RAFT_IO_APPEND_ENTRIES:
      write(writer, message.append_entries);
      break;
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      write(writer, message.append_entries_result);
      break;
    case RAFT_IO_REQUEST_VOTE:
      write(writer, message.request_vote);
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      write(writer, message.request_vote_result);
      break;
    case RAFT_IO_INSTALL_SNAPSHOT:
      write(writer, message.install_snapshot);
      break;
    default:
      break;  // RAFT_IO_TIMEOUT_NOW is never sent, and decode_raft_frame() rejects it
  }
  return writer.str();
}

std::optional<DecodedRaftFrame> decode_raft_frame(std::string_view frame, std::string_view sender) {
  const msgpack_codec::Document unpacked(frame);
  if (!unpacked.is_valid()) return {};
  Reader head(unpacked.root(), 5);
  DecodedRaftFrame decoded;
  decoded.message.type = static_cast<std::uint16_t>(head.number(RAFT_IO_TIMEOUT_NOW));
  decoded.header.sent_at = static_cast<Time>(head.number(kMaxTime));
  decoded.header.echo.term = head.number();
  decoded.header.echo.sent_at = static_cast<Time>(head.number(kMaxTime));
  Reader fields(head.next(), 3);
  if (!head.ok() || !read_fields(fields, sender, decoded.message)) return {};
  return decoded;
}

}  // namespace alderspur::consensus

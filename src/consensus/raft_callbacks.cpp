// The functions that the Raft library calls for its I/O and its state machine. They convert the
// library's requests into numbered writes, deferred messages and calls of Raft's callbacks.
#include "consensus/raft.h"
#include "consensus/raft_conversions.h"

namespace alderspur::consensus {
namespace {

constexpr Time kMillisecond = 1000;  // in microseconds

}  // namespace

void Raft::set_lifecycle_functions() {
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = [](raft_io* io, raft_io_close_cb done) { from(io).close_callback_ = done; };
  io_.start = [](raft_io* io, unsigned /*interval*/, raft_io_tick_cb on_tick,
                 raft_io_recv_cb on_receive) {
    from(io).tick_callback_ = on_tick;
    from(io).receive_callback_ = on_receive;
    return 0;
  };
  io_.send = [](raft_io* io, raft_io_send* request, const raft_message* message,
                raft_io_send_cb done) { return from(io).send(request, *message, done); };
  io_.time = [](raft_io* io) { return static_cast<raft_time>(from(io).now_ / kMillisecond); };
  io_.random = [](raft_io* io, int min, int max) {
    return std::uniform_int_distribution<int>(min, max - 1)(from(io).random_);
  };
}

void Raft::set_storage_functions() {
  io_.load = [](raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                raft_index* first_index, raft_entry** entries, std::size_t* count) {
    return from(io).load(term, vote, snapshot, first_index, entries, count);
  };
  io_.bootstrap = [](raft_io* io, const raft_configuration* configuration) {
    return from(io).record_bootstrap(*configuration);
  };
  io_.recover = [](raft_io*, const raft_configuration*) -> int { return RAFT_INVALID; };
  io_.set_term = [](raft_io* io, raft_term term) {
    from(io).store(SetTerm{term});
    return 0;
  };
  io_.set_vote = [](raft_io* io, raft_id candidate) {
    from(io).store(SetVote{candidate});
    return 0;
  };
  io_.append = [](raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned count,
                  raft_io_append_cb done) {
    return from(io).append(request, entries, count, done);
  };
  io_.truncate = [](raft_io* io, raft_index index) {
    from(io).store(TruncateFrom{index});
    return 0;
  };
}

void Raft::set_snapshot_functions() {
  io_.snapshot_put = [](raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                        const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    return from(io).put_snapshot(trailing, request, *snapshot, done);
  };
  io_.snapshot_get = [](raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    Raft& raft = from(io);
    request->cb = done;
    raft.deferred_output_.push_back({raft.writes_begun_, {}, {}, nullptr, request});
    return 0;
  };
}

void Raft::set_state_machine_functions() {
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* command, void** result) {
    *result = nullptr;
    from(fsm).callbacks_.apply(bytes_of(*command));
    return 0;
  };
  fsm_.snapshot = [](raft_fsm* fsm, raft_buffer** buffers, unsigned* count) -> int {
    const std::string snapshot = from(fsm).callbacks_.snapshot();
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (!*buffers) return RAFT_NOMEM;
    **buffers = to_raft_buffer(snapshot);
    *count = 1;
    return 0;
  };
  fsm_.restore = [](raft_fsm* fsm, raft_buffer* snapshot) -> int {
    if (!from(fsm).callbacks_.restore(bytes_of(*snapshot))) return RAFT_MALFORMED;
    raft_free(snapshot->base);
    return 0;
  };
}

int Raft::record_bootstrap(const raft_configuration& configuration) {
  raft_buffer encoded{};
  if (raft_configuration_encode(&configuration, &encoded)) return RAFT_NOMEM;
  log_.term = 1;
  log_.entries.push_back({1, RAFT_CHANGE, std::string(bytes_of(encoded))});
  raft_free(encoded.base);
  store(SetTerm{log_.term});
  store(AppendEntries{1, log_.entries});
  return 0;
}

int Raft::load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first_index,
               raft_entry** entries, std::size_t* count) {
  *term = log_.term;
  *vote = log_.vote;
  *first_index = log_.first_index;
  *snapshot = log_.snapshot ? to_raft_snapshot(*log_.snapshot) : nullptr;
  *entries = to_raft_entries(log_.entries);
  *count = log_.entries.size();
  return 0;
}

int Raft::append(raft_io_append* request, const raft_entry* entries, unsigned count,
                 raft_io_append_cb done) {
  request->cb = done;
  // The library has already appended these entries to its log, so last_index() includes them.
  const std::uint64_t first_index = last_index() + 1 - count;
  const auto number = store(AppendEntries{first_index, from_raft_entries(entries, count)});
  pending_writes_.push_back({number, request, nullptr});
  return 0;
}

int Raft::put_snapshot(unsigned trailing, raft_io_snapshot_put* request,
                       const raft_snapshot& snapshot, raft_io_snapshot_put_cb done) {
  request->cb = done;
  snapshot_ = from_raft_snapshot(snapshot);
  const auto number = store(SaveSnapshot{*snapshot_, trailing});
  pending_writes_.push_back({number, nullptr, request});
  return 0;
}

}  // namespace alderspur::consensus

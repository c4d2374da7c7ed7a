#include "consensus/raft.h"

#include <algorithm>
#include <stdexcept>

#include "consensus/raft_conversions.h"

namespace alderspur::consensus {
namespace {

constexpr Time kMillisecond = 1000;  // in microseconds

}  // namespace

Raft::Raft(const std::string& name, const RaftSettings& settings, PersistedLog log,
           const std::vector<std::string>& founding_voters, std::uint64_t seed, Time now,
           Callbacks callbacks)
    : settings_(settings),
      log_(std::move(log)),
      callbacks_(std::move(callbacks)),
      random_(seed),
      now_(now),
      next_tick_(now),
      started_at_(now),
      snapshot_(log_.snapshot) {
  io_.version = 1;
  io_.impl = this;
  raft_.data = this;
  set_lifecycle_functions();
  set_storage_functions();
  set_snapshot_functions();
  set_state_machine_functions();
  if (raft_init(&raft_, &io_, &fsm_, raft_id_of(name), name.c_str())) {
    throw std::runtime_error("Raft cannot be initialized for " + name);
  }
  raft_set_election_timeout(&raft_,
                            static_cast<unsigned>(settings_.election_timeout / kMillisecond));
  raft_set_heartbeat_timeout(&raft_,
                             static_cast<unsigned>(settings_.heartbeat_interval / kMillisecond));
  raft_set_snapshot_threshold(&raft_, settings_.snapshot_threshold);
  raft_set_snapshot_trailing(&raft_, settings_.trailing_entries);
  raft_set_pre_vote(&raft_, true);
  if (!founding_voters.empty() && log_.is_empty()) bootstrap(founding_voters);
  if (raft_start(&raft_)) has_failed_ = true;
  log_ = {};
}

// Requests in progress own memory of the library. Each must be cancelled before the library closes,
// or its memory leaks.
Raft::~Raft() {
  raft_close(&raft_, nullptr);
  for (auto& write : std::exchange(pending_writes_, {})) {
    if (write.append) write.append->cb(write.append, RAFT_CANCELED);
    if (write.snapshot_put) write.snapshot_put->cb(write.snapshot_put, RAFT_CANCELED);
  }
  for (auto& output : std::exchange(deferred_output_, {})) {
    if (output.send) output.send->cb(output.send, RAFT_CANCELED);
    if (output.snapshot_get) output.snapshot_get->cb(output.snapshot_get, nullptr, RAFT_CANCELED);
  }
  if (close_callback_) close_callback_(&io_);
}

void Raft::bootstrap(const std::vector<std::string>& voters) {
  Configuration configuration;
  for (const auto& voter : voters) configuration.servers.push_back({voter, RAFT_VOTER});
  raft_configuration library_configuration = to_raft_configuration(configuration);
  raft_bootstrap(&raft_, &library_configuration);
  raft_configuration_close(&library_configuration);
}

// ---- Writes and deferred output

std::uint64_t Raft::store(LogWrite write) {
  ++writes_begun_;
  callbacks_.store(writes_begun_, std::move(write));
  return writes_begun_;
}

void Raft::on_write_done(Time now, std::uint64_t number, bool is_ok) {
  now_ = now;
  if (has_failed_ || number != writes_done_ + 1) return;
  writes_done_ = number;
  if (!is_ok) has_failed_ = true;
  const int status = is_ok ? 0 : RAFT_IOERR;
  while (!pending_writes_.empty() && pending_writes_.front().number <= number) {
    const PendingWrite write = pending_writes_.front();
    pending_writes_.pop_front();
    if (write.append) write.append->cb(write.append, status);
    if (write.snapshot_put) write.snapshot_put->cb(write.snapshot_put, status);
  }
  release_deferred_output();
}

// Sends, in order, the deferred output whose preceding writes are done.
void Raft::release_deferred_output() {
  while (!has_failed_ && !deferred_output_.empty() &&
         deferred_output_.front().after_write <= writes_done_) {
    DeferredOutput output = std::move(deferred_output_.front());
    deferred_output_.pop_front();
    if (output.snapshot_get) {
      output.snapshot_get->cb(output.snapshot_get,
                              snapshot_ ? to_raft_snapshot(*snapshot_) : nullptr,
                              snapshot_ ? 0 : RAFT_NOTFOUND);
      continue;
    }
    if (!output.frame.empty()) callbacks_.send(output.to, std::move(output.frame));
    output.send->cb(output.send, 0);
  }
}

int Raft::send(raft_io_send* request, const raft_message& message, raft_io_send_cb done) {
  request->cb = done;
  RaftFrameHeader header;
  header.sent_at = now_;
  const auto contact = leader_contacts_.find(message.server_address);
  if (contact != leader_contacts_.end()) header.echo = contact->second;
  std::string frame = encode_raft_frame(header, message);
  const bool is_forbidden =
      message.type == RAFT_IO_REQUEST_VOTE && is_below_vote_floor(message.request_vote);
  if (is_forbidden) frame.clear();
  deferred_output_.push_back(
      {writes_begun_, message.server_address, std::move(frame), request, nullptr});
  return 0;
}

void Raft::tick(Time now) {
  now_ = now;
  next_tick_ = now + settings_.heartbeat_interval;
  if (has_failed_) return;
  tick_callback_(&io_);
  begin_term_if_leader();
  release_deferred_output();
}

// ---- Proposals

bool Raft::propose(Time now, const std::string& command) {
  now_ = now;
  if (has_failed_ || !is_leader()) return false;
  struct ApplyRequest : ::raft_apply {};
  auto* request = new ApplyRequest{};
  const raft_buffer buffer = to_raft_buffer(command);
  // The result of the request is not needed: a committed command changes the replicated state, and
  // a command that is lost with its leader is proposed again.
  const int error = ::raft_apply(&raft_, request, &buffer, 1,
                                 [](struct raft_apply* finished, int /*status*/, void* /*result*/) {
                                   delete static_cast<ApplyRequest*>(finished);
                                 });
  if (error) {
    raft_free(buffer.base);
    delete request;
  }
  release_deferred_output();
  return error == 0;
}

struct Raft::MembershipRequest : raft_change {
  std::function<void(bool)> done;
  bool* is_changing = nullptr;
};

bool Raft::change_membership(Time now, MembershipChange change, const std::string& server,
                             std::function<void(bool is_committed)> done) {
  now_ = now;
  if (has_failed_ || !is_leader() || is_changing_membership_) return false;
  auto* request = new MembershipRequest{};
  request->done = std::move(done);
  request->is_changing = &is_changing_membership_;
  const auto on_done = [](raft_change* finished, int status) {
    const std::unique_ptr<MembershipRequest> owned(static_cast<MembershipRequest*>(finished));
    *owned->is_changing = false;
    owned->done(status == 0);
  };
  is_changing_membership_ = true;
  const raft_id id = raft_id_of(server);
  int error = 0;
  switch (change) {
    case MembershipChange::add_spare:
      error = raft_add(&raft_, request, id, server.c_str(), on_done);
      break;
    case MembershipChange::promote_to_voter:
      error = raft_assign(&raft_, request, id, RAFT_VOTER, on_done);
      break;
    case MembershipChange::remove:
      error = raft_remove(&raft_, request, id, on_done);
      break;
  }
  if (error) {
    is_changing_membership_ = false;
    delete request;
  }
  release_deferred_output();
  return error == 0;
}

// ---- Leadership

// Returns the latest time by which a majority of the voters, including this server, had confirmed
// this leader.
Time Raft::majority_confirmed_at() const {
  std::vector<Time> times;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const auto& server = raft_.configuration.servers[i];
    if (server.role != RAFT_VOTER) continue;
    const auto confirmed = confirmed_at_.find(server.address);
    if (server.id == raft_.id) {
      times.push_back(now_);
    } else {
      times.push_back(confirmed != confirmed_at_.end() ? confirmed->second : 0);
    }
  }
  if (times.empty()) return 0;
  std::sort(times.rbegin(), times.rend());
  return times[times.size() / 2];
}

bool Raft::has_leader_lease(Time now) const {
  if (has_failed_ || !is_leader()) return false;
  // A single voter counts its own vote before the vote is on the disk. It must wait for its writes,
  // or it could lead twice in one term after a crash.
  if (raft_.configuration.n == 1) return writes_done_ == writes_begun_;
  const auto lease =
      static_cast<Time>(static_cast<double>(settings_.election_timeout) * (1 - 2 * kMaxClockDrift));
  return confirmed_term_ == raft_.current_term && now < majority_confirmed_at() + lease;
}

struct Raft::BarrierRequest : ::raft_barrier {
  Raft* raft = nullptr;
  std::uint64_t term = 0;
};

// Appends a barrier entry at the start of a term: entries of earlier leaders are committed only
// once an entry of this leader's term that follows them is committed.
void Raft::begin_term_if_leader() {
  if (!is_leader() || barrier_term_ == raft_.current_term) return;
  barrier_term_ = raft_.current_term;
  is_barrier_done_ = false;
  auto* request = new BarrierRequest{};
  request->raft = this;
  request->term = barrier_term_;
  const int error = ::raft_barrier(&raft_, request, [](struct raft_barrier* finished, int status) {
    const std::unique_ptr<BarrierRequest> owned(static_cast<BarrierRequest*>(finished));
    Raft& raft = *owned->raft;
    if (status != 0) {
      raft.barrier_term_ = 0;
    } else if (raft.barrier_term_ == owned->term) {
      raft.is_barrier_done_ = true;
    }
  });
  if (error) {
    delete request;
    barrier_term_ = 0;
  }
}

void Raft::record_confirmation(const std::string& peer, const LeaderContact& echo) {
  if (!is_leader() || echo.term != raft_.current_term) return;
  if (confirmed_term_ != echo.term) {
    confirmed_at_.clear();
    confirmed_term_ = echo.term;
  }
  Time& confirmed_at = confirmed_at_[peer];
  confirmed_at = std::max(confirmed_at, echo.sent_at);
}

std::string Raft::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  ::raft_leader(const_cast<raft*>(&raft_), &id, &address);
  return id != 0 && address ? address : "";
}

// ---- The log and the configuration

Raft::Acknowledgement Raft::acknowledged_by(const std::string& peer) const {
  const auto found = acknowledged_.find(peer);
  if (found == acknowledged_.end()) return {};
  const Acknowledgement& acknowledged = found->second;
  return {acknowledged.term, std::min<std::uint64_t>(acknowledged.index, raft_.commit_index)};
}

// The library has no function for this; its log is a ring buffer.
std::uint64_t Raft::last_term() const {
  const auto& log = raft_.log;
  const auto count = log.size ? (log.back + log.size - log.front) % log.size : 0;
  if (count == 0) return log.snapshot.last_term;
  return log.entries[(log.back + log.size - 1) % log.size].term;
}

std::map<std::string, int> Raft::roles() const {
  std::map<std::string, int> roles;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const auto& server = raft_.configuration.servers[i];
    roles[server.address] = server.role;
  }
  return roles;
}

bool Raft::has_server(std::string_view name) const {
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    if (raft_.configuration.servers[i].address == name) return true;
  }
  return false;
}

// ---- Messages received

bool Raft::is_below_vote_floor(const raft_request_vote& request) const {
  const LogPosition last_entry{request.last_log_term, request.last_log_index};
  return now_ < vote_floor_until_ && last_entry < vote_floor_;
}

// A voter that has just started does not know when it last confirmed a leader. If it voted at once,
// a second leader could be elected while the lease of the first, to which the voter's confirmation
// contributed, is still valid.
bool Raft::may_vote_on(const raft_request_vote& request) const {
  return now_ >= started_at_ + settings_.election_timeout && !is_below_vote_floor(request);
}

void Raft::record_acknowledgement(const std::string& peer, const raft_message& message) {
  if (message.type == RAFT_IO_APPEND_ENTRIES_RESULT) {
    const auto& result = message.append_entries_result;
    Acknowledgement& acknowledged = acknowledged_[peer];
    acknowledged.term = std::max<std::uint64_t>(acknowledged.term, result.term);
    if (!result.rejected) {
      acknowledged.index = std::max<std::uint64_t>(acknowledged.index, result.last_log_index);
    }
  } else if (message.type == RAFT_IO_REQUEST_VOTE_RESULT) {
    const auto& result = message.request_vote_result;
    Acknowledgement& acknowledged = acknowledged_[peer];
    if (result.pre_vote == raft_tribool_false) {
      acknowledged.term = std::max<std::uint64_t>(acknowledged.term, result.term);
    }
  }
}

// Records the newest message of a leader; the next frame to that leader echoes it.
void Raft::record_leader_contact(const std::string& leader, const raft_message& message,
                                 Time sent_at) {
  std::uint64_t leader_term = 0;
  if (message.type == RAFT_IO_APPEND_ENTRIES) {
    leader_term = message.append_entries.term;
  } else if (message.type == RAFT_IO_INSTALL_SNAPSHOT) {
    leader_term = message.install_snapshot.term;
  } else {
    return;
  }
  if (leader_term >= raft_.current_term) leader_contacts_[leader] = {leader_term, sent_at};
}

void Raft::receive(Time now, const std::string& from, std::string_view frame) {
  now_ = now;
  if (has_failed_) return;
  auto decoded = decode_raft_frame(frame, from);
  if (!decoded) return;
  raft_message& message = decoded->message;
  record_confirmation(from, decoded->header.echo);
  message.server_id = raft_id_of(from);
  message.server_address = from.c_str();
  if (message.type == RAFT_IO_REQUEST_VOTE && !may_vote_on(message.request_vote)) return;
  record_acknowledgement(from, message);
  record_leader_contact(from, message, decoded->header.sent_at);
  receive_callback_(&io_, &message);
  begin_term_if_leader();
  release_deferred_output();
}

}  // namespace alderspur::consensus

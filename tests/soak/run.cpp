#include "soak/run.h"

#include <linux/close_range.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <utility>

#include "net/loop.h"
#include "support/rpc_messages.h"

namespace soak {
namespace {

namespace net = alderspur::net;

/// SIGKILL comes no earlier than the longest deadline and this after SIGTERM.
constexpr Time kKillMargin = 700 * kMillisecond;
constexpr Time kKillTime = kRequestTimeout + kKillMargin;
constexpr Time kSteadyTime = 500 * kMillisecond;
constexpr Time kReplacementReadyLimit = 6 * kSecond;
constexpr Time kRestartReadyLimit = 10 * kSecond;
constexpr Time kBanLimit = kSecond;  // a ban counts from the reply, or from this after the call
constexpr Time kRestTimeout = 20 * kSecond;
constexpr Time kProbeInterval = 20 * kMillisecond;
constexpr unsigned kStepPause = 400;  // microseconds
constexpr int kMaxSockets = 256;
constexpr int kMemoryMegabytes = 192;
constexpr std::size_t kCrowdSize = 300;
constexpr int kBurstReloads = 8;
constexpr std::size_t kPurgedObjects = 8;
/// A connection to discovery, and one to each cache that is checked while idle.
constexpr std::size_t kDescriptorAllowance = 1 + kCacheCount;
/// Buffers that a process keeps for the next burst.
constexpr std::size_t kMemoryAllowance = std::size_t{32} << 20;
constexpr std::size_t kKeptLogBytes = 2'000;
constexpr unsigned kFirstOwnDescriptor = 3;  // behind the standard streams

std::string make_directory() {
  std::string name = "/tmp/alderspur-soak-XXXXXX";
  return ::mkdtemp(name.data());
}

}  // namespace

Run::Run(const Schedule& schedule)
    : schedule_(schedule),
      violations_(net::unix_now()),
      times_{net::unix_now(), net::unix_now()},
      address_(loopback::free_address()),
      shared_directory_(make_directory()),
      caches_(violations_, schedule.seed),
      clients_(violations_, caches_, address_, schedule.seed, schedule.has_crowd) {
  std::string members;
  for (std::size_t cache = 0; cache < kCacheCount; ++cache) {
    members += (cache > 0 ? "," : "") + member_event(cache, "in_service");
  }
  discovery_.add_event(R"("pool":{"complete":true,"members":[)" + members + "]}");
}

Run::~Run() {
  processes_.clear();
  std::filesystem::remove_all(shared_directory_);
}

// ---- Steps

void Run::step() {
  times_ = {times_.now, net::unix_now()};
  discovery_.step(times_.now);
  caches_.step(times_);
  clients_.step(times_);
  step_calls();
  apply_told_news();
  for (auto& process : processes_) {
    process.log += process.program->read_available_log();
    if (process.log.size() > 2 * kKeptLogBytes) {
      process.log.erase(0, process.log.size() - kKeptLogBytes);
    }
  }
}

bool Run::run_until(const std::function<bool()>& holds, Time timeout) {
  for (const Time end = net::unix_now() + timeout; net::unix_now() < end;) {
    step();
    if (holds()) return true;
    ::usleep(kStepPause);
  }
  return false;
}

void Run::run_for(Time duration) {
  run_until([] { return false; }, duration);
}

std::string Run::logs() const {
  std::string text = ended_logs_;
  for (const auto& process : processes_) text += "--- log\n" + process.log;
  return text;
}

// ---- Processes

std::string Run::member_event(std::size_t cache, const char* phase) const {
  return R"({"id":")" + CacheServers::id(cache) + R"(","host_port":")" + caches_.address(cache) +
         R"(","locality":"edge","flavor":"small","phase":")" + phase + R"(","size":4})";
}

std::string Run::config() const {
  return R"({"limits":{"sockets":)" + std::to_string(kMaxSockets) + R"(,"memory_mb":)" +
         std::to_string(kMemoryMegabytes) + R"(},"listen":")" + net::to_string(address_) +
         R"(","board":")" + discovery_.address(board_) + R"(","known":)" + discovery_.known() +
         R"(,"settings":{"azs":["edge"],"zone":0,"shapes":["small"],
      "ceilings":{"max-attempts":3,"may-cancel":true,"retry-after":true,"max-retry-after":500000,
        "idle-close":1000000},
      "obligations":{"stop-sending-within":)" +
         std::to_string(kDrainGrace) + R"(},
      "classes":[{"name":"asset","target":5000000,"give-up":)" +
         std::to_string(kRequestTimeout) + R"(,"points":1,"repeat":"safe"}],
      "domain":{"stream-kb-per-s":9000,"lifetime-by-class":[60000000],"purge-slack":)" +
         std::to_string(kPurgeGrace) + R"(,"purge-settles":)" +
         std::to_string(kPurgePropagationTime) + "}}}";
}

Run::Process Run::start_process() {
  Process process;
  std::string operators;
  if (schedule_.has_operators) {
    process.operators = loopback::free_address();
    operators = net::to_string(process.operators);
  }
  // The process must not inherit the ends of connections: the test's closes would go unnoticed.
  ::close_range(kFirstOwnDescriptor, ~0U, CLOSE_RANGE_CLOEXEC);
  process.program = std::make_unique<loopback::RouterProcess>(
      config(), schedule_.has_operators ? shared_directory_ : std::string(), operators);
  return process;
}

// As the platform's front asks on a connection of its own.
bool Run::has_answered_status() {
  const auto socket = try_connect(address_);
  if (!socket) return false;
  socket->write(loopback::encode_request(1, "status", {}));
  return run_until(
             [&] {
               socket->poll();
               return socket->is_closed || !loopback::decode_responses(socket->received).empty();
             },
             kSecond) &&
         !loopback::decode_responses(socket->received).empty();
}

bool Run::reports_ready(const Process& process) {
  const auto socket = try_connect(process.operators);
  if (!socket) return false;
  socket->write("GET /control/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  run_until(
      [&] {
        socket->poll();
        return socket->is_closed;
      },
      kSecond);
  return socket->received.starts_with("HTTP/1.1 200");
}

void Run::wait_until_ready(Process& process, Time limit, const std::string& what) {
  const Time started_at = net::unix_now();
  const auto is_ready = [&] {
    run_for(kProbeInterval);
    return schedule_.has_operators ? reports_ready(process) : has_answered_status();
  };
  while (!is_ready()) {
    if (process.program->has_exited()) {
      violations_.add(net::unix_now(), what + " has ended at its start");
      return;
    }
    if (net::unix_now() > started_at + limit) {
      violations_.add(net::unix_now(), what + " is not ready in time");
      return;
    }
  }
  process.is_ready = true;
}

void Run::signal_all(int number) {
  for (auto& process : processes_) {
    if (process.is_ready && !process.program->has_exited()) process.program->send_signal(number);
  }
}

void Run::reload_all() {
  board_ = (board_ + 1) % DiscoveryServer::kAddresses;
  for (auto& process : processes_) {
    if (process.is_ready) process.program->configure(config());
  }
  signal_all(SIGHUP);
}

// ---- Restarts

void Run::play() {
  processes_.push_back(start_process());
  wait_until_ready(processes_.back(), kRestartReadyLimit, "the first process");
  idle_descriptors_ = processes_.back().program->open_descriptors();
  idle_bytes_ = processes_.back().program->resident_bytes();
  clients_.set_sending(true);
  run_for(kSteadyTime);
  for (const auto& restart : schedule_.restarts) {
    if (schedule_.has_crowd) clients_.open_crowd(kCrowdSize);
    play(restart);
    run_for(kSteadyTime);
  }
  clients_.set_sending(false);
  run_until([this] { return !clients_.has_open_requests(); }, kRequestTimeout + kSecond);
  clients_.close_all();
  check_rest();
}

void Run::play(const Restart& restart) {
  next_step_ = 0;
  discovery_.set_fault(restart.discovery);
  switch (restart.kind) {
    case RestartKind::planned:
      play_planned(restart);
      break;
    case RestartKind::replacement:
      play_replacement(restart);
      break;
    case RestartKind::killed:
      play_killed(restart);
      break;
  }
  discovery_.set_fault(DiscoveryFault::none);
}

void Run::play_due_steps(const Restart& restart, Time began_at) {
  while (next_step_ < restart.steps.size()) {
    const Step& due = restart.steps[next_step_];
    if (times_.now < began_at + due.after) return;
    ++next_step_;
    perform(due);
  }
}

void Run::play_steps_before(const Restart& restart) {
  const Time begins_at = net::unix_now() + kTimeBeforeRestart;
  run_until(
      [&] {
        play_due_steps(restart, begins_at);
        return times_.now >= begins_at;
      },
      kTimeBeforeRestart);
}

void Run::play_planned(const Restart& restart) {
  play_steps_before(restart);
  drain_old_process(restart, false);
  processes_.push_back(start_process());
  wait_until_ready(processes_.back(), kRestartReadyLimit, "a restarted process");
  clients_.allow_connections(true);
}

void Run::play_replacement(const Restart& restart) {
  processes_.push_back(start_process());
  play_steps_before(restart);
  wait_until_ready(processes_.back(), kReplacementReadyLimit, "a successor");
  drain_old_process(restart, true);
}

void Run::play_killed(const Restart& restart) {
  play_steps_before(restart);
  processes_.front().program->send_signal(SIGKILL);
  processes_.front().program->wait_for_exit();
  const Time killed_at = net::unix_now();
  clients_.on_process_killed(killed_at);
  processes_.pop_front();
  processes_.push_back(start_process());
  wait_until_ready(processes_.back(), kRestartReadyLimit, "a process after a kill");
  run_until(
      [&] {
        play_due_steps(restart, killed_at);
        return next_step_ >= restart.steps.size();
      },
      kKillTime);
}

// From SIGTERM to the kill; the oldest process is the one that ends.
void Run::drain_old_process(const Restart& restart, bool has_successor) {
  const Time signalled_at = net::unix_now();
  const Time kill_at = signalled_at + kKillTime;
  Process& old = processes_.front();
  old.is_ending = true;
  old.program->send_signal(SIGTERM);
  run_until(
      [&] {
        play_due_steps(restart, signalled_at);
        const bool may_connect =
            has_successor || times_.now < signalled_at + restart.new_connections_end;
        clients_.allow_connections(may_connect);
        return times_.now >= kill_at;
      },
      kKillTime);
  end_process(old, kill_at);
  processes_.pop_front();
}

void Run::end_process(Process& process, Time kill_at) {
  if (!process.program->has_exited()) {
    violations_.add(net::unix_now(), "the process still runs at the time of its kill");
    process.program->send_signal(SIGKILL);
    clients_.on_process_killed(kill_at);
  }
  const int code = process.program->wait_for_exit();
  process.log += process.program->read_available_log();
  ended_logs_ += "--- log of a process that has ended\n" + process.log;
  if (code != 0) {
    violations_.add(net::unix_now(),
                    "the process ended with " + std::to_string(code) + ": " + process.log);
  }
}

void Run::perform(const Step& step) {
  switch (step.kind) {
    case Step::Kind::reload:
      return reload_all();
    case Step::Kind::reload_burst:
      for (int i = 0; i < kBurstReloads; ++i) reload_all();
      return;
    case Step::Kind::terminate_again:
      // Only where a first one was sent: otherwise it would end the process that is to go on.
      if (processes_.front().is_ending) processes_.front().program->send_signal(SIGTERM);
      return;
    case Step::Kind::reset_caches:
      return caches_.reset_connections(step.cache);
    case Step::Kind::drain:
      return drain(step.cache);
    case Step::Kind::purge:
      return purge();
    case Step::Kind::ban:
      return ban(step.cache);
    case Step::Kind::lift:
      return lift();
  }
}

// ---- Drains, purges and bans

void Run::drain(std::size_t cache) {
  if (closed_ == Closed::banned) return;
  const bool ends = closed_ == Closed::draining;
  if (!ends) closed_cache_ = cache;
  const char* phase = ends ? "in_service" : "terminating";
  discovery_.add_event(R"("pool":{"complete":false,"members":[)" +
                       member_event(closed_cache_, phase) + "]}");
  if (ends) {
    closed_ = Closed::none;
    std::erase_if(pending_news_, [](const PendingNews& news) { return news.object.empty(); });
    caches_.allow_sends(closed_cache_);
  } else {
    closed_ = Closed::draining;
    pending_news_.push_back({cache, {}, 0});
  }
}

void Run::purge() {
  const Time now = net::unix_now();
  std::string object = "0000000000000000";
  object.back() = static_cast<char>('0' + purges_++ % kPurgedObjects);
  const Time purged_at = now / kMillisecond * kMillisecond;
  discovery_.add_event(R"("flush":{"asset":")" + object + R"(","ms":)" +
                       std::to_string(purged_at / kMillisecond) + "}");
  pending_news_.push_back({0, object, purged_at});
}

void Run::apply_told_news() {
  const auto running = static_cast<std::size_t>(
      std::count_if(processes_.begin(), processes_.end(),
                    [](const Process& process) { return process.is_ready; }));
  if (pending_news_.empty() || !discovery_.has_told(running)) return;
  for (const auto& news : std::exchange(pending_news_, {})) {
    if (news.object.empty()) {
      caches_.forbid_sends(news.cache, times_.now + kDrainGrace + kSocketSlack, "draining");
    } else {
      caches_.expect_no_older_copy(news.object, news.purged_at,
                                   times_.now + kPurgeGrace + kSocketSlack);
    }
  }
}

void Run::ban(std::size_t cache) {
  if (!schedule_.has_operators || closed_ != Closed::none) return;
  closed_ = Closed::banned;
  closed_cache_ = cache;
  call(cache, true);
}

void Run::lift() {
  if (closed_ != Closed::banned) return;
  closed_ = Closed::none;
  caches_.allow_sends(closed_cache_);
  call(closed_cache_, false);
}

void Run::call(std::size_t cache, bool is_ban) {
  const auto ready = std::find_if(processes_.rbegin(), processes_.rend(),
                                  [](const Process& process) { return process.is_ready; });
  if (ready == processes_.rend()) return;
  auto socket = try_connect(ready->operators);
  if (!socket) return;
  socket->write("PUT /control/caches/" + CacheServers::id(cache) +
                (is_ban ? "/offline" : "/online") +
                " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  calls_.push_back({std::move(socket), cache, is_ban, net::unix_now()});
}

void Run::step_calls() {
  std::erase_if(calls_, [this](Call& call) {
    call.socket->poll();
    const bool is_answered = call.socket->received.starts_with("HTTP/1.1 200");
    if (!is_answered && !call.socket->is_closed) return false;
    const bool still_holds = closed_ == Closed::banned && closed_cache_ == call.cache;
    if (call.is_ban && is_answered && still_holds) {
      const Time from = std::min(times_.now, call.called_at + kBanLimit);
      caches_.forbid_sends(call.cache, from + kDrainGrace + kSocketSlack, "banned");
    }
    return true;
  });
}

// ---- Rest

// Without clients a process gives back what it took for them.
void Run::check_rest() {
  loopback::RouterProcess& program = *processes_.back().program;
  const auto is_at_rest = [&] {
    return program.open_descriptors() <= idle_descriptors_ + kDescriptorAllowance;
  };
  if (!run_until(is_at_rest, kRestTimeout)) {
    violations_.add(net::unix_now(), std::to_string(program.open_descriptors()) +
                                         " descriptors are open at rest, " +
                                         std::to_string(idle_descriptors_) + " at the start");
  }
  const std::size_t bytes = program.resident_bytes();
  if (bytes > idle_bytes_ + kMemoryAllowance) {
    violations_.add(net::unix_now(), std::to_string(bytes) + " bytes are used at rest, " +
                                         std::to_string(idle_bytes_) + " at the start");
  }
}

}  // namespace soak

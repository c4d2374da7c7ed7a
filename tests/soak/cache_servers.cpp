#include "soak/cache_servers.h"

#include <algorithm>
#include <utility>

namespace soak {
namespace {

using loopback::CacheCommand;
using loopback::FakeCache;

constexpr Time kMinLatency = 3 * kMillisecond;
constexpr Time kMaxLatency = 60 * kMillisecond;
constexpr Time kSlowLatency = 900 * kMillisecond;
constexpr std::uint64_t kSlowEvery = 40;        // one answer in so many
constexpr std::uint64_t kOverloadedEvery = 30;  // one answer in so many is a refusal
constexpr std::uint64_t kFailedEvery = 60;      // one in so many an error
/// A copy's age is measured in whole milliseconds by three clocks readings.
constexpr Time kAgeTolerance = 5 * kMillisecond;

}  // namespace

bool is_large(const std::string& object) { return !object.empty() && object.back() == 'f'; }

std::string body_of(const std::string& object) {
  std::string body = "object " + object;
  if (is_large(object)) body.resize(kLargeBodyBytes, 'x');
  return body;
}

void CacheServers::step(const StepTimes& times) {
  read_commands();
  end_abandoned_attempts();
  begin_attempts(times);
  answer_due(times.now);
  forget_closed_connections();
}

void CacheServers::read_commands() {
  for (std::size_t cache = 0; cache < kCacheCount; ++cache) {
    caches_[cache].poll();
    for (auto& command : std::exchange(caches_[cache].commands, {})) {
      if (command.verb == "fetch") {
        fetches_[cache].push_back(std::move(command));
      } else if (command.verb == "abort") {
        std::erase_if(attempts_, [&](const Attempt& attempt) {
          return attempt.id == command.id && attempt.connection == command.connection;
        });
        std::erase_if(fetches_[cache], [&](const CacheCommand& fetch) {
          return fetch.id == command.id && fetch.connection == command.connection;
        });
      } else {
        FakeCache::respond(command, "green");
      }
    }
  }
}

// Closing a connection abandons everything open on it.
void CacheServers::end_abandoned_attempts() {
  std::erase_if(attempts_, [](const Attempt& attempt) { return attempt.connection->is_closed; });
}

bool CacheServers::is_out(const std::string& id) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [&](const Attempt& attempt) { return attempt.id == id; });
}

void CacheServers::begin_attempts(const StepTimes& times) {
  auto arrived = std::exchange(fetches_, {});
  for (std::size_t cache = 0; cache < kCacheCount; ++cache) {
    for (auto& command : arrived[cache]) {
      // The end of the attempt before may have arrived since its connection was read.
      if (is_out(command.id)) {
        read_commands();
        end_abandoned_attempts();
      }
      begin(cache, command, times);
    }
  }
}

void CacheServers::begin(std::size_t cache, CacheCommand& command, const StepTimes& times) {
  ++fetch_count_;
  if (is_out(command.id)) {
    violations_.add(times.now, "two attempts of " + command.id + " are out");
  }
  const auto closed = closed_.find(cache);
  if (closed != closed_.end() && times.previous > closed->second.from) {
    violations_.add(times.now, "sent to " + id(cache) + ", which is " + closed->second.why);
  }
  const auto gone = gone_clients_.find(command.id);
  if (gone != gone_clients_.end() &&
      times.previous > gone->second + kClientGoneGrace + kSocketSlack) {
    violations_.add(times.now, "an attempt of " + command.id + " whose client has gone");
  }
  check_purge(command, times);
  const bool is_slow = random_() % kSlowEvery == 0;
  const Time latency =
      is_slow ? kSlowLatency
              : kMinLatency + static_cast<Time>(random_() % (kMaxLatency - kMinLatency));
  attempts_.push_back(
      {command.id, command.fields["name"], command.connection, times.now + latency});
}

void CacheServers::check_purge(const CacheCommand& command, const StepTimes& times) {
  const auto name = command.fields.find("name");
  const auto purge = name == command.fields.end() ? purges_.end() : purges_.find(name->second);
  if (purge == purges_.end() || times.previous <= purge->second.from) return;
  if (times.now > purge->second.purged_at + kPurgePropagationTime) return;
  const Time oldest = times.now - purge->second.purged_at + kAgeTolerance;
  const auto limit = command.fields.find("agelim");
  const bool is_limited = limit != command.fields.end() && !limit->second.empty();
  if (is_limited && std::stoll(limit->second) * kMillisecond <= oldest) return;
  violations_.add(times.now, "a copy of " + name->second + " from before its purge would do" +
                                 (is_limited ? ": agelim " + limit->second : ""));
}

void CacheServers::answer_due(Time now) {
  std::erase_if(attempts_, [&](const Attempt& attempt) {
    if (attempt.answer_at > now) return false;
    answer(attempt);
    return true;
  });
}

void CacheServers::answer(const Attempt& attempt) {
  CacheCommand command;
  command.id = attempt.id;
  command.connection = attempt.connection;
  if (random_() % kOverloadedEvery == 0) return FakeCache::respond(command, "overload");
  if (random_() % kFailedEvery == 0) return FakeCache::respond(command, "crashed");
  FakeCache::respond(command, "served", body_of(attempt.object));
}

void CacheServers::reset_connections(std::size_t cache) {
  for (auto& connection : caches_.at(cache).connections) {
    connection->reset();
    connection->is_closed = true;
  }
  end_abandoned_attempts();
}

void CacheServers::forget_closed_connections() {
  end_abandoned_attempts();
  for (auto& fetches : fetches_) {
    std::erase_if(fetches,
                  [](const CacheCommand& command) { return command.connection->is_closed; });
  }
  for (auto& cache : caches_) {
    std::erase_if(cache.connections, [](const auto& connection) { return connection->is_closed; });
  }
}

void CacheServers::forbid_sends(std::size_t cache, Time from, const std::string& why) {
  closed_.try_emplace(cache, ClosedCache{from, why});
}

void CacheServers::expect_no_older_copy(const std::string& object, Time purged_at, Time from) {
  purges_[object] = {purged_at, from};
}

}  // namespace soak

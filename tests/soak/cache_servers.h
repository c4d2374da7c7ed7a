// The stand-in caches of a run, and the rules that are judged by what reaches them: never two
// attempts of a request out, no attempt for a client that has gone, nothing to a cache that is
// draining or banned, and no older copy after a purge.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak/schedule.h"
#include "soak/violations.h"
#include "support/fake_cache.h"

namespace soak {

/// The answers with these objects are large.
constexpr std::size_t kLargeBodyBytes = 200'000;
/// Sends to a draining cache must end within this time, as the runs' settings say.
constexpr Time kDrainGrace = 300 * kMillisecond;
/// A purge must be heeded within this time.
constexpr Time kPurgeGrace = 300 * kMillisecond;
/// After this time no copy from before a purge is left anywhere, as the runs' settings say.
constexpr Time kPurgePropagationTime = 6 * kSecond;
/// Time limits on sockets are extended by this.
constexpr Time kSocketSlack = 50 * kMillisecond;
/// No attempt may begin so long after its client has gone.
constexpr Time kClientGoneGrace = 100 * kMillisecond;

bool is_large(const std::string& object);
/// What every cache answers for an object.
std::string body_of(const std::string& object);

class CacheServers {
 public:
  CacheServers(Violations& violations, std::uint64_t seed)
      : violations_(violations), random_(seed) {}

  static std::string id(std::size_t cache) { return "s-" + std::to_string(cache); }
  std::string address(std::size_t cache) const { return caches_.at(cache).address(); }

  void step(const StepTimes& times);
  void reset_connections(std::size_t cache);

  // What the router has been told, from a time on. `grace` included.
  void forbid_sends(std::size_t cache, Time from, const std::string& why);
  void allow_sends(std::size_t cache) { closed_.erase(cache); }
  void expect_no_older_copy(const std::string& object, Time purged_at, Time from);
  void on_client_gone(const std::string& transaction, Time at) { gone_clients_[transaction] = at; }

  std::size_t fetch_count() const { return fetch_count_; }

 private:
  /// A request of the router that is being answered.
  struct Attempt {
    std::string id;
    std::string object;
    loopback::TestSocket* connection = nullptr;
    Time answer_at = 0;
  };
  struct ClosedCache {
    Time from = 0;
    std::string why;
  };
  struct Purge {
    Time purged_at = 0;
    Time from = 0;
  };

  void read_commands();
  void end_abandoned_attempts();
  void begin_attempts(const StepTimes& times);
  void begin(std::size_t cache, loopback::CacheCommand& command, const StepTimes& times);
  void check_purge(const loopback::CacheCommand& command, const StepTimes& times);
  bool is_out(const std::string& id) const;
  void answer_due(Time now);
  void answer(const Attempt& attempt);
  void forget_closed_connections();

  Violations& violations_;
  std::mt19937_64 random_;
  std::array<loopback::FakeCache, kCacheCount> caches_;
  std::array<std::vector<loopback::CacheCommand>, kCacheCount> fetches_;  // read, not judged yet
  std::vector<Attempt> attempts_;                                         // out now
  std::map<std::size_t, ClosedCache> closed_;
  std::map<std::string, Purge> purges_;       // by object
  std::map<std::string, Time> gone_clients_;  // by transaction
  std::size_t fetch_count_ = 0;
};

}  // namespace soak

// alderspur: decides, for a proxy in front of tiers of caches, where each request goes.
//
// Use: make one Router per proxy from Settings and a seed, hand it every event in the order in
// which it happened, and carry out the actions that it appends, in order, at the same moment. The
// router owns no clock, thread, socket or global; two routers share nothing. It is not thread-safe:
// call one router from one thread at a time. The same settings, seed and events give the same
// actions.
//
// Units: Time and durations are whole microseconds, sizes are KB. The clock may start anywhere; a
// clock that stands still or steps back is treated as standing still. Zero means "not told".
//
// Errors: events that name unknown requests, servers or timers, repeated outcomes and repeated
// request ids are ignored; sizes that are NaN, negative or infinite read as not told. An empty
// endpoint list leads to a rejection or failure, never to silence. No call throws except on lack of
// memory.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace alderspur {

using Time = std::int64_t;

/// A number that cannot be mixed up with one of another kind.
template <class Tag, class T>
struct Id {
  T value{};
  constexpr auto operator<=>(const Id&) const = default;
};
using ServerId = Id<struct ServerTag, std::uint64_t>;
using RequestId = Id<struct RequestTag, std::uint64_t>;
using ObjectId = Id<struct ObjectTag, std::uint64_t>;
using LocationId = Id<struct LocationTag, std::uint32_t>;
using CellId = Id<struct CellTag, std::uint32_t>;
using ClassId = Id<struct ClassTag, std::uint32_t>;
using GroupId = Id<struct GroupTag, std::uint32_t>;
using AttemptNo = Id<struct AttemptTag, std::uint32_t>;
using TimerId = Id<struct TimerTag, std::uint32_t>;

// ---- Settings, given once at start ----

/// May a request run more than once? With a key, servers drop repeats within the class's
/// dedup_window.
enum class Idempotency { idempotent, idempotent_with_key, not_idempotent };
/// Which caches drop repeats of each other's keyed requests.
enum class DedupScope { all, location, cell };
/// What Server::weight means: nothing, a nominal or rough capacity, or one that follows the load.
enum class WeightKind { none, nominal, rough, live };

struct ClassSettings {
  /// A response within it, plus `latency_objective_stretch` times its own transfer time, earns all.
  Time latency_objective = 0;
  double latency_objective_stretch = 0;
  /// What a response in time is worth, against those of other classes.
  double priority_weight = 1;
  Idempotency idempotency = Idempotency::idempotent;
  DedupScope dedup_scope = DedupScope::all;
  Time dedup_window = 0;
  /// It runs at the origin; no copy is kept.
  bool never_cached = false;
  /// How long a copy is fresh; 0: until it is purged.
  Time fresh_time = 0;
  /// How much older than that a copy may be where a request asks for it.
  Time stale_grace_time = 0;

  /// A repeat does no harm, wherever it goes (a keyed one: within its window).
  bool may_repeat_anywhere() const {
    return idempotency == Idempotency::idempotent ||
           (idempotency == Idempotency::idempotent_with_key && dedup_scope == DedupScope::all);
  }
};

struct Settings {
  LocationId location{};
  /// Routers of this tier in all locations, and in each one.
  std::uint32_t router_count = 1;
  std::vector<std::uint32_t> router_count_by_location;
  std::vector<ClassSettings> classes;
  std::uint32_t max_attempts = 1;
  bool can_cancel_attempts = false;
  bool health_checks_allowed = false;
  /// Rejected clients are told when to come back, at most this time later.
  bool sends_retry_after = false;
  Time max_retry_after = 0;
  /// Endpoint updates come only after Subscribe.
  bool must_subscribe_to_endpoints = false;
  /// A cache starts at this part of its capacity and has all of it after this time.
  double cache_slow_start_fraction = 1;
  Time cache_slow_start_time = 0;
  /// An overload of this length pushes a server over that is warming up.
  Time overload_window = 0;
  double parent_slow_start_fraction = 1;
  Time parent_slow_start_time = 0;
  /// After this time no copy from before a purge is left.
  Time purge_propagation_time = 0;
  /// Top pace of one response, and the unit of weights.
  double stream_kb_per_second = 0;
  WeightKind weights = WeightKind::none;
  bool can_join_fills = false;
  /// Parents and the origin take attempts too.
  bool can_bypass_caches = false;
  /// Caches can be told how to fill what they lack.
  bool has_fills = false;
};

// ---- Events ----

enum class Role { cache, parent, origin };
enum class ServerStatus { gone, ready, draining };

struct Server {
  ServerId id{};
  Role role = Role::cache;
  LocationId location{};
  CellId cell{};
  ServerStatus status = ServerStatus::gone;
  double weight = 1;
  /// Last start of its process; 0: long ago.
  Time started_at = 0;
};

/// The endpoint list, or what has changed of it.
struct EndpointUpdate {
  bool is_complete = false;  // it replaces the list
  bool has_failed = false;   // the call for it failed; the list stays
  std::vector<Server> servers;
};

/// A client's request. The router owes exactly one final answer, within `time_budget`.
struct Request {
  RequestId id{};
  ObjectId object{};
  GroupId group{};
  ClassId class_id{};
  std::uint32_t part = 0;
  double size_kb = 0;
  Time time_budget = 0;
  bool is_write = false;
};

enum class AttemptResult {
  ok,
  error,
  overloaded,
  timeout,
  connect_failed,
  reset,
  cancelled,
  already_finished,
  miss,
  /// It waited to be sent and may no longer be (see Router::may_send): nothing ran.
  not_sent
};

/// What a cache says of its copy or of the fill. From source_refused on the fill failed.
enum class FillOutcome {
  none,
  hit,
  filled,
  filled_by_origin,
  joined_fill,
  served_stale,
  source_refused,
  source_unreachable,
  source_lacks,
  fill_limit_reached,
  origin_failed
};

/// A server's own word on its load, each between 0 and 1 but for `in_flight`. Negative: not told.
struct LoadReport {
  double in_flight = -1;
  double utilization = -1;
  double link_or_fill_utilization = -1;
};

/// The end of an attempt: exactly one for each Send.
struct AttemptOutcome {
  RequestId id{};
  AttemptNo attempt{};
  ServerId server{};
  AttemptResult result = AttemptResult::ok;
  FillOutcome fill_outcome = FillOutcome::none;
  /// The client has its final answer; if unset, one is still owed.
  bool response_delivered = false;
  Time elapsed = 0;
  /// From the fill's source, or until the fill failed.
  Time time_to_first_byte = 0;
  LoadReport report{};
};

/// The client has part of the response: no further attempt.
struct ResponseStarted {
  RequestId id{};
  AttemptNo attempt{};
};

struct ClientGone {
  RequestId id{};
  /// It is still there, but the router's process leaves: the final answer is owed now.
  bool response_owed = false;
};

/// Copies of an object, or of a whole group where `object` is absent, from before `age` ago are
/// void.
struct Purge {
  std::optional<ObjectId> object;
  GroupId group{};
  Time age = 0;
};

struct HealthCheckResult {
  ServerId server{};
  bool is_healthy = false;  // well and not overloaded
  Time elapsed = 0;
  LoadReport report{};
  /// How long the connection that it came by has been up; 0: not told.
  Time connection_age = 0;
  /// The server answered, healthy or not: overloaded, perhaps, but not silent.
  bool is_alive = false;
  /// The check was told as failed before, when its time was up.
  bool is_late = false;
};

struct TimerExpired {
  TimerId timer{};
};

/// By an operator, whatever the endpoint list says and whether or not the server is on it: no
/// requests, no fills and no health checks until the ban is lifted. The server then counts as newly
/// started.
struct Ban {
  ServerId server{};
  bool is_banned = false;
};

/// This process's part of the budgets that it shares with others.
struct BudgetShare {
  /// Of the router's budget, while another process acts as the same router (a hot restart).
  double process_share = 1;
  /// The other process's concurrency limit, taken over where this one has found none; 0: not told.
  double concurrency_limit = 0;
  /// This router's part of what all routers, and those of its location, may do together, in place
  /// of their numbers in the settings; 0: not told.
  double fleet_share = 0;
  double location_share = 0;
};

using Event = std::variant<EndpointUpdate, Request, AttemptOutcome, ResponseStarted, ClientGone,
                           Purge, HealthCheckResult, TimerExpired, Ban, BudgetShare>;

// ---- Actions ----

/// How a cache is to fill an object that it lacks.
struct Fill {
  /// The server itself: fill nothing.
  ServerId source{};
  /// Rank at which the copy is kept, 1 (lowest) to 3; 0: it is passed through.
  std::uint32_t cache_rank = 0;
  /// The oldest copy that will do; 0: the class's fresh time.
  Time max_age = 0;
  /// A fill under way will do.
  bool may_join = false;
  /// The source gives only what it holds.
  bool cached_only = false;
  /// Serve an ageing copy and fetch it anew behind the response.
  bool refresh_in_background = false;
};

/// Ask a server. Attempts of a request are numbered from 0 in the order of their Sends. The caller
/// ends the attempt with AttemptResult::timeout after `timeout`.
struct Send {
  RequestId id{};
  ServerId server{};
  Time timeout = 0;
  /// Unset: a plain request, without a word on fills.
  std::optional<Fill> fill;
};

/// A final answer: nothing ran that a client's retry could double.
struct Reject {
  RequestId id{};
  Time retry_after = 0;
};

/// A final answer without that promise.
struct Fail {
  RequestId id{};
};

/// Give an attempt up. Its outcome still comes.
struct Cancel {
  RequestId id{};
  AttemptNo attempt{};
};

struct HealthCheck {
  ServerId server{};
};

/// Answer with TimerExpired at that time or later.
struct SetTimer {
  TimerId timer{};
  Time at = 0;
};

/// To the endpoint list; answered by an EndpointUpdate.
struct Subscribe {};

using Action = std::variant<Send, Reject, Fail, Cancel, HealthCheck, SetTimer, Subscribe>;

/// How a cache on the list stands with the router now, for other proxies that follow its decisions.
struct EndpointStatus {
  Server server;
  /// Ready, neither banned nor ejected.
  bool is_usable = false;
  /// In units of weight: less while it warms up.
  double effective_weight = 0;
};

class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Takes one event and appends what to do about it.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// For callers whose Sends wait, for a connection say: may it still be sent now? Servers drain,
  /// sources go, the time in which a repeat is harmless runs out. If not, end it with
  /// AttemptResult::not_sent.
  bool may_send(Time now, RequestId id, AttemptNo attempt) const;
  /// Of the caches on the list that are not gone.
  std::vector<EndpointStatus> endpoint_statuses(Time now);
  /// The limit on seconds of transfer time in flight; 0: none found yet.
  double concurrency_limit() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace alderspur

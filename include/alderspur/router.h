// The decision module of alderspur: decides, for a proxy in front of tiers of caches, which server
// answers each request.
//
// Usage: create one Router per proxy from Settings and a seed. Pass it every event in the order in
// which the events happened. After each event, execute the actions that the router appended, in
// their order and without delay. The router has no clock, thread, socket or global state of its
// own, and two routers share no state. A router is not thread-safe: only one thread may call it at
// a time. The router is deterministic: the same settings, seed and events give the same actions.
//
// Units: times and durations are whole microseconds, sizes are kilobytes (KB). The clock may start
// at any value; if it steps back, the router treats it as standing still. Zero means "unknown"
// unless stated otherwise.
//
// Errors: the router ignores events that name unknown requests, servers or timers, repeated
// outcomes, and requests whose id is already in use. Sizes that are NaN, negative or infinite count
// as unknown. While the endpoint list is empty, each request is rejected or fails. No call throws,
// except std::bad_alloc when memory is exhausted.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace alderspur {

/// A point in time of the caller's clock, or a duration, in microseconds.
using Time = std::int64_t;

/// A strongly typed number: ids of different kinds cannot be assigned to or compared with each
/// other.
template <class Tag, class T>
struct Id {
  T value{};
  constexpr auto operator<=>(const Id&) const = default;
};

/// Identifies a server: a cache, a parent or an origin.
using ServerId = Id<struct ServerTag, std::uint64_t>;
/// Identifies a request of a client.
using RequestId = Id<struct RequestTag, std::uint64_t>;
/// Identifies the object that a request is for.
using ObjectId = Id<struct ObjectTag, std::uint64_t>;
/// Identifies a location: a group of servers that share a network link. A router uses only the
/// caches of its own location.
using LocationId = Id<struct LocationTag, std::uint32_t>;
/// Identifies a cell: a group of servers that share the store of idempotency keys with which they
/// drop duplicates of keyed requests.
using CellId = Id<struct CellTag, std::uint32_t>;
/// Identifies a request class, as an index into Settings::classes.
using ClassId = Id<struct ClassTag, std::uint32_t>;
/// Identifies a group of objects that can be purged together.
using GroupId = Id<struct GroupTag, std::uint32_t>;
/// The number of an attempt of a request. Attempts are numbered from 0 in the order of their Send
/// actions.
using AttemptNo = Id<struct AttemptTag, std::uint32_t>;
/// Identifies a timer that the router has set.
using TimerId = Id<struct TimerTag, std::uint32_t>;

// ---- Settings, passed once at construction ----

/// Identifies a request across all tries of its client, which each have a RequestId of their own:
/// by the idempotency key or, in a class without keys, by the id that the client gave the request.
struct RequestIdentity {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  constexpr auto operator<=>(const RequestIdentity&) const = default;
};

/// Whether a request may run more than once. If requests have an idempotency key, servers drop
/// duplicates within ClassSettings::dedup_window.
enum class Idempotency { idempotent, idempotent_with_key, not_idempotent };
/// Which servers detect duplicates of each other's keyed requests: all servers, those of the same
/// location, or those of the same cell.
enum class DedupScope { all, location, cell };
/// What Server::weight stands for: nothing, a nominal or an approximate capacity, or a value that
/// follows the current load.
enum class WeightKind { none, nominal, rough, live };

/// The settings of one class of requests.
struct ClassSettings {
  /// The fixed part of the latency objective. A response meets its objective, and counts with its
  /// full priority weight, if it takes at most this time plus `latency_objective_stretch` times its
  /// own transfer time.
  Time latency_objective = 0;
  /// The part of the latency objective that grows with the size of the response, as a multiple of
  /// its transfer time.
  double latency_objective_stretch = 0;
  /// The weight of a response that meets its objective, relative to other classes.
  double priority_weight = 1;
  /// Whether requests of the class may run more than once.
  Idempotency idempotency = Idempotency::idempotent;
  /// Which servers drop duplicates of a keyed request. Used only for requests with an idempotency
  /// key.
  DedupScope dedup_scope = DedupScope::all;
  /// How long servers store idempotency keys.
  Time dedup_window = 0;
  /// How long a client waits in total, across all of its tries. 0: unknown.
  Time client_timeout = 0;
  /// Requests are executed at the origin, and no cache stores a copy.
  bool never_cached = false;
  /// How long a copy is fresh. 0: until it is purged.
  Time fresh_time = 0;
  /// How long a copy may still be served as stale after `fresh_time` has passed.
  Time stale_grace_time = 0;

  /// Reports whether a request may be repeated at any server without harm. For a keyed request this
  /// holds only within `dedup_window`.
  bool may_repeat_anywhere() const {
    return idempotency == Idempotency::idempotent ||
           (idempotency == Idempotency::idempotent_with_key && dedup_scope == DedupScope::all);
  }
};

/// The configuration of a router. The defaults describe a single router whose caches support no
/// optional features.
struct Settings {
  /// The location of the router. The router uses only the caches there.
  LocationId location{};
  /// The number of routers of this tier in all locations.
  std::uint32_t router_count = 1;
  /// The number of routers of this tier in each location, indexed by LocationId. For a location
  /// beyond the end of the list `router_count` is used.
  std::vector<std::uint32_t> router_count_by_location;
  /// The request classes, indexed by ClassId.
  std::vector<ClassSettings> classes;
  /// The maximum number of attempts of one request.
  std::uint32_t max_attempts = 1;
  /// The caller supports the action Cancel.
  bool can_cancel_attempts = false;
  /// The caller supports the action HealthCheck.
  bool health_checks_allowed = false;
  /// A rejection asks the client to retry after a pause (Reject::retry_after).
  bool sends_retry_after = false;
  /// The maximum of Reject::retry_after.
  Time max_retry_after = 0;
  /// The caller delivers endpoint updates only after the action Subscribe.
  bool must_subscribe_to_endpoints = false;
  /// The fraction of its full capacity that a cache has immediately after its start.
  double cache_slow_start_fraction = 1;
  /// How long after its start a cache reaches its full capacity. The capacity rises linearly until
  /// then.
  Time cache_slow_start_time = 0;
  /// A server that is warming up fails if it is overloaded for this long.
  Time overload_window = 0;
  /// The same as `cache_slow_start_fraction`, for parents.
  double parent_slow_start_fraction = 1;
  /// The same as `cache_slow_start_time`, for parents.
  Time parent_slow_start_time = 0;
  /// How long after a purge a cache may still store copies from before it.
  Time purge_propagation_time = 0;
  /// The maximum transfer rate of one response, which is also the unit of Server::weight.
  double stream_kb_per_second = 0;
  /// What Server::weight stands for.
  WeightKind weights = WeightKind::none;
  /// A cache can let several requests wait for the same fill.
  bool can_join_fills = false;
  /// Parents and the origin accept attempts directly.
  bool can_bypass_caches = false;
  /// Each Send can specify how the cache fills an object that it does not have (Send::fill).
  bool has_fills = false;
  /// The maximum number of requests that are remembered after their end, so that they do not run
  /// again when their clients try again.
  std::size_t max_remembered_requests = 65'536;
};

// ---- Events ----

/// The tier of a server.
enum class Role { cache, parent, origin };
/// The status of a server in the endpoint list. A draining server finishes its attempts and gets no
/// new requests or fills.
enum class ServerStatus { gone, ready, draining };

/// An entry of the endpoint list.
struct Server {
  ServerId id{};
  Role role = Role::cache;
  LocationId location{};
  CellId cell{};
  ServerStatus status = ServerStatus::gone;
  /// A capacity or load value; Settings::weights defines its meaning. A value that is not positive
  /// counts as 1.
  double weight = 1;
  /// When the process of the server last started. 0: long ago.
  Time started_at = 0;
};

/// The endpoint list, or the entries of it that have changed.
struct EndpointUpdate {
  /// `servers` replaces the whole list. Otherwise it contains only the changed entries.
  bool is_complete = false;
  /// The subscription failed; the list stays unchanged and `servers` is ignored.
  bool has_failed = false;
  std::vector<Server> servers;
};

/// A request of a client. The router gives it exactly one final answer within `time_budget`: the
/// response of an attempt, a Reject or a Fail.
struct Request {
  RequestId id{};
  ObjectId object{};
  GroupId group{};
  ClassId class_id{};
  /// The index of the requested part of the object.
  std::uint32_t part = 0;
  /// The size of the response. 0: unknown.
  double size_kb = 0;
  /// The maximum time from the arrival of the request to its final answer.
  Time time_budget = 0;
  /// The request changes the object at the origin.
  bool is_write = false;
  /// What all tries of the request have in common. Absent: tries cannot be recognized.
  std::optional<RequestIdentity> identity{};
  /// A hash of the contents that are the same in all tries.
  std::uint64_t content_hash = 0;
  /// The client says that it has tried before.
  bool is_retry = false;
  /// `group` is unknown, so that a purge of any group may apply to the object.
  bool is_group_unknown = false;
};

/// How an attempt ended.
enum class AttemptResult {
  /// The server responded successfully.
  ok,
  /// The server responded with an error. The request may have run.
  error,
  /// The server rejected the request without executing it, because it is overloaded.
  overloaded,
  /// The server did not respond within Send::timeout.
  timeout,
  /// The request could not be sent, because no connection to the server was available.
  connect_failed,
  /// The connection was lost before the response arrived. The request may have run.
  reset,
  /// The attempt was aborted, for example by Cancel.
  cancelled,
  /// The request had already finished, so the attempt did not run.
  already_finished,
  /// The cache has no copy and was not allowed to fetch one.
  miss,
  /// The caller held the attempt back until it was no longer allowed (see Router::may_send), so it
  /// was never sent.
  not_sent
};

/// What a cache reports about its copy or about the fill. `source_refused` and all values after it
/// mean that the fill failed.
enum class FillOutcome {
  /// Nothing was reported.
  none,
  /// The cache had a usable copy.
  hit,
  /// The cache fetched the object from its source.
  filled,
  /// The cache fetched the object, and it came from the origin.
  filled_by_origin,
  /// The request waited for a fill that was already in progress.
  joined_fill,
  /// The cache served a stale copy.
  served_stale,
  /// The source refused the request of the cache.
  source_refused,
  /// The source did not respond to the cache.
  source_unreachable,
  /// The source does not have the object.
  source_lacks,
  /// A limit on concurrent fills was reached.
  fill_limit_reached,
  /// The origin failed to deliver the object.
  origin_failed
};

/// The load that a server reports about itself. A negative value means that it was not reported.
struct LoadReport {
  /// The number of requests that the server is processing.
  double in_flight = -1;
  /// The utilization of the server, from 0 to 1.
  double utilization = -1;
  /// The utilization of its network link or of its capacity for fills, from 0 to 1.
  double link_or_fill_utilization = -1;
};

/// The end of an attempt. The caller reports exactly one for each Send.
struct AttemptOutcome {
  RequestId id{};
  AttemptNo attempt{};
  ServerId server{};
  AttemptResult result = AttemptResult::ok;
  FillOutcome fill_outcome = FillOutcome::none;
  /// The client received the response of this attempt as its final answer. Otherwise the router
  /// still has to give a final answer.
  bool response_delivered = false;
  /// The time from the Send to the end of the attempt.
  Time elapsed = 0;
  /// The time until the first byte arrived from the fill source or until the fill failed. 0:
  /// unknown.
  Time time_to_first_byte = 0;
  LoadReport report{};
};

/// The client has received the first part of the response, so no further attempt is possible.
struct ResponseStarted {
  RequestId id{};
  AttemptNo attempt{};
};

/// The client has cancelled its request or closed its connection.
struct ClientGone {
  RequestId id{};
  /// The client is still connected and the final answer is due now, because the process of the
  /// router shuts down.
  bool response_owed = false;
};

/// Invalidates the copies of an object that are older than `age`, or those of a whole group if
/// `object` is absent.
struct Purge {
  std::optional<ObjectId> object;
  GroupId group{};
  Time age = 0;
  /// The purge applies to all objects; `object` and `group` are ignored.
  bool covers_everything = false;
};

/// The result of a HealthCheck.
struct HealthCheckResult {
  ServerId server{};
  /// The server responded and is not overloaded.
  bool is_healthy = false;
  /// The time from the HealthCheck to its result.
  Time elapsed = 0;
  LoadReport report{};
  /// The age of the connection over which the response arrived. 0: unknown.
  Time connection_age = 0;
  /// The server responded, whether it is healthy or not.
  bool is_alive = false;
  /// The response arrived after the check had timed out and had already been reported as failed.
  bool is_late = false;
};

/// A timer that was set with SetTimer has expired.
struct TimerExpired {
  TimerId timer{};
};

/// An operator bans a server or lifts its ban, independently of the endpoint list. A banned server
/// gets no requests, fills or health checks. When its ban is lifted, the server counts as newly
/// started.
struct Ban {
  ServerId server{};
  bool is_banned = false;
};

/// The share of this process in the budgets that several processes and routers have in common.
struct BudgetShare {
  /// The fraction of the router's own budget that this process may use while a second process acts
  /// as the same router (hot restart).
  double process_share = 1;
  /// The concurrency limit of the other process, which is the initial limit of this process if it
  /// has none yet. 0: unknown.
  double concurrency_limit = 0;
  /// The fraction of the budget of all routers that this router may use. It takes precedence over
  /// the number of routers in the settings. 0: not assigned.
  double fleet_share = 0;
  /// The same for the budget of the routers of its location.
  double location_share = 0;
};

/// All inputs of a router.
using Event = std::variant<EndpointUpdate, Request, AttemptOutcome, ResponseStarted, ClientGone,
                           Purge, HealthCheckResult, TimerExpired, Ban, BudgetShare>;

// ---- Actions ----

/// How a server fills an object of which it has no usable copy.
struct Fill {
  /// The server from which the object is fetched. If it is the server of the Send itself, nothing
  /// is filled.
  ServerId source{};
  /// The priority with which the copy is cached, from 1 (lowest) to 3. 0: it is not cached.
  std::uint32_t cache_rank = 0;
  /// The maximum age of a copy that may be served. 0: the fresh time of the class.
  Time max_age = 0;
  /// The request may wait for a fill that is already in progress.
  bool may_join = false;
  /// The source may serve only objects that it has cached.
  bool cached_only = false;
  /// The server responds with an old copy that is still allowed and refreshes it afterwards.
  bool refresh_in_background = false;
};

/// Starts an attempt: the caller sends the request to `server`, and ends the attempt with
/// AttemptResult::timeout if it takes longer than `timeout`.
struct Send {
  RequestId id{};
  ServerId server{};
  Time timeout = 0;
  /// How the server fills the object. Absent: the server decides.
  std::optional<Fill> fill;
};

/// Final answer: the request is rejected. The client may retry, because nothing ran that a retry
/// would execute twice.
struct Reject {
  RequestId id{};
  /// How long the client is asked to wait before it retries. 0: no wait is requested.
  Time retry_after = 0;
};

/// Final answer: the request has failed, and one of its attempts may have run.
struct Fail {
  RequestId id{};
};

/// Aborts an attempt. The caller still reports the AttemptOutcome.
struct Cancel {
  RequestId id{};
  AttemptNo attempt{};
};

/// Checks the health of a server. The caller reports a HealthCheckResult.
struct HealthCheck {
  ServerId server{};
};

/// Sets a timer. The caller reports TimerExpired at the time `at` or later.
struct SetTimer {
  TimerId timer{};
  Time at = 0;
};

/// Subscribes to the endpoint list. The caller reports an EndpointUpdate.
struct Subscribe {};

/// All outputs of a router.
using Action = std::variant<Send, Reject, Fail, Cancel, HealthCheck, SetTimer, Subscribe>;

/// The state of a cache as this router sees it, for proxies that apply the router's decisions
/// themselves.
struct EndpointStatus {
  Server server;
  /// The cache is ready, not banned and not ejected.
  bool is_usable = false;
  /// The weight of the cache, reduced while it is warming up.
  double effective_weight = 0;
};

/// Selects the server for each request of one proxy. The comment at the top of this file describes
/// its use, units and error handling.
class Router {
 public:
  /// Creates a router without endpoints. `seed` determines all its random choices.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event and appends the resulting actions, which the caller executes in order.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// Reports whether a Send that the caller has held back, for example until a connection was free,
  /// may still be sent. It may not if its server or fill source has meanwhile been removed, banned
  /// or set to draining, or if its dedup window has ended. In that case the caller ends the attempt
  /// with AttemptResult::not_sent.
  bool may_send(Time now, RequestId id, AttemptNo attempt) const;
  /// Reports whether an earlier try of a request may have run at a server where a further try would
  /// run it once more. Always false if its class allows that.
  bool may_have_run(const Request& request) const;
  /// Returns the number of requests whose earlier tries are remembered.
  std::size_t remembered_requests() const;
  /// Returns the state of all caches of the endpoint list whose status is not `gone`.
  std::vector<EndpointStatus> endpoint_statuses(Time now);
  /// Returns the limit on the transfer time in flight, in seconds. Returns 0 while no limit has
  /// been determined.
  double concurrency_limit() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace alderspur

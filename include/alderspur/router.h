// alderspur: decides, for a proxy in front of tiers of caches, where each request goes.
//
// Use: make one Router per proxy from Settings and a seed, hand it every event in the order in
// which it happened, and carry out the actions that it appends, in order, at the same moment. The
// router owns no clock, thread, socket or global; two routers share nothing. It is not thread-safe:
// call one router from one thread at a time. The same settings, seed and events give the same
// actions.
//
// Units: Time and durations are whole microseconds, sizes are KB. The clock may start anywhere; a
// clock that steps back is treated as standing still. Zero means "not known" unless stated
// otherwise.
//
// Errors: events that name unknown requests, servers or timers, repeated outcomes and repeated
// request ids are ignored; sizes that are NaN, negative or infinite count as not known. With an
// empty endpoint list each request is rejected or failed. No call throws except on lack of memory.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace alderspur {

/// A moment of the caller's clock, or a duration: microseconds.
using Time = std::int64_t;

/// A number that cannot be mixed up with one of another kind.
template <class Tag, class T>
struct Id {
  T value{};
  constexpr auto operator<=>(const Id&) const = default;
};

/// A cache, parent or origin.
using ServerId = Id<struct ServerTag, std::uint64_t>;
/// A client's request.
using RequestId = Id<struct RequestTag, std::uint64_t>;
/// What a request asks for.
using ObjectId = Id<struct ObjectTag, std::uint64_t>;
/// Servers that share a link; a router uses the caches of its own location.
using LocationId = Id<struct LocationTag, std::uint32_t>;
/// A group of servers that drop repeats of keyed requests together.
using CellId = Id<struct CellTag, std::uint32_t>;
/// Index in Settings::classes.
using ClassId = Id<struct ClassTag, std::uint32_t>;
/// A group of objects that can be purged together.
using GroupId = Id<struct GroupTag, std::uint32_t>;
/// Number of an attempt of a request, from 0 in the order of their Sends.
using AttemptNo = Id<struct AttemptTag, std::uint32_t>;
/// A timer that the router has set.
using TimerId = Id<struct TimerTag, std::uint32_t>;

// ---- Settings, given once at start ----

/// Whether a request may run more than once. With an idempotency key, servers drop repeats within
/// the class's dedup_window.
enum class Idempotency { idempotent, idempotent_with_key, not_idempotent };
/// Which servers drop repeats of each other's keyed requests.
enum class DedupScope { all, location, cell };
/// What Server::weight means: nothing, a nominal or rough capacity, or one that follows the load.
enum class WeightKind { none, nominal, rough, live };

/// How requests of one class are to be treated.
struct ClassSettings {
  /// A response within this time, plus `latency_objective_stretch` times its own transfer time,
  /// earns its full weight.
  Time latency_objective = 0;
  double latency_objective_stretch = 0;
  /// The weight of a response in time, relative to other classes.
  double priority_weight = 1;
  Idempotency idempotency = Idempotency::idempotent;
  /// Of keyed requests.
  DedupScope dedup_scope = DedupScope::all;
  /// How long servers remember idempotency keys.
  Time dedup_window = 0;
  /// Requests run at the origin; no copy is cached.
  bool never_cached = false;
  /// How long a copy is fresh; 0: until it is purged.
  Time fresh_time = 0;
  /// How much older than `fresh_time` a stale copy may be.
  Time stale_grace_time = 0;

  /// A repeat is harmless at any server (of a keyed request: within its dedup_window).
  bool may_repeat_anywhere() const {
    return idempotency == Idempotency::idempotent ||
           (idempotency == Idempotency::idempotent_with_key && dedup_scope == DedupScope::all);
  }
};

/// Everything that a router is configured with. The defaults describe a single router whose caches
/// offer no optional features.
struct Settings {
  /// The location of the router: it uses the caches there.
  LocationId location{};
  /// Routers of this tier in all locations.
  std::uint32_t router_count = 1;
  /// Routers of this tier in each location, by LocationId; may be shorter than that.
  std::vector<std::uint32_t> router_count_by_location;
  /// By ClassId.
  std::vector<ClassSettings> classes;
  /// Attempts of one request.
  std::uint32_t max_attempts = 1;
  /// The caller carries out Cancel.
  bool can_cancel_attempts = false;
  /// The caller carries out HealthCheck.
  bool health_checks_allowed = false;
  /// Rejected clients are asked to retry after a pause (Reject::retry_after).
  bool sends_retry_after = false;
  /// The longest such pause.
  Time max_retry_after = 0;
  /// Endpoint updates come only after Subscribe.
  bool must_subscribe_to_endpoints = false;
  /// A cache that has just started has this fraction of its capacity.
  double cache_slow_start_fraction = 1;
  /// After this time a cache has its full capacity; it rises linearly until then.
  Time cache_slow_start_time = 0;
  /// An overload of this length makes a server fail that is warming up.
  Time overload_window = 0;
  /// As cache_slow_start_fraction, for parents.
  double parent_slow_start_fraction = 1;
  /// As cache_slow_start_time, for parents.
  Time parent_slow_start_time = 0;
  /// After this time no copy from before a purge is left in any cache.
  Time purge_propagation_time = 0;
  /// Maximum rate of one response, and the unit of weights.
  double stream_kb_per_second = 0;
  /// What Server::weight means.
  WeightKind weights = WeightKind::none;
  /// A cache can let several requests wait for one fill.
  bool can_join_fills = false;
  /// Parents and the origin accept attempts too.
  bool can_bypass_caches = false;
  /// Each Send can say how the cache is to fill what it lacks (Send::fill).
  bool has_fills = false;
};

// ---- Events ----

/// The tier of a server.
enum class Role { cache, parent, origin };
/// What the endpoint list says of a server. A draining one gets nothing new.
enum class ServerStatus { gone, ready, draining };

/// A server, as the endpoint list has it.
struct Server {
  ServerId id{};
  Role role = Role::cache;
  LocationId location{};
  CellId cell{};
  ServerStatus status = ServerStatus::gone;
  /// See Settings::weights.
  double weight = 1;
  /// Last start of its process; 0: long ago.
  Time started_at = 0;
};

/// The endpoint list, or what has changed of it.
struct EndpointUpdate {
  /// It replaces the list; else it lists the changed servers.
  bool is_complete = false;
  /// The subscription failed; the list stays as it is.
  bool has_failed = false;
  std::vector<Server> servers;
};

/// A client's request. The router gives exactly one final answer within `time_budget`: the response
/// of an attempt, Reject or Fail.
struct Request {
  RequestId id{};
  ObjectId object{};
  GroupId group{};
  ClassId class_id{};
  /// The part of the object that is requested.
  std::uint32_t part = 0;
  double size_kb = 0;
  /// From the arrival of the request to its final answer.
  Time time_budget = 0;
  /// The request changes the object at the origin.
  bool is_write = false;
};

/// How an attempt ended.
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
  /// It waited to be sent until it was no longer allowed (see Router::may_send): nothing ran.
  not_sent
};

/// What a cache reports of its copy or of the fill. From source_refused on the fill failed.
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

/// What a server reports of its own load. Negative: not reported.
struct LoadReport {
  /// Requests that it works on.
  double in_flight = -1;
  /// From 0 to 1.
  double utilization = -1;
  /// From 0 to 1.
  double link_or_fill_utilization = -1;
};

/// The end of an attempt: exactly one for each Send.
struct AttemptOutcome {
  RequestId id{};
  AttemptNo attempt{};
  ServerId server{};
  AttemptResult result = AttemptResult::ok;
  FillOutcome fill_outcome = FillOutcome::none;
  /// The client has the response of this attempt as its final answer; else one is still due.
  bool response_delivered = false;
  /// From the Send to the end.
  Time elapsed = 0;
  /// Until the first byte from the fill source came, or until the fill failed; 0: not known.
  Time time_to_first_byte = 0;
  LoadReport report{};
};

/// The client has received a part of the response: no further attempt is possible.
struct ResponseStarted {
  RequestId id{};
  AttemptNo attempt{};
};

/// The client has cancelled its request or closed its connection.
struct ClientGone {
  RequestId id{};
  /// The client is still there, but the final answer is due now: the router's process shuts down.
  bool response_owed = false;
};

/// Copies of an object, or of a whole group where `object` is absent, are invalid if they are older
/// than `age`.
struct Purge {
  std::optional<ObjectId> object;
  GroupId group{};
  Time age = 0;
  /// Copies of all objects are meant; `object` and `group` are ignored.
  bool covers_everything = false;
};

/// The end of a HealthCheck.
struct HealthCheckResult {
  ServerId server{};
  /// The server responded and is not overloaded.
  bool is_healthy = false;
  Time elapsed = 0;
  LoadReport report{};
  /// Age of the connection that the response came over; 0: not known.
  Time connection_age = 0;
  /// The server responded, healthy or not.
  bool is_alive = false;
  /// The check timed out before, and was reported as failed then.
  bool is_late = false;
};

/// A timer of SetTimer is due.
struct TimerExpired {
  TimerId timer{};
};

/// An operator bans a server, or lifts the ban, independent of the endpoint list. A banned server
/// gets no requests, fills or health checks. Once the ban is lifted it counts as newly started.
struct Ban {
  ServerId server{};
  bool is_banned = false;
};

/// This process's share of the budgets that several processes and routers have together.
struct BudgetShare {
  /// Of the router's own budget, while a second process acts as the same router (hot restart).
  double process_share = 1;
  /// The other process's concurrency limit, to start from where this one has none; 0: not known.
  double concurrency_limit = 0;
  /// This router's share of what all routers may do together, in place of their number in the
  /// settings; 0: not assigned.
  double fleet_share = 0;
  /// The same for the routers of its location.
  double location_share = 0;
};

/// Everything that a router has to know.
using Event = std::variant<EndpointUpdate, Request, AttemptOutcome, ResponseStarted, ClientGone,
                           Purge, HealthCheckResult, TimerExpired, Ban, BudgetShare>;

// ---- Actions ----

/// How a server is to fill an object that it lacks.
struct Fill {
  /// The server itself: fill nothing.
  ServerId source{};
  /// Priority at which the copy is cached, 1 (lowest) to 3; 0: it is not cached.
  std::uint32_t cache_rank = 0;
  /// Maximum age of a copy to serve; 0: the class's fresh time.
  Time max_age = 0;
  /// May wait for a fill that is already in progress.
  bool may_join = false;
  /// The source may only serve what it has cached.
  bool cached_only = false;
  /// Serve an old copy that is still allowed, and refresh it after the response.
  bool refresh_in_background = false;
};

/// Start an attempt: send the request to a server. The caller ends the attempt with
/// AttemptResult::timeout after `timeout`.
struct Send {
  RequestId id{};
  ServerId server{};
  Time timeout = 0;
  /// Absent: the server decides how it fills.
  std::optional<Fill> fill;
};

/// Final answer: the client may retry, since nothing ran that a retry could double.
struct Reject {
  RequestId id{};
  /// The pause to ask of the client; 0: none.
  Time retry_after = 0;
};

/// Final answer: the request has failed, and an attempt may have run.
struct Fail {
  RequestId id{};
};

/// Abort an attempt. Its AttemptOutcome is still due.
struct Cancel {
  RequestId id{};
  AttemptNo attempt{};
};

/// Check the health of a server; answered by a HealthCheckResult.
struct HealthCheck {
  ServerId server{};
};

/// Set a timer; answered by TimerExpired at that time or later.
struct SetTimer {
  TimerId timer{};
  Time at = 0;
};

/// Subscribe to the endpoint list; answered by an EndpointUpdate.
struct Subscribe {};

/// Everything that a router can ask of its caller.
using Action = std::variant<Send, Reject, Fail, Cancel, HealthCheck, SetTimer, Subscribe>;

/// The router's current view of a cache, for proxies that follow its decisions.
struct EndpointStatus {
  Server server;
  /// Ready, neither banned nor ejected.
  bool is_usable = false;
  /// Its weight, reduced while it warms up.
  double effective_weight = 0;
};

/// Decides where the requests of one proxy go. See the top of this file.
class Router {
 public:
  /// `seed` determines all random choices.
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  /// Handles one event and appends the actions to carry out.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// Whether a Send that the caller has held back, for a connection say, may still be sent now: its
  /// server or source may be gone or draining, or the dedup window over. If not, the caller ends
  /// the attempt with AttemptResult::not_sent.
  bool may_send(Time now, RequestId id, AttemptNo attempt) const;
  /// The state of all caches on the list that are not gone.
  std::vector<EndpointStatus> endpoint_statuses(Time now);
  /// The limit on seconds of transfer time in flight; 0: none found yet.
  double concurrency_limit() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace alderspur

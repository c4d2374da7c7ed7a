// The engine manages requests, attempts and their outcomes, independently of any wire protocol. It
// passes events to the router (the routing policy) and carries out the router's actions, gives
// exactly one final answer to each request that it admits and that is not cancelled, and ends
// attempts that run out of time. It does no network I/O itself.
//
// In each turn (one iteration of the event loop), the fronts, the upstream client and the discovery
// client queue events at the engine. run() then passes all of them to the router and carries out
// the router's actions in order. String views that callers pass in must stay valid until run()
// returns. The engine is not thread-safe: use it from the event loop's thread only. Times are in
// microseconds.
//
// The class is implemented in engine.cpp (turns), engine_requests.cpp, engine_attempts.cpp and
// engine_endpoints.cpp.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "alderspur/router.h"
#include "core/counters.h"
#include "core/deadlines.h"
#include "core/rate_limited_log.h"

namespace alderspur::core {

/// Identifies an admitted request. Handles are never reused.
using RequestHandle = std::uint64_t;
/// Identifies one attempt of a request. Ids are never reused.
using AttemptId = std::uint64_t;
/// The class id of a request whose class name is not configured.
constexpr std::uint32_t kNoClass = 0xffffffff;

/// A request as a front passes it to the engine. The strings point into the front's read buffer.
struct RequestView {
  std::string_view id;
  std::string_view idempotency_key;
  std::string_view client_copy_tag;  // tag of the copy that the client holds; empty: none
  std::string_view body;
  std::string_view object_text;  // the object's name as received, forwarded unchanged
  std::uint64_t object = 0;
  std::uint32_t class_id = 0;
  std::uint32_t group = 0;
  std::uint32_t part = 0;
  double size_kb = 0;
  Time time_limit = 0;            // the client waits this long after it has sent the request
  bool is_retry = false;          // the client says that it has tried before
  bool is_group_unknown = false;  // `group` is not used
};

/// The kind of a final answer. `rejected`: the request did not run at any server, so the client can
/// safely retry it. `failed`: the request may have run.
enum class FinalStatus { served, rejected, failed };

/// The final answer to a request. The strings point into a read buffer.
struct Response {
  FinalStatus status = FinalStatus::failed;
  bool not_modified = false;  // the client's copy is current
  Time retry_after = 0;       // for a rejection: requested pause before a retry; 0: none
  std::string_view body;
  std::string_view tag;
  bool timed_out = false;  // the request's deadline has passed
};

/// The memory that responses take at all fronts of a process, in bytes. Each front adds its own
/// share, so that all of them admit requests within one limit.
struct ResponseMemory {
  std::size_t expected = 0;  // responses to open requests
  std::size_t queued = 0;    // responses that the kernel has not accepted yet
  std::size_t total() const { return expected + queued; }
};

/// Accepts requests from clients and sends the final answers to them.
class Front {
 public:
  virtual ~Front() = default;
  /// Sends the final answer to a client. The engine calls this exactly once for each request that
  /// was admitted and not cancelled.
  virtual void respond(RequestHandle request, const Response& response) = 0;
};

/// The contents of an attempt. The upstream client reads them only when it writes the attempt to a
/// connection, since a purge that arrives while the connection is being opened still lowers the
/// maximum age. The strings are owned by the open request.
struct UpstreamRequest {
  std::string_view id;
  std::string_view idempotency_key;
  std::string_view client_copy_tag;
  std::string_view body;
  std::string_view object_text;
  std::uint32_t class_id = 0;
  std::uint32_t part = 0;
  alderspur::ServerId server;
  std::optional<alderspur::Fill> fill;
  Time deadline = 0;
  Time transfer_time = 0;  // of the response at the maximum transfer rate; 0: unknown
};

/// The outcome of an attempt. The strings point into a read buffer.
struct UpstreamResponse {
  alderspur::AttemptResult result = alderspur::AttemptResult::error;
  bool not_modified = false;
  std::string_view body;
  std::string_view tag;
  Time created_at = 0;  // Unix time at which the origin served this copy; 0: unknown
  alderspur::LoadReport report;
};

/// Sends attempts and health checks to servers. The client reports their results by calling
/// Engine::on_upstream_response() and Engine::on_health_check_result().
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  /// Sends an attempt to a server. The contents are read from Engine::upstream_request().
  virtual void send(AttemptId attempt, alderspur::ServerId server) = 0;
  /// Aborts an attempt; the client reports no response for it. Returns whether none of its bytes
  /// were passed to a connection, so that it cannot have run.
  virtual bool abort(AttemptId attempt) = 0;
  /// Sends a health check to a server.
  virtual void send_health_check(alderspur::ServerId server) = 0;
};

/// A purge: invalidates all copies of an object, or of a whole group if `object` is absent, that
/// are older than `unix_time`.
struct PurgeNotice {
  std::optional<std::uint64_t> object;
  std::uint32_t group = 0;
  Time unix_time = 0;
  /// Invalidates the copies of all objects; `object` and `group` are ignored.
  bool covers_everything = false;
};

/// Passes events to the router and carries out its actions; see the top of this file.
class Engine {
 public:
  /// `clock` returns the Unix time in microseconds. `seed` determines the router's random choices.
  /// `deadlines` must outlive the engine.
  Engine(const alderspur::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
         std::function<Time()> clock);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;
  /// Sets the upstream client, which must outlive the engine. Call this before run().
  void attach(UpstreamClient& client) { upstream_client_ = &client; }

  // ---- Calls of the fronts ----

  /// Admits a request and returns its handle. The final answer is sent by Front::respond(), which
  /// is never called from within this call. `front` must outlive the request.
  RequestHandle admit(Front& front, const RequestView& view);
  /// Cancels a request because its client no longer waits for it. No final answer is given.
  void cancel_request(RequestHandle request);
  /// Makes the engine give the final answer in this turn, even if attempts are in flight.
  void finish_now(RequestHandle request);
  /// Calls finish_now() for all open requests.
  void finish_all_now();
  /// Stops further attempts of a request whose client has closed its side of the connection and may
  /// be disconnected. Attempts that are already written may still complete.
  void stop_retrying(RequestHandle request);
  /// Counts a request that a front answered itself, as rejected or failed, without admitting it.
  void count_rejected(std::uint32_t class_id, FinalStatus status);
  /// Counts a request as failed that the engine has counted as served, because its front could not
  /// send the response.
  void count_undelivered(std::uint32_t class_id);
  /// Returns whether an open request has the same id but another object, so that a response to one
  /// could be mistaken for a response to the other.
  bool conflicts_with_open_request(const RequestView& view) const;
  /// Returns whether an earlier try of the request may have run and its class does not allow it to
  /// run again. A front must not reject such a request, since the client would send it again.
  bool may_have_run(const RequestView& view) const;
  /// Returns whether a request with this id is open or still has an attempt in flight.
  bool is_open(std::string_view id) const { return handles_by_id_.contains(std::string(id)); }

  // ---- Calls of the upstream client ----

  /// Returns the contents of an attempt, or null if the attempt has ended and must not be sent.
  const UpstreamRequest* upstream_request(AttemptId attempt) const;
  /// Records that the last byte of the attempt has been passed to the kernel.
  void mark_written(AttemptId attempt);
  /// Returns whether mark_written() was called for the attempt.
  bool was_written(AttemptId attempt) const;
  /// Returns whether the attempt is still allowed. The upstream client calls this immediately
  /// before it writes an attempt. If an endpoint update, a ban or the end of the dedup window has
  /// forbidden the attempt in the meantime, the result is false and the client must call
  /// return_unsent().
  bool may_still_send(AttemptId attempt);
  /// Ends an attempt of which nothing was sent, with the result `not_sent`.
  void return_unsent(AttemptId attempt) {
    end_attempt(attempt, alderspur::AttemptResult::not_sent);
  }
  /// Ends an attempt without a response.
  void end_attempt(AttemptId attempt, alderspur::AttemptResult result);
  /// Ends an attempt with its response. Responses to attempts that have ended are only counted.
  void on_upstream_response(AttemptId attempt, const UpstreamResponse& response);
  /// Passes the result of a health check to the router.
  void on_health_check_result(const alderspur::HealthCheckResult& result);

  // ---- Calls of operators, service discovery and other processes of this router ----

  /// Bans a server, or lifts its ban.
  void set_ban(alderspur::ServerId server, bool is_banned);
  /// Sets this process's share of the budgets that several processes and routers share.
  void set_budget_share(const alderspur::BudgetShare& share);
  /// Replaces or changes the router's endpoint list.
  void update_endpoints(alderspur::EndpointUpdate update);
  /// Applies a purge to the router, and to attempts that are not written yet.
  void purge(const PurgeNotice& notice);
  /// Receives each purge, whatever its source.
  using PurgeListener = std::function<void(const PurgeNotice& notice)>;
  /// Sets the listener to purges, which replaces any previous one.
  void on_purge(PurgeListener listener) { purge_listener_ = std::move(listener); }

  // ---- Turns and state ----

  /// Processes all queued events and carries out the resulting actions, until no events are left.
  void run();
  /// Returns the Unix time. It never decreases, even if the clock steps back.
  Time now();
  /// Returns the number of requests without a final answer.
  std::size_t open_request_count() const { return open_request_count_; }
  /// Returns the total size of the bodies that are held for requests, in bytes.
  std::size_t open_request_bytes() const { return open_request_bytes_; }
  /// Returns the account of the memory that responses take, which the fronts keep up to date.
  ResponseMemory& response_memory() { return response_memory_; }
  const ResponseMemory& response_memory() const { return response_memory_; }
  /// Returns the status of each listed cache in this router's location.
  std::vector<alderspur::EndpointStatus> endpoint_statuses();
  /// Numbers of endpoints, as returned by count_endpoints().
  struct EndpointCounts {
    std::size_t listed = 0;
    std::size_t unavailable = 0;  // those of them that are banned, ejected or not ready
  };
  /// Counts the listed caches of all locations.
  EndpointCounts count_endpoints();
  /// Returns the router's concurrency limit; see alderspur::BudgetShare::concurrency_limit.
  double concurrency_limit() const { return router_.concurrency_limit(); }
  /// Returns the number of requests whose earlier tries are remembered.
  std::size_t remembered_requests() const { return router_.remembered_requests(); }
  Counters& counters() { return counters_; }
  /// Returns the counters of each request class, indexed by class id.
  const std::vector<ClassCounters>& class_counters() const { return class_counters_; }
  RateLimitedLog& invalid_input_log() { return invalid_input_log_; }
  /// Logs invalid input, rate limited. `quote` is appended to the line; see
  /// RateLimitedLog::report().
  void log_invalid_input(InvalidInput kind, std::string_view quote = {}) {
    invalid_input_log_.report(kind, now(), quote);
  }

 private:
  struct OpenRequest;
  struct Attempt;
  /// An event that is queued for run().
  struct Event {
    alderspur::Event event;
    RequestHandle request = 0;
    AttemptId attempt = 0;  // if not 0, the event is the end of this attempt with `response`
    UpstreamResponse response;
  };
  /// A final answer that has been decided and is still to be sent.
  struct Respond {
    RequestHandle request;
    Front* front;
    Response response;
  };
  /// What is carried out after a batch of events: a final answer or an action of the router.
  using Effect = std::variant<Respond, alderspur::Action>;

  OpenRequest* find_request(RequestHandle request);
  Attempt* find_attempt(AttemptId attempt);
  void process_event(const Event& event);
  void process_cancel(const Event& event);
  void process_outcome(const Event& event);
  void pass_to_router(const alderspur::Event& event);
  alderspur::Request to_request(const RequestView& view) const;
  void answer_without_response(RequestHandle request, FinalStatus status, Time retry_after);
  void apply_effect(const Effect& effect);
  void send(const alderspur::Send& action);
  UpstreamRequest to_upstream_request(const OpenRequest& open, const alderspur::Send& action) const;
  Time transfer_time(const alderspur::Request& request) const;
  void cancel(const alderspur::Cancel& action);
  void abandon_attempt(AttemptId attempt, alderspur::AttemptResult result);
  void finish_request(OpenRequest& request);
  void remove_finished_requests();
  void lower_max_age(const alderspur::Purge& purge);
  bool is_too_old(const Attempt& attempt, const UpstreamResponse& response) const;
  void count_unserved(std::uint32_t class_id, FinalStatus status);

  const alderspur::Settings settings_;
  alderspur::Router router_;
  Deadlines& deadlines_;
  std::function<Time()> clock_;
  UpstreamClient* upstream_client_ = nullptr;
  Time now_ = 0;
  Counters counters_;
  std::vector<ClassCounters> class_counters_;
  RateLimitedLog invalid_input_log_;
  std::unordered_map<RequestHandle, OpenRequest> requests_;
  std::unordered_multimap<std::string, RequestHandle> handles_by_id_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  /// Endpoint updates, purges, bans and budget shares. They are processed before waiting_events_,
  /// since they apply to everything that is sent in the turn.
  std::vector<Event> urgent_events_;
  std::vector<Event> waiting_events_;
  std::vector<Effect> effects_;
  std::vector<alderspur::Action> actions_;
  /// Requests to remove after the current batch, whose later events may still refer to them.
  std::vector<RequestHandle> finished_requests_;
  PurgeListener purge_listener_;
  RequestHandle last_handle_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t open_request_count_ = 0;
  std::size_t open_request_bytes_ = 0;
  ResponseMemory response_memory_;
};

}  // namespace alderspur::core

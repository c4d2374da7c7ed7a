// The engine: requests, attempts and their outcomes, independent of any wire protocol. It passes
// events to the routing policy and carries out its actions, gives exactly one final answer for each
// request that it admits, and ends attempts that run out of time. It uses no sockets.
//
// In each turn of the loop, fronts, the upstream client and the discovery client pass events to the
// engine; run() hands all of them to the router and then carries out its actions in order. Views
// into read buffers stay valid until run() returns. The loop's thread only; times are microseconds.
//
// Its sources: engine.cpp (turns), engine_requests.cpp, engine_attempts.cpp and
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

/// Identifies an admitted request; never reused.
using RequestHandle = std::uint64_t;
/// Identifies one sending of a request; never reused.
using AttemptId = std::uint64_t;
/// The class of a request that names an unknown one.
constexpr std::uint32_t kNoClass = 0xffffffff;

/// A request as a front passes it on. The strings are slices of the front's read buffer.
struct RequestView {
  std::string_view id;
  std::string_view idempotency_key;
  std::string_view client_copy_tag;  // names the copy that the client holds; empty: none
  std::string_view body;
  std::string_view object_text;  // as received, to be forwarded unchanged
  std::uint64_t object = 0;
  std::uint32_t class_id = 0;
  std::uint32_t group = 0;
  std::uint32_t part = 0;
  double size_kb = 0;
  Time time_limit = 0;  // from sending the request until the client gives up
};

/// `rejected`: nothing has run, a retry is harmless. `failed`: it may have run.
enum class FinalStatus { served, rejected, failed };

/// The final answer to a request. The strings are slices of a read buffer.
struct Response {
  FinalStatus status = FinalStatus::failed;
  bool not_modified = false;  // the client's copy is current
  Time retry_after = 0;       // of a rejection: the wait that the client is asked for; 0: none
  std::string_view body;
  std::string_view tag;
  bool timed_out = false;  // its time limit has passed
};

/// Accepts requests of clients and sends them their final answers.
class Front {
 public:
  virtual ~Front() = default;
  /// Called exactly once for each request that was admitted and not cancelled.
  virtual void respond(RequestHandle request, const Response& response) = 0;
};

/// An attempt as it is to be sent. To be read when it is written: a purge that arrives while the
/// connection is being made still lowers the maximum age. The strings belong to the open request.
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
  Time transfer_time = 0;  // of the response alone, at full speed; 0: unknown
};

/// The end of an attempt. The strings are slices of a read buffer.
struct UpstreamResponse {
  alderspur::AttemptResult result = alderspur::AttemptResult::error;
  bool not_modified = false;
  std::string_view body;
  std::string_view tag;
  Time created_at = 0;  // Unix time at which the origin gave out this copy; 0: unknown
  alderspur::LoadReport report;
};

/// Sends attempts and health checks to servers. Results come back by Engine::on_upstream_response()
/// and Engine::on_health_check_result().
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  virtual void send(AttemptId attempt, alderspur::ServerId server) = 0;
  /// Ends the attempt; no response follows.
  virtual void abort(AttemptId attempt) = 0;
  virtual void send_health_check(alderspur::ServerId server) = 0;
};

/// Voids all copies of an object, or of a group where `object` is absent, from before `unix_time`.
struct PurgeNotice {
  std::optional<std::uint64_t> object;
  std::uint32_t group = 0;
  Time unix_time = 0;
  /// Voids the copies of all objects; `object` and `group` are ignored.
  bool covers_everything = false;
};

/// See the top of this file.
class Engine {
 public:
  /// `clock`: the Unix time in microseconds. `seed`: of the policy's random choices. `deadlines`
  /// must outlive the engine.
  Engine(const alderspur::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
         std::function<Time()> clock);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;
  /// To be called before run().
  void attach(UpstreamClient& client) { upstream_client_ = &client; }

  // ---- Calls of the fronts ----

  /// The final answer comes by Front::respond(), never from within this call.
  RequestHandle admit(Front& front, const RequestView& view);
  /// The client no longer wants an answer; none is given.
  void cancel_request(RequestHandle request);
  /// The final answer is given in this turn, whatever is in flight.
  void finish_now(RequestHandle request);
  /// The same for all open requests.
  void finish_all_now();
  /// The client has ended its side and may have disconnected: attempts in flight may complete, and
  /// no further one begins.
  void stop_retrying(RequestHandle request);
  /// Counts a request that the front has answered itself as rejected or failed.
  void count_rejected(std::uint32_t class_id, FinalStatus status);
  /// Whether an open request has the same id for another object; their responses could be confused.
  bool conflicts_with_open_request(const RequestView& view) const;
  /// Whether a request with this id is open, or an attempt of it still in flight.
  bool is_open(std::string_view id) const { return handles_by_id_.contains(std::string(id)); }

  // ---- Calls of the upstream client ----

  /// Null: the attempt has ended and must not be sent.
  const UpstreamRequest* upstream_request(AttemptId attempt) const;
  /// The attempt's last byte has been passed to the kernel.
  void mark_written(AttemptId attempt);
  /// Whether mark_written() was called for the attempt.
  bool was_written(AttemptId attempt) const;
  /// To be asked just before an attempt is written: false if an endpoint list, a ban or the end of
  /// a time window forbids it by now. It is to be passed to return_unsent() then.
  bool may_still_send(AttemptId attempt);
  void return_unsent(AttemptId attempt) {
    end_attempt(attempt, alderspur::AttemptResult::not_sent);
  }
  /// Ends an attempt without a response.
  void end_attempt(AttemptId attempt, alderspur::AttemptResult result);
  void on_upstream_response(AttemptId attempt, const UpstreamResponse& response);
  void on_health_check_result(const alderspur::HealthCheckResult& result);

  // ---- Calls of operators, service discovery and other processes of this router ----

  void set_ban(alderspur::ServerId server, bool is_banned);
  void set_budget_share(const alderspur::BudgetShare& share);
  void update_endpoints(alderspur::EndpointUpdate update);
  void purge(const PurgeNotice& notice);
  /// Called for each purge, whatever its source.
  using PurgeListener = std::function<void(const PurgeNotice& notice)>;
  void on_purge(PurgeListener listener) { purge_listener_ = std::move(listener); }

  // ---- Turns and views ----

  /// Processes all events and carries out the actions, until there are none.
  void run();
  /// Unix time; never steps back.
  Time now();
  std::size_t open_request_count() const { return open_request_count_; }
  /// Bytes of their bodies.
  std::size_t open_request_bytes() const { return open_request_bytes_; }
  /// The caches of this router's location.
  std::vector<alderspur::EndpointStatus> endpoint_statuses();
  /// Numbers of endpoints.
  struct EndpointCounts {
    std::size_t listed = 0;
    std::size_t unavailable = 0;  // of those: banned, ejected or not ready
  };
  EndpointCounts count_endpoints();
  /// See alderspur::BudgetShare.
  double concurrency_limit() const { return router_.concurrency_limit(); }
  Counters& counters() { return counters_; }
  /// By the number of the request class.
  const std::vector<ClassCounters>& class_counters() const { return class_counters_; }
  RateLimitedLog& invalid_input_log() { return invalid_input_log_; }
  /// Logs unusable input, rate limited; `quote`: a part of it, empty: nothing is shown.
  void log_invalid_input(InvalidInput kind, std::string_view quote = {}) {
    invalid_input_log_.report(kind, now(), quote);
  }

 private:
  struct OpenRequest;
  struct Attempt;
  /// An event that waits for run().
  struct Event {
    alderspur::Event event;
    RequestHandle request = 0;
    AttemptId attempt = 0;  // not 0: the event is its end, by `response`
    UpstreamResponse response;
  };
  /// A final answer that is to be given.
  struct Respond {
    RequestHandle request;
    Front* front;
    Response response;
  };
  using Effect = std::variant<Respond, alderspur::Action>;

  OpenRequest* find_request(RequestHandle request);
  Attempt* find_attempt(AttemptId attempt);
  void process_event(const Event& event);
  void process_cancel(const Event& event);
  void process_outcome(const Event& event);
  void consult_router(const alderspur::Event& event);
  void answer_without_response(RequestHandle request, FinalStatus status, Time retry_after);
  void apply_effect(const Effect& effect);
  void send(const alderspur::Send& send);
  UpstreamRequest to_upstream_request(const OpenRequest& open, const alderspur::Send& order) const;
  Time transfer_time(const alderspur::Request& request) const;
  void cancel(const alderspur::Cancel& cancel);
  void abandon_attempt(AttemptId attempt, alderspur::AttemptResult result);
  void finish_request(OpenRequest& request);
  void forget_finished_requests();
  void tighten_max_age(const alderspur::Purge& purge);
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
  /// Endpoint lists, purges and bans: processed first, since they apply to all sends of the turn.
  std::vector<Event> urgent_events_;
  std::vector<Event> waiting_events_;
  std::vector<Effect> effects_;
  std::vector<alderspur::Action> actions_;
  /// Removed after the batch, whose later events may still refer to them.
  std::vector<RequestHandle> finished_requests_;
  PurgeListener purge_listener_;
  RequestHandle last_handle_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t open_request_count_ = 0;
  std::size_t open_request_bytes_ = 0;
};

}  // namespace alderspur::core

// The engine: requests, attempts and their outcomes, whatever wire they come by. It drives the
// routing decisions, gives exactly one final answer for each request that it admits, ends attempts
// that run out of time, and maps the Unix clock to the router's time. It knows no socket.
//
// A turn of the loop: fronts, the upstream client and the discovery client put what arrived into
// the engine; run() hands it all to the router in one go and then carries out the actions, in
// order. Slices stay valid until run() returns. The loop's thread only; times are microseconds.
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

namespace module = ::alderspur;
using RequestHandle = std::uint64_t;  // an admitted request
using AttemptId = std::uint64_t;      // one sending of it
constexpr std::uint32_t kNoClass = 0xffffffff;

/// What a front asks for. The strings are slices of its read buffer.
struct RequestView {
  std::string_view id;
  std::string_view idempotency_key;
  std::string_view client_copy_tag;  // names the copy that the client holds; empty: none
  std::string_view body;
  std::string_view object_text;  // as it came, to be passed on unchanged
  std::uint64_t object = 0;
  std::uint32_t class_id = 0;
  std::uint32_t group = 0;
  std::uint32_t part = 0;
  double size_kb = 0;
  Time time_limit = 0;  // until the client gives up, from when it sent the request
};

enum class FinalStatus { served, rejected, failed };

struct Response {
  FinalStatus status = FinalStatus::failed;
  bool not_modified = false;  // the client's copy is current
  Time retry_after = 0;
  std::string_view body;
  std::string_view tag;
  bool timed_out = false;  // not served because its time ran out
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void respond(RequestHandle request, const Response& response) = 0;
};

/// An attempt as it is to be sent. Read it at the moment of writing: a purge that is heard while a
/// connection comes up still tightens the age. The strings belong to the open request.
struct UpstreamRequest {
  std::string_view id;
  std::string_view idempotency_key;
  std::string_view client_copy_tag;
  std::string_view body;
  std::string_view object_text;
  std::uint32_t class_id = 0;
  std::uint32_t part = 0;
  module::ServerId server;
  std::optional<module::Fill> fill;
  Time deadline = 0;
  Time transfer_time = 0;  // of the response by itself, at the top pace; 0: not told
};

struct UpstreamResponse {
  module::AttemptResult result = module::AttemptResult::error;
  bool not_modified = false;
  std::string_view body;
  std::string_view tag;
  Time created_at = 0;  // Unix time at which the origin gave out this copy; 0: not told
  module::LoadReport report;
};

class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  virtual void send(AttemptId attempt, module::ServerId server) = 0;
  /// Gives the attempt up; no response follows.
  virtual void abort(AttemptId attempt) = 0;
  virtual void send_health_check(module::ServerId server) = 0;
};

/// Copies of an object, or of a whole group where `object` is absent, from before a moment are
/// void.
struct PurgeNotice {
  std::optional<std::uint64_t> object;
  std::uint32_t group = 0;
  Time unix_time = 0;
};

class Engine {
 public:
  Engine(const module::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
         std::function<Time()> clock);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;
  void attach(UpstreamClient& client) { upstream_client_ = &client; }

  // ---- From fronts ----

  RequestHandle admit(Front& front, const RequestView& view);
  void cancel_request(RequestHandle request);
  /// Its client is about to be left: the final answer comes in this turn, whatever is in flight.
  void finish_now(RequestHandle request);
  void finish_all_now();
  /// Its client has ended its side and may have left: what is in flight may end, nothing more
  /// begins.
  void stop_retrying(RequestHandle request);
  /// Counts a request that the front answered itself, rejected or failed, and never admitted.
  void count_rejected(std::uint32_t class_id, FinalStatus status);
  /// An open request bears this id for another object: clients and servers would mix the two up.
  bool conflicts_with_open_request(const RequestView& view) const;
  /// A request of this id is open, or an attempt of it is still in flight.
  bool is_open(std::string_view id) const { return handles_by_id_.contains(std::string(id)); }

  // ---- From the upstream client ----

  /// Null: the attempt is over, do not send it.
  const UpstreamRequest* upstream_request(AttemptId attempt) const;
  /// Its last byte is with the kernel.
  void mark_written(AttemptId attempt);
  bool was_written(AttemptId attempt) const;
  /// Asked at the moment of writing: is what was decided then still allowed? A list, a ban or the
  /// end of a window may have come while it waited. If not, give it back by return_unsent().
  bool may_still_send(AttemptId attempt);
  void return_unsent(AttemptId attempt) { end_attempt(attempt, module::AttemptResult::not_sent); }
  /// The end of an attempt without a response.
  void end_attempt(AttemptId attempt, module::AttemptResult result);
  void on_upstream_response(AttemptId attempt, const UpstreamResponse& response);
  void on_health_check_result(const module::HealthCheckResult& result);

  // ---- From operators, service discovery and other processes of this router ----

  void set_ban(module::ServerId server, bool is_banned);
  void set_budget_share(const module::BudgetShare& share);
  void update_endpoints(module::EndpointUpdate update);
  void purge(const PurgeNotice& notice);
  /// Told of each purge, whoever it came from.
  using PurgeListener = std::function<void(const PurgeNotice& notice)>;
  void on_purge(PurgeListener listener) { purge_listener_ = std::move(listener); }

  // ---- Turns and views ----

  void run();
  /// Never steps back.
  Time now();
  std::size_t open_request_count() const { return open_request_count_; }
  std::size_t open_request_bytes() const { return open_request_bytes_; }
  /// Of the caches of the own location.
  std::vector<module::EndpointStatus> endpoint_statuses();
  struct EndpointCounts {
    std::size_t listed = 0;
    std::size_t unavailable = 0;  // of those: banned, ejected or not ready
  };
  EndpointCounts count_endpoints();
  double concurrency_limit() const { return router_.concurrency_limit(); }
  Counters& counters() { return counters_; }
  const std::vector<ClassCounters>& class_counters() const { return class_counters_; }
  RateLimitedLog& invalid_input_log() { return invalid_input_log_; }
  void log_invalid_input(InvalidInput kind, std::string_view quote = {}) {
    invalid_input_log_.report(kind, now(), quote);
  }

 private:
  struct OpenRequest;
  struct Attempt;
  struct Event {
    module::Event event;
    RequestHandle request = 0;
    AttemptId attempt = 0;  // not 0: its end, by `response`
    UpstreamResponse response;
  };
  struct Respond {
    RequestHandle request;
    Front* front;
    Response response;
  };
  using Effect = std::variant<Respond, module::Action>;

  OpenRequest* find_request(RequestHandle request);
  Attempt* find_attempt(AttemptId attempt);
  void process_event(const Event& event);
  void process_cancel(const Event& event);
  void process_outcome(const Event& event);
  void consult_router(const module::Event& event);
  void answer_without_response(RequestHandle request, FinalStatus status, Time retry_after);
  void apply_effect(const Effect& effect);
  void send(const module::Send& send);
  Time transfer_time(const module::Request& request) const;
  void cancel(const module::Cancel& cancel);
  void abandon_attempt(AttemptId attempt, module::AttemptResult result);
  void finish_request(OpenRequest& request);
  void forget_finished_requests();
  void tighten_max_age(const module::Purge& purge);
  bool is_too_old(const Attempt& attempt, const UpstreamResponse& response) const;
  void count_attempt(module::AttemptResult result);
  void count_unserved(std::uint32_t class_id, FinalStatus status);

  const module::Settings settings_;
  module::Router router_;
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
  /// What endpoint lists, purges and bans say binds the sends of the same turn: it goes first.
  std::vector<Event> urgent_events_;
  std::vector<Event> waiting_events_;
  std::vector<Effect> effects_;
  std::vector<module::Action> actions_;
  /// To be forgotten once nothing of the batch can name them.
  std::vector<RequestHandle> finished_requests_;
  PurgeListener purge_listener_;
  RequestHandle last_handle_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t open_request_count_ = 0;
  std::size_t open_request_bytes_ = 0;
};

}  // namespace alderspur::core

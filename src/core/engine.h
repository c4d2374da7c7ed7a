// The core: requests, attempts and outcomes, whatever wire they come by. It drives the decision
// module, keeps the ledger of final answers (exactly one for each request taken), ends attempts
// that run out of time and maps the Unix clock to the module's time. It knows no socket.
//
// A turn: fronts, backend and board put what arrived into the engine; run() hands it all to the
// module in one go and then carries out what came back, in order. Slices stay valid until run()
// returns.
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
using RequestHandle = std::uint64_t;  // a request taken
using AttemptId = std::uint64_t;      // one sending of it
constexpr std::uint32_t kNoClass = 0xffffffff;

// What a front asks for. The strings are slices of its read buffer.
struct RequestView {
  std::string_view id, idempotency_key, client_copy_tag, body;
  std::string_view object_text;  // as it came, to be passed on unchanged
  std::uint64_t object = 0;
  std::uint32_t class_id = 0, group = 0, part = 0;
  double size_kb = 0;
  Time time_limit = 0;  // until the client gives up, from when it sent the request
};
enum class FinalStatus { served, rejected, failed };
struct Response {
  FinalStatus status = FinalStatus::failed;
  bool not_modified = false;  // the copy that the client holds is the one
  Time retry_after = 0;
  std::string_view body, tag;
  bool timed_out = false;  // not served because its time ran out
};
class Front {
 public:
  virtual ~Front() = default;
  virtual void respond(RequestHandle ticket, const Response& answer) = 0;
};

// An attempt as the backend is to send it. Read it at the moment of writing: a purge that is heard
// while a connection comes up still tightens the age.
struct UpstreamRequest {
  std::string_view id, idempotency_key, client_copy_tag, body, object_text;  // of the request held
  std::uint32_t class_id = 0, part = 0;
  module::ServerId server;
  std::optional<module::Fill> fill;
  Time deadline = 0;
  Time transfer_time = 0;  // what the answer takes by itself, at the top pace; 0: not told
};
struct UpstreamResponse {
  module::AttemptResult result = module::AttemptResult::error;
  bool not_modified = false;
  std::string_view body, tag;
  Time created_at = 0;  // Unix time at which the origin gave out this copy, 0: not told
  module::LoadReport report;
};
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  virtual void send(AttemptId attempt, module::ServerId server) = 0;
  virtual void abort(AttemptId attempt) = 0;  // gives it up; no reply follows
  virtual void send_health_check(module::ServerId server) = 0;
};

class Engine {
 public:
  Engine(const module::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
         std::function<Time()> clock);
  void attach(UpstreamClient& backend) { upstream_client_ = &backend; }

  // From fronts.
  RequestHandle admit(Front& front, const RequestView& demand);
  void cancel_request(RequestHandle ticket);
  // We are about to leave its client: the final answer comes in this turn, whatever is out.
  void finish_now(RequestHandle ticket);
  // All that is open, likewise.
  void finish_all_now();
  // Its client has ended its side and may have left: what is out may come to its end, nothing more
  // begins.
  void stop_retrying(RequestHandle ticket);
  // Answered by the front itself, refused or failed, and never taken: it counts all the same.
  void count_rejected(std::uint32_t cls, FinalStatus verdict);
  // An open request bears this id for another object. Danger: to caches and clients both would be
  // one.
  bool conflicts_with_open_request(const RequestView& demand) const;
  // A request of this id is open, or an attempt of it is still out.
  bool is_open(std::string_view id) const { return handles_by_id_.contains(std::string(id)); }
  // From the backend.
  const UpstreamRequest* upstream_request(
      AttemptId attempt) const;          // null: over already, do not send
  void mark_written(AttemptId attempt);  // whole
  bool was_written(AttemptId attempt) const;
  // Asked at the moment of writing: is what was decided then still allowed? If not, the backend
  // gives the attempt back by withhold(). Danger: a list, a ban or the end of a window may have
  // come while it waited.
  bool may_still_send(AttemptId attempt);
  void return_unsent(AttemptId attempt) {
    on_upstream_response(attempt, {module::AttemptResult::not_sent, false, {}, {}, 0, {}});
  }
  void on_upstream_response(AttemptId attempt, const UpstreamResponse& reply);
  void on_health_check_result(module::ServerId server, bool ok, Time elapsed,
                              const module::LoadReport& report, Time up = 0, bool lives = false,
                              bool late = false);
  // From operators, and from whoever knows of another process that acts as this router.
  void set_ban(module::ServerId server, bool out);
  void set_budget_share(double share, double door, double all = 0, double here = 0);
  // From the board.
  void update_endpoints(module::EndpointUpdate update);
  void purge(std::optional<std::uint64_t> object, std::uint32_t group, Time unix_time);
  using PurgeListener =
      std::function<void(std::optional<std::uint64_t> object, std::uint32_t group, Time unix_time)>;
  void on_purge(PurgeListener then) {
    purge_listener_ = std::move(then);
  }  // told of each, whoever it came from

  void run();
  Time now();  // never steps back
  std::size_t open_request_count() const { return open_request_count_; }
  std::size_t open_request_bytes() const { return open_request_bytes_; }
  std::vector<module::EndpointStatus> endpoint_statuses();  // of the caches of the own location
  // Caches on the list, and those of them that are avoided now, by hand or by choice.
  struct EndpointCounts {
    std::size_t listed = 0, unavailable = 0;
  };
  EndpointCounts count_endpoints();
  double concurrency_limit() const { return router_.concurrency_limit(); }
  Counters& counters() { return counters_; }
  const std::vector<ClassCounters>& class_counters() const { return class_counters_; }
  // Of a thing that arrived and cannot be used; bounded, see there.
  RateLimitedLog& invalid_input_log() { return invalid_input_log_; }
  void log_invalid_input(InvalidInput kind, std::string_view quote = {}) {
    invalid_input_log_.report(kind, now(), quote);
  }

 private:
  struct OpenRequest;
  struct Attempt;
  struct Event {
    module::Event event;
    RequestHandle ticket = 0;
    AttemptId attempt = 0;
    UpstreamResponse reply;
  };
  struct Respond {
    RequestHandle ticket;
    Front* front;
    Response response;
  };
  using Effect = std::variant<Respond, module::Action>;

  void process_event(Event& event);
  void process_outcome(Event& event);
  void consult_router(const module::Event& event);
  void apply_effect(const Effect& effect);
  void send(const module::Send& send);
  Time sending(const module::Request& request) const;
  void cancel(const module::Cancel& cancel);
  void abandon_attempt(AttemptId attempt, module::AttemptResult result);
  void finish_request(OpenRequest& held);
  void forget_finished_requests();
  void tighten_max_age(const module::Purge& purge);
  bool is_too_old(const Attempt& attempt, const UpstreamResponse& reply) const;
  void count(module::AttemptResult result);

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
  std::unordered_multimap<std::string, RequestHandle> handles_by_id_;  // of what is held
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::vector<Event> urgent_events_,
      waiting_events_;  // board news goes first: it binds the sends of the same turn
  std::vector<Effect> effects_;
  std::vector<module::Action> actions_;
  std::vector<RequestHandle>
      finished_requests_;  // to be forgotten once nothing of the batch can name them
  PurgeListener purge_listener_;
  RequestHandle last_handle_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t open_request_count_ = 0, open_request_bytes_ = 0;

 public:
  ~Engine();
};

}  // namespace alderspur::core

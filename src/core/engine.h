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
using Ticket = std::uint64_t;     // a request taken
using AttemptId = std::uint64_t;  // one sending of it
constexpr std::uint32_t kNoClass = 0xffffffff;

// What a front asks for. The strings are slices of its read buffer.
struct Demand {
  std::string_view id, idempotency_key, held_tag, body;
  std::string_view object_text;  // as it came, to be passed on unchanged
  std::uint64_t object = 0;
  std::uint32_t cls = 0, group = 0, part = 0;
  double size_kb = 0;
  Time limit = 0;  // until the client gives up, from when it sent the request
};
enum class Verdict { served, refused, failed };
struct Answer {
  Verdict verdict = Verdict::failed;
  bool unchanged = false;  // the copy that the client holds is the one
  Time retry_after = 0;
  std::string_view body, tag;
  bool late = false;  // not served because its time ran out
};
class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(Ticket ticket, const Answer& answer) = 0;
};

// An attempt as the backend is to send it. Read it at the moment of writing: a purge that is heard
// while a connection comes up still tightens the age.
struct Order {
  std::string_view id, idempotency_key, held_tag, body, object_text;  // of the request held
  std::uint32_t cls = 0, part = 0;
  module::ServerId server;
  std::optional<module::Fill> fill;
  Time deadline = 0;
  Time sending = 0;  // what the answer takes by itself, at the top pace; 0: not told
};
struct Reply {
  module::Result result = module::Result::error;
  bool unchanged = false;
  std::string_view body, tag;
  Time born = 0;  // Unix time at which the origin gave out this copy, 0: not told
  module::Report report;
};
class Backend {
 public:
  virtual ~Backend() = default;
  virtual void send(AttemptId attempt, module::ServerId server) = 0;
  virtual void abort(AttemptId attempt) = 0;  // gives it up; no reply follows
  virtual void probe(module::ServerId server) = 0;
};

class Engine {
 public:
  Engine(const module::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
         std::function<Time()> clock);
  void attach(Backend& backend) { backend_ = &backend; }

  // From fronts.
  Ticket take(Front& front, const Demand& demand);
  void withdraw(Ticket ticket);
  // We are about to leave its client: the final answer comes in this turn, whatever is out.
  void hurry(Ticket ticket);
  // All that is open, likewise.
  void hurry_all();
  // Its client has ended its side and may have left: what is out may come to its end, nothing more
  // begins.
  void begin_no_more(Ticket ticket);
  // Answered by the front itself, refused or failed, and never taken: it counts all the same.
  void turned_away(std::uint32_t cls, Verdict verdict);
  // An open request bears this id for another object. Danger: to caches and clients both would be
  // one.
  bool clashes(const Demand& demand) const;
  // A request of this id is open, or an attempt of it is still out.
  bool holds(std::string_view id) const { return ids_.contains(std::string(id)); }
  // From the backend.
  const Order* order(AttemptId attempt) const;  // null: over already, do not send
  void written(AttemptId attempt);              // whole
  bool was_written(AttemptId attempt) const;
  // Asked at the moment of writing: is what was decided then still allowed? If not, the backend
  // gives the attempt back by withhold(). Danger: a list, a ban or the end of a window may have
  // come while it waited.
  bool may_write(AttemptId attempt);
  void withhold(AttemptId attempt) {
    reply(attempt, {module::Result::withheld, false, {}, {}, 0, {}});
  }
  void reply(AttemptId attempt, const Reply& reply);
  void probed(module::ServerId server, bool ok, Time elapsed, const module::Report& report,
              Time up = 0, bool lives = false, bool late = false);
  // From operators, and from whoever knows of another process that acts as this router.
  void ban(module::ServerId server, bool out);
  void twins(double share, double door, double all = 0, double here = 0);
  // From the board.
  void fleet(module::FleetUpdate update);
  void purge(std::optional<std::uint64_t> object, std::uint32_t group, Time unix_time);
  using Purged =
      std::function<void(std::optional<std::uint64_t> object, std::uint32_t group, Time unix_time)>;
  void on_purge(Purged then) { purged_ = std::move(then); }  // told of each, whoever it came from

  void run();
  Time now();  // never steps back
  std::size_t held() const { return open_; }
  std::size_t held_bytes() const { return held_bytes_; }
  std::vector<module::Standing> standings();  // of the caches of the own location
  // Caches on the list, and those of them that are avoided now, by hand or by choice.
  struct Census {
    std::size_t listed = 0, down = 0;
  };
  Census census();
  double door() const { return router_.door(); }
  Counters& counters() { return counters_; }
  const std::vector<ClassCounters>& by_class() const { return by_class_; }
  // Of a thing that arrived and cannot be used; bounded, see there.
  Complaints& complaints() { return complaints_; }
  void complain(Complaint kind, std::string_view quote = {}) {
    complaints_.about(kind, now(), quote);
  }

 private:
  struct Held;
  struct Attempt;
  struct Event {
    module::Event event;
    Ticket ticket = 0;
    AttemptId attempt = 0;
    Reply reply;
  };
  struct Serve {
    Ticket ticket;
    Front* front;
    Answer answer;
  };
  using Effect = std::variant<Serve, module::Action>;

  void take_in(Event& event);
  void outcome(Event& event);
  void ask(const module::Event& event);
  void carry_out(const Effect& effect);
  void send(const module::Send& send);
  Time sending(const module::Request& request) const;
  void cancel(const module::Cancel& cancel);
  void give_up(AttemptId attempt, module::Result result);
  void end(Held& held);
  void release();
  void tighten(const module::Purge& purge);
  bool too_old(const Attempt& attempt, const Reply& reply) const;
  void count(module::Result result);

  const module::Settings settings_;
  module::Router router_;
  Deadlines& deadlines_;
  std::function<Time()> clock_;
  Backend* backend_ = nullptr;
  Time now_ = 0;
  Counters counters_;
  std::vector<ClassCounters> by_class_;
  Complaints complaints_;
  std::unordered_map<Ticket, Held> held_;
  std::unordered_multimap<std::string, Ticket> ids_;  // of what is held
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::vector<Event> urgent_,
      waiting_;  // board news goes first: it binds the sends of the same turn
  std::vector<Effect> effects_;
  std::vector<module::Action> actions_;
  std::vector<Ticket> ended_;  // to be forgotten once nothing of the batch can name them
  Purged purged_;
  Ticket last_ticket_ = 0;
  AttemptId last_attempt_ = 0;
  std::size_t open_ = 0, held_bytes_ = 0;

 public:
  ~Engine();
};

}  // namespace alderspur::core

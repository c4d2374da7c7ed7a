// The decision module: interface in include/alderspur/router.h, departures from the design in
// docs/design.md.
#include "alderspur/router.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <span>
#include <unordered_map>

#include "routing_state/state.h"

namespace alderspur {
namespace {

// ---- Constants: every tuned value, with unit and reason ----

constexpr double kBaseThresh = 0.25;   // share of a cache's load at which an object is hot, W = 1
constexpr double kLeastCount = 6;      // requests of one object in a window; fewer say nothing
constexpr Time kWidenPause = kSecond;  // between two widenings of one set: counts must follow
constexpr double kShrinkPart = 0.25;   // of T(s): below it everywhere for a window, a set shrinks
constexpr double kRampFrom = 0.25;  // a new member's first share of a full one, rising over kWindow
constexpr double kHugeFactor = 8;   // times the class's mean size: kept at the lowest rank at most
// A crowded home: its work out over the location's mean, and sending seconds that are never too
// many.
constexpr double kSeen =
    0.4;  // attempts out for each cache and sharer: fewer say nothing of a crowd
constexpr double kSharers =
    2;  // routers of a location for whose view these values were set: others see thin
constexpr double kCrowded = 1.5, kCrowdedLeast = 1;
constexpr int kCalm = 2;         // attempts out, at most, where a hit's time tells its sending time
constexpr double kLateDevs = 3;  // deviations above the mean: late
constexpr double kLateFrom = 0.4;      // of the aim: nothing is late earlier
constexpr Time kLeastTime = 30 * kMs;  // less than this left: no attempt can finish
constexpr double kRetryPart = 0.15,
                 kRetrySaved = 6;  // attempts a request, and how many can be saved up
// Admission: a limit on sending seconds out; each answer moves it by kLimitStep of its distance
// from the aim.
constexpr double kCrowdAim = 0.3, kCrowdMost = 2, kLimitStep = 0.03;
constexpr double kLeastShare = 0.01;  // of a router, for one of its processes
constexpr double kLimitLeast = 0.5,
                 kLimitPart = 0.25;  // seconds for a cache; of our share of told sizes
constexpr double kStillWork = 2, kStillLearn = 0.03, kStillForget = 0.002, kStillRoom = 0.15,
                 kStillMost = 0.4;
constexpr double kCheapRoom = 2;  // over the limit, for requests that cost little for their worth
constexpr double kFetchAim = 0.5,
                 kFetchLeast = 4.5;   // the same for fetches; of all routers, one origin
constexpr double kPressLearn = 0.05;  // weight of one request in the part refused lately
constexpr int kHardFails = 2;         // refused, reset or silent in a row: out
// Errors in a window, their part of all answers, over the peers' part or alone: who stands out is
// out.
constexpr double kSoftFails = 3, kSoftPart = 0.25, kSoftOver = 2, kSoftAlone = 0.5;
constexpr Time kParentLook = kSecond;  // between two looks at a parent whose fills are late
constexpr int kUnheard = 4;            // probes in a row that a parent leaves unanswered: out
// A cache with work of ours is probed when silent for so long, and longer than is usual before a
// word.
constexpr Time kLook = 100 * kMs, kMute = 300 * kMs;
constexpr Time kOwnWord = 3 * kMs;  // turned away sooner: by the cache itself, no source was asked
constexpr int kSourceFails = 3;     // fills failed in a row by one source: passed over
constexpr Time kBackoff = kSecond, kBackoffMost = 8 * kSecond;  // first and longest ejection
// Cold ledger: of what is held to be its capacity now, a cold server is sent this part.
constexpr double kColdUse = 0.75;    // told sizes: true ones lie below at times
constexpr double kColdCarry = 1.1;   // of what warm ones carry for us: they are not full
constexpr double kColdBurst = 0.25;  // of the fall window: how much allowance can be saved up
constexpr double kCarryLearn = 0.1;  // a second: a thin sample's luck must not become its carry
constexpr double kCarryForget =
    0.01;  // a second: the most they carried is the better guess at their size
constexpr double kUnknownTransfers = 1;  // capacity assumed before anything was observed
// Purges: a fill begun before may land after caches have settled; the margin covers clocks and
// ways.
constexpr Time kPurgeExtra = 4 * kSecond, kPurgeMargin = 2 * kMs,
               kOnWay = 20 * kMs;  // kOnWay: of a repeat
constexpr Time kSweep = kSecond, kIdleObject = 30 * kSecond, kAskPause = kSecond;
constexpr Time kRetryAfter = 400 * kMs;  // advice: from once to twice this,
constexpr double kPressed = 8;           // and so many times more as more is refused

}  // namespace

class Router::Impl {
 public:
  Impl(const Settings& s, std::uint64_t seed)
      : set_(s), random_(seed), learned_(s.classes.size()) {}
  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    out_ = &actions;
    now_ = std::max(now_, now);
    if (next_timer_ == 1) start();
    std::visit([this](const auto& e) { on(e); }, event);
    out_ = nullptr;
  }
  // For what waited to be sent: what pass() asks of servers and repeats, once more.
  bool may_send(Time now, RequestId id, AttemptNo no) {
    now_ = std::max(now_, now);
    const auto life = lives_.find(id);
    if (life == lives_.end() || no.value >= life->second.attempts.size()) return false;
    const Attempt& a = life->second.attempts[no.value];
    const Node *n = find(a.server), *source = find(a.source);
    if (!n || !n->ready() || (a.source != ServerId{} && !(source && source->ready()))) return false;
    return may_repeat_at(life->second, *n, no.value);
  }
  double concurrency_limit() const { return door_.value < kNoLimit ? door_.value : 0; }
  std::vector<EndpointStatus> endpoint_statuses(Time now) {
    now_ = std::max(now_, now);
    std::vector<EndpointStatus> out;
    for (auto& [id, n] : nodes_)
      if (n.at.role == Role::cache && n.at.status != ServerStatus::gone)
        out.push_back({n.at, n.ready() && usable(n), weight(n) * (n.cold ? cold_share(n) : 1)});
    return out;
  }

 private:
  const Settings set_;
  std::uint64_t random_;
  Time now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::map<ServerId, Node> nodes_;
  std::vector<Node*> caches_, parents_;  // ready ones: of our location; of all locations
  Node* origin_ = nullptr;
  std::unordered_map<ObjectId, Object, IdHash> objects_;
  std::unordered_map<RequestId, Life, IdHash> lives_;
  std::map<Purged, Time> purged_;
  std::set<ServerId> banned_;  // listed or not
  BudgetShare twins_;          // our part, where others act as this router too, or tell theirs
  std::map<std::uint32_t, Timer> timers_;
  std::uint32_t next_timer_ = 1;
  std::vector<Learned> learned_;
  Bucket retries_{kRetrySaved / 2};
  Limit door_, fetches_;  // of the location's caches; of what may wait for the origin
  bool noted_ = false;    // answers say what became of fills
  double fetch_out_ = 0,
         pressed_ = 0;  // sending seconds waiting for the origin; part refused lately
  double still_ = 0;    // the crowd felt at the least work
  Mean cost_;           // sending seconds for a unit of worth
  Mean gap_;  // from being asked, or an answer, to the next answer of a cache; what probes told is
              // no answer
  struct Carry {
    double mean = 0, most = 0;
  } cache_carry_, parent_carry_;  // transfers that warm ones do for us, remembered

  void act(Action a) { out_->push_back(std::move(a)); }
  void wake(Time at, Wake why, RequestId id = {}) {
    timers_[next_timer_] = {why, id};
    act(SetTimer{{next_timer_++}, std::max(at, now_ + 1)});
  }
  double chance() { return unit(mix(random_++)); }
  void start() {
    wake(now_ + kSweep, Wake::sweep);
    if (set_.health_checks_allowed) wake(now_ + kLook, Wake::look);
    if (set_.must_subscribe_to_endpoints) act(Subscribe{});
  }
  Node* find(ServerId id) {
    const auto it = nodes_.find(id);
    return it == nodes_.end() ? nullptr : &it->second;
  }
  const ClassSettings& cls(const Request& q) const { return set_.classes[q.class_id.value]; }
  Learned& learned(const Request& q) { return learned_[q.class_id.value]; }

  // ---- Fleet ----

  void on(const EndpointUpdate& u) {
    if (u.failed) return wake(now_ + kAskPause, Wake::ask);
    if (u.full) {
      std::set<ServerId> listed;
      for (const auto& s : u.servers) listed.insert(s.id);
      for (auto& [id, n] : nodes_)
        if (!listed.contains(id)) n.at.status = ServerStatus::gone;
    }
    for (const auto& s : u.servers) list(s);
    view();
  }
  void list(const Server& s) {
    const bool fresh = !nodes_.contains(s.id);
    Node& n = nodes_[s.id];
    const bool back =
        !fresh && n.at.status == ServerStatus::gone && s.status == ServerStatus::ready;
    const bool restarted = !fresh && s.started_at > n.at.started_at;
    n.at = s;
    n.at.weight = known(s.weight) > 0 ? s.weight : 1;
    n.banned = banned_.contains(s.id);
    if (restarted) n.streak = 0, n.blocked_until = 0, n.on_trial = n.was_silent = false;
    if (s.role == Role::origin) return;
    if (restarted || (fresh && s.started_at > 0))
      chill(n, s.started_at, true);
    else if (back)
      chill(n, now_, true);
  }
  void chill(Node& n, Time since, bool told) {
    n.told = told || (n.cold && n.told);
    n.cold = true;
    n.cold_since = std::min(since, now_);
    // Danger: hundreds of routers with one first send each push a cold server over; debts spread
    // them.
    double most = 0;
    for (std::uint32_t c = 0; c < set_.classes.size(); ++c)
      most = std::max(most, class_sending({c}));
    n.tokens = -chance() * most;
    n.tokens_at = now_;
  }
  void view() {
    caches_.clear();
    parents_.clear();
    origin_ = nullptr;
    for (auto& [id, n] : nodes_) {
      if (!n.ready()) continue;
      if (n.at.role == Role::origin)
        origin_ = &n;
      else if (n.at.role == Role::parent)
        parents_.push_back(&n);
      else if (n.at.location == set_.location)
        caches_.push_back(&n);
    }
  }

  // ---- Views of load ----

  bool sized() const {
    return set_.weights == WeightKind::nominal || set_.weights == WeightKind::rough;
  }
  double weight(const Node& n) const { return sized() ? n.at.weight : 1; }
  double sending(const Request& q) {  // seconds, at the top pace where sizes are told
    if (known(q.size_kb) > 0 && set_.stream_kb_per_s > 0) return q.size_kb / set_.stream_kb_per_s;
    return class_sending(q.class_id);
  }
  double class_sending(ClassId c) const {
    const auto& l = learned_[c.value];
    if (l.size.any && set_.stream_kb_per_s > 0) return l.size.value / set_.stream_kb_per_s;
    return l.hit.any ? l.hit.value
                     : static_cast<double>(set_.classes[c.value].latency_objective) / kSecond;
  }
  Time aim(const Request& q) {
    return cls(q).latency_objective +
           static_cast<Time>(cls(q).latency_objective_stretch * sending(q) * kSecond);
  }
  double over_aim(const Request& q,
                  double took) {  // beyond its own sending, over what the aim leaves beside
    const double own = sending(q) * kSecond,
                 room = std::max(1.0, static_cast<double>(aim(q)) - own);
    return std::clamp((took - own) / room, 0.0, kCrowdMost);
  }
  double usual(const Request& q) {
    return static_cast<double>(cls(q).latency_objective) + sending(q) * kSecond;
  }

  // Load of our caches over their sizes. Unheard ones and those in doubt, which read light, count
  // as average.
  std::vector<double> loads() {
    std::vector<double> v;
    double sum = 0, heard = 0;
    for (auto* n : caches_) {
      v.push_back(doubtful(*n) ? 0 : n->load.read(now_) / weight(*n));
      if (v.back() > 0) sum += v.back(), ++heard;
    }
    for (auto& x : v) x = x > 0 || heard <= 0 ? x : sum / heard;
    return v;
  }
  // T(s) = BaseThresh x W(s), W(s) = 1 + a - 2a (BW(s) - BWmin) / (BWmax - BWmin), a = 1 - 1/S.
  double threshold(const Node& n) {
    const auto v = loads();
    auto sorted = v;
    std::sort(sorted.begin(), sorted.end());
    const auto at =
        static_cast<std::size_t>(std::find(caches_.begin(), caches_.end(), &n) - caches_.begin());
    if (at == v.size() || sorted.back() <= sorted.front()) return kBaseThresh;
    const double median = (sorted[(sorted.size() - 1) / 2] + sorted[sorted.size() / 2]) / 2;
    const double alpha = 1 - median / sorted.back();
    const double place = (v[at] - sorted.front()) / (sorted.back() - sorted.front());
    return kBaseThresh * (1 + alpha - 2 * alpha * place);
  }

  // ---- Rendezvous and hot sets ----

  std::vector<Node*> ranked(const std::vector<Node*>& from, ObjectId object) const {
    std::vector<std::pair<double, Node*>> scored;
    for (auto* n : from)
      scored.push_back(
          {std::log(unit(mix(mix(object.value) ^ mix(n->at.id.value)))) / weight(*n), n});
    std::stable_sort(scored.begin(), scored.end(),
                     [](auto& a, auto& b) { return a.first > b.first; });
    std::vector<Node*> line;
    for (auto& s : scored) line.push_back(s.second);
    return line;
  }
  Member& member(Object& o, ServerId id) {
    const auto it = std::ranges::find(o.members, id, &Member::id);
    return it != o.members.end() ? *it : o.members.emplace_back(Member{id, {}, {}, {}, now_});
  }
  std::size_t cap() const {
    return std::min(caches_.size(), std::max<std::size_t>(2, caches_.size() / 2));
  }

  std::vector<Node*> line_for(Object& o, ObjectId id) {
    auto line = ranked(caches_, id);
    // Danger: the dead of a lost point, asked as a last resort, hold a request past all other
    // tries.
    if (set_.health_checks_allowed ||
        std::any_of(line.begin(), line.end(), [&](Node* n) { return usable(*n); }))
      std::erase_if(line, [&](Node* n) { return !usable(*n); });
    const std::size_t width = std::min({o.width, cap(), line.size()});
    if (width < 2) return uncrowded(line);
    const auto filled = [&](Node* n) {
      Member& m = member(o, n->at.id);
      const double age = static_cast<double>(now_ - m.joined) / kWindow;
      return (m.sent.read(now_) + 1) / weight(*n) / std::clamp(kRampFrom + age, kRampFrom, 1.0);
    };
    std::stable_sort(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(width),
                     [&](Node* a, Node* b) { return filled(a) < filled(b); });
    return uncrowded(line);
  }
  // Danger: a home with more work than it can send stays crowded. Where we see that, the next goes
  // first.
  std::vector<Node*> uncrowded(std::vector<Node*> line) const {
    double work = 0, size = 0, out = 0;
    for (auto* n : line) work += n->work_out, size += weight(*n), out += n->out;
    if (out < kSeen * (thin() - 1) * static_cast<double>(line.size())) return line;
    std::stable_partition(line.begin(), line.end(), [&](Node* n) {
      return n->work_out <= std::max(kCrowdedLeast, kCrowded * work / size * weight(*n));
    });
    return line;
  }
  void count_served(const Request& q, Node& n) {
    const double x = known(q.size_kb) > 0 ? q.size_kb : 1;
    n.load.add(now_, x);
    n.work.add(now_, sending(q));
    const auto it = objects_.find(q.object);
    if (it == objects_.end() || n.at.role != Role::cache) return;
    Member& m = member(it->second, n.at.id);
    m.served.add(now_, x);
    m.count.add(now_, 1);
    if (m.count.read(now_) < kLeastCount) return;
    Object& o = it->second;
    const double share = m.served.read(now_) / std::max(n.load.read(now_), 1e-9), t = threshold(n);
    if (share >= kShrinkPart * t) o.warm_at = now_;
    if (share <= t || o.width >= cap() || now_ < o.widened + kWidenPause) return;
    ++o.width, o.widened = o.warm_at = now_;
  }
  void shrink(Object& o) {
    if (o.width < 2 || now_ < std::max(o.warm_at, o.widened) + kWindow) return;
    --o.width, o.warm_at = now_;
  }

  // ---- Source of fills ----

  // First usable parent in hash order over all listed ones, else the origin. Null: nobody can be
  // asked now.
  Node* source_for(const Life& life) {
    const auto bad = [&](const Node& n) {
      return std::ranges::count(life.bad_sources, n.at.id) > 0;
    };
    // Danger: writes run at the origin anyway; in a full parent's queue they would wait and fail
    // for nothing.
    if (cls(life.q).never_cached && origin_ && !bad(*origin_)) return origin_;
    for (auto* p : ranked(parents_, life.q.object))
      if (!bad(*p) && usable(*p) && affords(*p)) return p;
    if (origin_ && !bad(*origin_)) return origin_;
    return nullptr;
  }
  void judge_source(const Request& q, const Attempt& a, const AttemptOutcome& o) {
    Node* s = a.filling ? find(a.source) : nullptr;
    if (!s) return;
    const bool broke = o.fill_outcome == FillOutcome::source_refused ||
                       o.fill_outcome == FillOutcome::source_unreachable;
    const bool gave =
        o.result == AttemptResult::ok &&
        (o.fill_outcome == FillOutcome::filled || o.fill_outcome == FillOutcome::filled_by_origin);
    // Without notes what was purged tells: hits would hide what fetches take, lost answers reopen
    // nothing.
    const bool had_to = a.fetching && !noted_ && purged_at(q) >= 0;
    const bool fetched = noted_ ? gave && (o.fill_outcome == FillOutcome::filled_by_origin ||
                                           s->at.role == Role::origin)
                                : had_to && o.result == AttemptResult::ok;
    const bool kept_out =
        noted_ ? a.fetching && o.result == AttemptResult::timeout
               : had_to && o.result == AttemptResult::overloaded && o.elapsed > kOwnWord;
    const bool stuck = o.fill_outcome == FillOutcome::origin_failed ||
                       o.fill_outcome == FillOutcome::fill_limit_reached ||
                       (broke && s->at.role == Role::origin) || kept_out;
    const Time waited =
        o.first_byte > 0 ? o.first_byte : o.elapsed;  // where told, without the link's part
    if (fetched || stuck)
      fetches_.learn(kLimitStep * std::sqrt(thin(sharers(true))),
                     kFetchAim - (stuck ? kCrowdMost : over_aim(q, static_cast<double>(waited))),
                     kFetchLeast / sharers(true), std::max(fetch_out_, door_least()));
    if (gave) s->work.add(now_, sending(q)), objects_[q.object].fetched = now_;
    // What turned out a hit asked nothing of a cold parent.
    if (a.charged && s->cold &&
        (o.fill_outcome == FillOutcome::hit || o.fill_outcome == FillOutcome::joined_fill))
      s->tokens += class_sending(q.class_id);
    if (s->at.role != Role::parent) return;
    if (!noted_ && a.fetching &&
        (o.result == AttemptResult::ok || o.result == AttemptResult::error)) {
      s->answers.add(now_, 1), s->errors.add(now_, o.result == AttemptResult::error ? 1 : 0);
      if (o.result == AttemptResult::error && !s->on_trial && sick(*s)) eject(*s);
    }
    if (gave || (!noted_ && a.fetching && o.result == AttemptResult::ok))
      s->streak = s->ejections = 0, s->on_trial = false;
    // Danger: many routers reach a parent that starts at once. One refused connection there puts it
    // out.
    const bool unreached =
        o.fill_outcome == FillOutcome::source_unreachable && o.result == AttemptResult::overloaded;
    if (broke) s->streak += unreached ? static_cast<int>(thin()) : 1;
    if (!broke || s->streak < kSourceFails) return;
    eject(*s);
    if (unreached) chill(*s, now_, false);
  }

  // ---- Health ----

  bool doubtful(const Node& n) const {
    return n.on_trial || now_ < n.blocked_until || n.streak > 0;
  }
  // Out while ejected; then one attempt at a time tests it. With probes allowed, a probe goes
  // first.
  bool usable(const Node& n) const {
    return now_ >= n.blocked_until &&
           !(n.on_trial && (n.out > 0 || (awaits_probe(n) && !n.proved)));
  }
  bool awaits_probe(const Node& n) const {
    return set_.health_checks_allowed &&
           (n.at.role == Role::parent ||
            (n.at.role == Role::cache && n.at.location == set_.location));
  }
  void eject(Node& n) {
    n.blocked_until = now_ + std::min(kBackoffMost, kBackoff << std::min(n.ejections, 5));
    n.ejections = std::min(n.ejections + 1, 10);
    n.streak = 0, n.on_trial = true, n.proved = false;
  }
  void hard_failure(Node& n, bool silent) {
    if (++n.streak < kHardFails && !n.on_trial) return;
    if (silent && !n.was_silent) n.silent_from = std::max(n.last_answer, n.idle_until);
    n.was_silent |= silent;
    eject(n);
  }
  bool sick(Node& n) {
    const double bad = n.errors.read(now_), all = n.answers.read(now_);
    if (bad < kSoftFails || bad < kSoftPart * all) return false;
    double peers_bad = 0, peers_all = 0;
    for (auto* p : n.at.role == Role::parent ? parents_ : caches_)
      if (p != &n) peers_bad += p->errors.read(now_), peers_all += p->answers.read(now_);
    return peers_all < kSoftFails ? bad > kSoftAlone * all
                                  : bad * peers_all > kSoftOver * peers_bad * all;
  }
  // Danger: a cache that went silent and is back has restarted unseen, so it is cold and empty.
  void answered(Node& n) {
    if (n.was_silent && n.at.role != Role::origin) chill(n, now_, false);
    n.was_silent = n.on_trial = false, n.unheard = n.streak = n.ejections = 0;
  }
  static bool fill_failed(const AttemptOutcome& o) {
    return o.fill_outcome >= FillOutcome::source_refused;
  }  // not the cache
  void judge(Node& n, const Request& q, const Attempt& a, const AttemptOutcome& o) {
    const bool word = o.result == AttemptResult::ok || o.result == AttemptResult::error ||
                      o.result == AttemptResult::overloaded || o.result == AttemptResult::miss;
    if (word && n.at.role == Role::cache)
      gap_.learn(
          static_cast<double>(now_ - std::max(n.idle_until, std::exchange(n.answered_at, now_))));
    if (word) n.last_answer = now_, n.answers.add(now_, 1);
    if (o.result == AttemptResult::ok || o.result == AttemptResult::miss || fill_failed(o))
      return answered(n);
    if (o.result == AttemptResult::error) {
      n.errors.add(now_, 1);
      if (n.on_trial || sick(n)) eject(n);
    } else if (o.result == AttemptResult::reset && awaits_probe(n) && !n.on_trial) {
      if (!n.probing)
        check(n);  // a spoilt answer or a lost connection is no sick cache: a probe tells
      if (std::exchange(n.reset_at, now_) == now_)
        return;  // one connection's end, however many it carried
      n.answers.add(now_, 1), n.errors.add(now_, 1);
      if (sick(n)) eject(n);
    } else if (o.result == AttemptResult::connect_failed || o.result == AttemptResult::reset) {
      hard_failure(n, o.result == AttemptResult::connect_failed);
    } else if (o.result == AttemptResult::timeout && n.last_answer < a.sent &&
               o.elapsed >= late_after(q)) {
      hard_failure(n,
                   true);  // not a word on anything since this was sent: silence, not a slow fill
    }
  }

  // ---- Cold ledger ----

  Time cold_span(bool parent) const {
    return parent ? set_.parent_slow_start_time : set_.cache_slow_start_time;
  }
  double cold_share(const Node& n) const {
    const double from = n.at.role == Role::parent ? set_.parent_slow_start_fraction
                                                  : set_.cache_slow_start_fraction;
    const auto span = static_cast<double>(std::max<Time>(1, cold_span(n.at.role == Role::parent)));
    const double grown = static_cast<double>(now_ - n.cold_since) / span;
    return from + (1 - from) * std::clamp(grown, 0.0, 1.0);
  }
  // Transfers at a time that this router may ask of a cold server now: its part of the least
  // promised.
  double allowance(const Node& n) {
    const bool parent = n.at.role == Role::parent;
    const double share = cold_share(n);
    const double sharers = this->sharers(parent) / twins_.process_share;
    if (sized()) return kColdUse * share * n.at.weight / sharers;
    const double carry = (parent ? parent_carry_ : cache_carry_).most;
    return share * (carry > 0 ? kColdCarry * carry : kUnknownTransfers / sharers);
  }
  // Routers at work, all or those of our location: by our part of what they may do, if told, or
  // their number.
  double sharers(bool all) const {
    const auto here = set_.location.value;
    const auto& by = set_.router_count_by_location;
    if (const double part = all ? twins_.fleet_share : twins_.location_share; part > 0)
      return 1 / part;
    return std::max(1u, !all && here < by.size() ? by[here] : set_.router_count);
  }
  // One of many routers hears fewer of the answers: each moves its limits further.
  static double thin(double sharers) { return std::max(1.0, sharers / kSharers); }
  double thin() const { return thin(sharers(false)); }
  void warm_up(Node& n) {
    n.cold = n.cold && now_ < n.cold_since + cold_span(n.at.role == Role::parent);
  }
  bool affords(Node& n) {
    warm_up(n);
    // Danger: a wave of resets or pauses makes warm caches look restarted; all held back, nothing
    // is served.
    const auto warm = [](const Node* c) { return !c->cold; };
    const bool doubt = !n.told && n.at.role == Role::cache;
    if (!n.cold || (doubt && std::none_of(caches_.begin(), caches_.end(), warm))) return true;
    if (n.on_trial) n.cold_since = now_;  // as good as not started
    const double rate = allowance(n), dt = static_cast<double>(now_ - n.tokens_at) / kSecond;
    const double most = rate * kColdBurst * static_cast<double>(set_.overload_window) / kSecond;
    n.tokens = std::min(most, n.tokens + rate * dt);
    n.tokens_at = now_;
    return n.tokens > 0;
  }
  void remember_carry() {
    const auto learn = [&](const std::vector<Node*>& v, Carry& carry) {
      double sum = 0, warm = 0;
      for (auto* n : v)
        if (!n->cold && !doubtful(*n)) sum += n->work.read(now_) * kSecond / kWindow, ++warm;
      if (warm <= 0) return;
      carry.mean += kCarryLearn * (sum / warm - carry.mean);
      carry.most = std::max(carry.mean, carry.most * (1 - kCarryForget));
    };
    learn(caches_, cache_carry_);
    learn(parents_, parent_carry_);
  }

  // ---- The gate: every send passes here, whatever asked for it ----

  Time purged_at(const Request& q) const {
    Time at = -1;
    for (const Purged& key : {Purged{true, q.object.value}, Purged{false, q.group.value}})
      if (const auto p = purged_.find(key); p != purged_.end()) at = std::max(at, p->second);
    return at;
  }
  bool may_repeat_at(const Life& life, const Node& n, std::size_t number) const {
    const auto& c = cls(life.q);
    for (const auto& a : std::span(life.attempts).first(number)) {
      if (a.out) return false;
      if (a.never_ran || c.idempotency == Idempotency::idempotent) continue;
      if (c.idempotency == Idempotency::not_idempotent || now_ - a.sent >= c.dedup_window - kOnWay)
        return false;
      if (c.dedup_scope != DedupScope::all && a.location != n.at.location) return false;
      if (c.dedup_scope == DedupScope::cell && a.cell != n.at.cell) return false;
    }
    return true;
  }
  bool may_refuse(const Life& life) const {
    const auto& c = cls(life.q);
    if (c.idempotency == Idempotency::idempotent ||
        (c.idempotency == Idempotency::idempotent_with_key && c.dedup_scope == DedupScope::all))
      return true;
    return std::all_of(life.attempts.begin(), life.attempts.end(),
                       [](auto& a) { return a.never_ran; });
  }
  // Sends if every rule allows it, with all the time left. Danger: a time-out throws a slow cache's
  // work away.
  bool pass(Life& life, Node& n, std::optional<Fill> fill) {
    if (!life.open || life.begun || life.attempts.size() >= set_.max_attempts) return false;
    if (!n.ready() || !may_repeat_at(life, n, life.attempts.size()) || !affords(n)) return false;
    Node* source = fill && fill->source != n.at.id ? find(fill->source) : nullptr;
    if (source && (!source->ready() || !affords(*source))) return false;
    if (const Time purged = purged_at(life.q); purged >= 0) {
      // Danger: 0 would mean "any age", and a joined or renewed fill may have left before the
      // purge.
      if (!fill) fill = Fill{n.at.id};
      const Time limit = std::max<Time>(1, now_ - purged - kPurgeMargin);
      fill->max_age = fill->max_age > 0 ? std::min(fill->max_age, limit) : limit;
      if (const Time fresh = cls(life.q).fresh_time; fresh > 0 && !life.stale_ok)
        fill->max_age = std::min(fill->max_age, fresh);
      fill->may_join = fill->refresh_in_background = false;
    }
    for (Node* m : {&n, source})
      if (m && m->cold) m->tokens -= class_sending(life.q.class_id);
    const double work = sending(life.q);
    const bool fetching = source && life.unseen && !fill->cached_only;
    life.attempts.push_back({n.at.id, source ? source->at.id : ServerId{}, n.at.location, n.at.cell,
                             now_, work, source != nullptr, source && source->cold, fetching});
    if (n.out++ == 0) n.idle_until = now_;
    n.work_out += work;
    if (fetching) fetch_out_ += work;
    act(Send{life.q.id, n.at.id, std::max<Time>(1, life.deadline - now_), fill});
    return true;
  }

  // ---- Request life ----

  std::uint32_t rank_for(const Life& life, const Object& o) {
    if (cls(life.q).never_cached || life.q.is_write) return 0;
    const auto& size = learned_[life.q.class_id.value].size;
    if (size.any && known(life.q.size_kb) > kHugeFactor * size.value) return o.repeated ? 1 : 0;
    return o.width > 1 ? 3 : o.repeated ? 2 : 1;
  }
  std::optional<Fill> fill_for(Life& life, const Object& o, const Node& at) {
    if (!set_.has_fills) return {};
    const auto& c = cls(life.q);
    Fill f;
    Node* s = source_for(life);
    f.source = s ? s->at.id : at.at.id;
    f.cache_rank = rank_for(life, o);
    const bool kept = !c.never_cached && !life.q.is_write;
    // Danger: fills that wait for a slow origin hold places. Over the limit parents give only what
    // they hold.
    const bool over =
        kept && fetch_out_ > fetches_.value && (noted_ ? life.unseen : purged_at(life.q) >= 0);
    f.may_join = kept && set_.can_join_fills;
    f.refresh_in_background = kept && c.fresh_time > 0 && o.repeated && !over;
    f.cached_only = over && s && s->at.role == Role::parent;
    if (over && !f.cached_only) f.source = at.at.id;
    if (kept && c.stale_grace_time > 0 && (life.stale_ok || over)) {
      f.max_age = c.fresh_time + c.stale_grace_time;
      life.stale_ok = true;
    }
    return f;
  }
  // One more attempt: at the set, along the hash order, or, with nobody here, straight to parents
  // and origin.
  bool attempt(Life& life, const Node* again = nullptr) {
    Object& o = objects_[life.q.object];
    auto line = line_for(o, life.q.object);
    const auto place = [&](const Node* n) {
      return n == again ? 0 : std::ranges::count(life.attempts, n->at.id, &Attempt::server) ? 2 : 1;
    };
    std::ranges::stable_sort(line, {}, place);
    for (auto* n : line) {
      if (!affords(*n)) continue;
      if (!pass(life, *n, fill_for(life, o, *n))) continue;
      member(o, n->at.id).sent.add(now_, 1);
      return true;
    }
    return set_.can_bypass_caches && straight(life);
  }
  bool straight(Life& life) {
    Node* n = source_for(life);
    const Fill fill{origin_ ? origin_->at.id : ServerId{}, 0, 0, set_.can_join_fills};
    return n && pass(life, *n,
                     n->at.role == Role::parent && origin_ ? std::optional(fill) : std::nullopt);
  }
  double work_out() const {
    return std::accumulate(caches_.begin(), caches_.end(), 0.0,
                           [](double x, auto* n) { return x + n->work_out; });
  }
  // Danger: beyond capacity all answers come late and none earns its worth, whatever caused the
  // crowding.
  bool shed(const Request& q) {
    const double cost = sending(q) / std::max(cls(q).priority_weight, 1e-9);
    cost_.learn(cost);
    const double room = std::clamp(cost_.value / std::max(cost, 1e-9), 1.0, kCheapRoom);
    const bool over = !caches_.empty() && work_out() > door_.value * room;
    pressed_ += kPressLearn * ((over ? 1 : 0) - pressed_);
    return over;
  }
  // Where sizes are told, a part of our share of what the usable caches can send; what is below is
  // no crowd.
  double door_least() {
    double sum = 0;
    for (auto* n : caches_) sum += usable(*n) ? weight(*n) * (n->cold ? cold_share(*n) : 1) : 0;
    const double told = sized() ? kLimitPart * sum / sharers(false) : 0;
    return std::max(told, kLimitLeast * static_cast<double>(caches_.size()) / thin());
  }
  // The wait for a source's first byte is taken off where it is told: no crowd of the location.
  void feel(const Request& q, const AttemptOutcome& o) {
    if (fill_failed(o)) return;
    const bool turned_away = o.result == AttemptResult::overloaded;
    if (!turned_away && o.result != AttemptResult::ok) return;
    const Time own = std::max<Time>(0, o.elapsed - o.first_byte);
    const double crowd = turned_away ? kCrowdMost : over_aim(q, static_cast<double>(own));
    const double least = door_least();
    // Danger: what answers take however little is out is no crowd; the door would stay shut.
    still_ +=
        door_.value < kStillWork * least ? kStillLearn * (crowd - still_) : -kStillForget * still_;
    door_.learn(kLimitStep * std::sqrt(thin()),
                std::clamp(still_ + kStillRoom, kCrowdAim, kStillMost) - crowd, least, work_out());
  }
  static const Attempt* out(const Life& life) {  // never two at once: only the last can be out
    return !life.attempts.empty() && life.attempts.back().out ? &life.attempts.back() : nullptr;
  }
  void retry(Life& life, const Node* again, bool free = false) {
    if (life.deadline - now_ < kLeastTime || !(free || retries_.spend()) || !attempt(life, again))
      give_up(life);
  }
  void give_up(Life& life) {
    if (!std::exchange(life.open, false)) return;
    if (may_refuse(life)) {
      const double pressed = 1 + kPressed * pressed_ + chance();
      const Time wait = static_cast<Time>(static_cast<double>(kRetryAfter) * pressed);
      act(Reject{life.q.id, set_.sends_retry_after ? std::min(set_.max_retry_after, wait) : 0});
    } else {
      act(Fail{life.q.id});
    }
    call_off(life);
  }
  void call_off(Life& life) {
    const Attempt* a = out(life);
    if (Node* n = a ? find(a->server) : nullptr;
        n && n->last_answer < a->sent && now_ - a->sent >= late_after(life.q))
      hard_failure(*n, true);
    if (a) cancel(life);
  }
  void cancel(const Life& life) {
    if (set_.may_cancel)
      act(Cancel{life.q.id, {static_cast<std::uint32_t>(life.attempts.size() - 1)}});
  }
  void finish(Life& life) {
    if (std::exchange(life.open, false)) call_off(life);
    if (!out(life)) lives_.erase(life.q.id);
  }

  // ---- Events ----

  void on(const Request& q) {
    if (lives_.contains(q.id)) return;
    if (q.class_id.value >= set_.classes.size()) return act(Fail{q.id});
    Life& life = lives_[q.id];
    life.q = q;
    life.deadline = now_ + std::max<Time>(q.time_budget, 0);
    retries_.earn(kRetryPart, kRetrySaved);
    if (known(q.size_kb) > 0) learned(q).size.learn(q.size_kb);
    Object& o = objects_[q.object];
    const std::uint64_t bit = 1ULL << (q.part % 64);
    const bool aged = cls(q).fresh_time > 0 && now_ > o.fetched + cls(q).fresh_time;
    life.unseen = !(o.parts & bit) || aged || purged_at(q) >= 0;
    if (o.parts & bit) o.repeated = true;
    o.parts |= bit;
    o.last = now_;
    wake(life.deadline, Wake::deadline, q.id);
    if (shed(q) || !attempt(life)) give_up(life), finish(life);
  }
  // Danger: slow fills are no silence where a router hears little; the mark moves with their times.
  Time late_after(const Request& q) {
    const auto& pace = learned(q).pace;
    const double late = pace.any ? pace.value + kLateDevs * pace.dev : 1;
    return std::max(static_cast<Time>(kLateFrom * static_cast<double>(aim(q))),
                    static_cast<Time>(usual(q) * late));
  }
  void on(const AttemptOutcome& o) {
    const auto it = lives_.find(o.id);
    if (it == lives_.end() || o.attempt.value >= it->second.attempts.size()) return;
    Life& life = it->second;
    if (!life.attempts[o.attempt.value].out) return;
    Attempt& a = life.attempts[o.attempt.value];
    a.out = false;
    noted_ |= o.fill_outcome != FillOutcome::none;
    Node* n = find(a.server);
    const bool unsure = !(n && n->on_trial) && unclear(life, a, o);
    if (a.fetching) fetch_out_ = std::max(0.0, fetch_out_ - a.work);
    a.never_ran = o.result == AttemptResult::overloaded ||
                  o.result == AttemptResult::connect_failed ||
                  o.result == AttemptResult::already_finished || o.result == AttemptResult::miss ||
                  o.result == AttemptResult::not_sent;
    if (n) {
      n->out = std::max(0, n->out - 1);
      n->work_out = n->out ? std::max(0.0, n->work_out - a.work) : 0;
      judge(*n, life.q, a, o);
    }
    judge_source(life.q, a, o);
    if (!unsure) feel(life.q, o);
    if (o.result == AttemptResult::ok && a.server == life.asked_again) blame(life.suspect);
    if (o.result == AttemptResult::ok && n) {
      count_served(life.q, *n);
      if (o.fill_outcome == FillOutcome::hit && n->out < kCalm)
        learned(life.q).hit.learn(static_cast<double>(o.elapsed) / kSecond);
      learned(life.q).pace.learn(static_cast<double>(o.elapsed) / std::max(1.0, usual(life.q)));
    }
    if (o.finished || o.result == AttemptResult::ok) return finish(life);
    if (life.open && !out(life)) {
      // Danger: behind every parent stands the same origin; each router's retries help to push it
      // over.
      const bool no_use = o.fill_outcome == FillOutcome::source_lacks ||
                          o.result == AttemptResult::already_finished ||
                          (o.result == AttemptResult::miss && a.filling && !a.fetching) ||
                          (o.fill_outcome == FillOutcome::origin_failed &&
                           (life.stale_ok || !cls(life.q).stale_grace_time));
      no_use ? give_up(life)
             : retry(life, unsure ? n : follow_up(life, a, o, n),
                     o.result == AttemptResult::cancelled || o.result == AttemptResult::not_sent ||
                         (o.result == AttemptResult::reset && life.attempts.size() == 1));
    }
    if (!life.open) finish(life);
  }
  // Answers say nothing of fills: the same cache is asked once more with the next source, to tell.
  bool unclear(Life& life, const Attempt& a, const AttemptOutcome& o) {
    const bool failed = o.result == AttemptResult::error ||
                        (o.result == AttemptResult::overloaded && o.elapsed > kOwnWord);
    if (noted_ || !a.filling || !failed || life.asked_again == a.server || cls(life.q).never_cached)
      return false;
    life.suspect = a.source, life.asked_again = a.server;
    life.bad_sources.push_back(a.source);
    return true;
  }
  void blame(ServerId id) {
    Node* s = find(id);
    if (!s || s->at.role != Role::parent || (++s->streak < kSourceFails && !s->on_trial)) return;
    eject(*s);
  }
  const Node* follow_up(Life& life, const Attempt& a, const AttemptOutcome& o, const Node* n) {
    const bool broke_off =
        o.result == AttemptResult::reset && set_.health_checks_allowed && life.attempts.size() == 1;
    if (broke_off || !fill_failed(o) || o.fill_outcome == FillOutcome::fill_limit_reached)
      return broke_off ? n : nullptr;
    if (a.filling && o.fill_outcome != FillOutcome::origin_failed)
      life.bad_sources.push_back(a.source);
    life.stale_ok = true;
    return n;
  }
  void on(const ResponseStarted& b) {
    if (const auto it = lives_.find(b.id); it != lives_.end()) it->second.begun = it->second.open;
  }
  void on(const ClientGone& c) {
    const auto it = lives_.find(c.id);
    if (it == lives_.end()) return;
    if (c.response_owed && it->second.open && !it->second.begun) give_up(it->second);
    finish(it->second);
  }
  void on(const Purge& p) {
    const Time at = now_ - std::max<Time>(0, p.age);
    Time& kept = purged_[{p.object.has_value(), p.object ? p.object->value : p.group.value}];
    kept = std::max(kept, at);
  }
  void on(const BudgetShare& t) {
    if (t.concurrency_limit > 0 && concurrency_limit() <= 0) door_.value = t.concurrency_limit;
    if (t.process_share < twins_.process_share &&
        objects_.empty())  // the other has had the first sends that debts spread
      for (auto& [id, n] : nodes_) n.tokens = 0;
    twins_ = {std::max(t.process_share, kLeastShare), t.concurrency_limit, t.fleet_share,
              t.location_share};
  }
  // Whoever took a server out may have done anything to it: it comes back as one that has just
  // started.
  void on(const Ban& b) {
    if (!(b.is_banned ? banned_.insert(b.server).second : banned_.erase(b.server) > 0)) return;
    Node* n = find(b.server);
    if (!n) return;
    Server s = n->at;
    if (!b.is_banned) s.started_at = now_;
    list(s);
    view();
  }
  void on(const HealthCheckResult& p) {
    Node* n = find(p.server);
    if (!n || (!n->probing && !p.is_late)) return;
    n->probing = n->probing && p.is_late;
    if (p.ok || p.is_alive) heard(*n, p);
    n->proved = p.ok;
    if (p.ok) return;
    const bool parent = n->at.role == Role::parent, fresh_news = !n->on_trial;
    if (p.is_alive)
      return parent || n->on_trial ? eject(*n) : void();  // full: spared a while, not lost
    if (fresh_news && n->last_answer >= n->probed_at) return;
    if (!n->was_silent && n->unheard == 0) n->silent_from = n->probed_at;
    // Danger: behind a long queue a parent looks dead to all routers at once, who then push over
    // the next.
    if (fresh_news && parent && ++n->unheard < kUnheard) return check(*n);
    n->was_silent |= fresh_news;
    eject(*n);
    if (fresh_news) evacuate(*n);
  }
  // Danger: what only seemed silent would be held for cold. A connection from before proves that it
  // lives.
  void heard(Node& n, const HealthCheckResult& p) {
    n.last_answer = now_, n.unheard = 0;
    if (p.connection_age > now_ - n.silent_from) n.was_silent = false;
    if (p.ok && n.at.role == Role::parent && n.on_trial) answered(n);
  }
  void on(const TimerExpired& t) {
    const auto due = timers_.extract(t.timer.value);
    if (!due) return;
    const auto [why, id] = due.mapped();
    if (why == Wake::sweep) return sweep();
    if (why == Wake::look) return look();
    if (why == Wake::ask) return act(Subscribe{});
    on(ClientGone{id, true});
  }
  // Danger: a cache that falls silent holds each request until its deadline where no second copy is
  // allowed.
  void look() {
    wake(now_ + kLook, Wake::look);
    for (auto* n : caches_) n->due = std::numeric_limits<Time>::max() / 2;
    // Danger: a hundred routers that look at every parent by the clock load it more than they
    // learn.
    for (const auto& [id, life] : lives_) {
      const Attempt* a = out(life);
      if (Node* n = a ? find(a->server) : nullptr)
        n->due = std::min(n->due, a->sent + static_cast<Time>(a->work * kSecond));
      Node* s = a && a->fetching && now_ > a->sent + late_after(life.q) ? find(a->source) : nullptr;
      if (s && s->at.role == Role::parent && !s->probing && !s->on_trial &&
          now_ >= std::max(s->probed_at, s->last_answer) + kParentLook)
        check(*s);
    }
    // Danger: to one of many routers each cache is silent for long. What is usual tells, not a
    // fixed time.
    const Time mute = std::max(kMute, static_cast<Time>(gap_.value + kLateDevs * gap_.dev));
    for (auto* n : caches_)
      if (n->out > 0 && !n->probing && !n->on_trial &&
          now_ > std::max(n->due, n->last_answer) + mute)
        check(*n);
  }
  void check(Node& n) {
    n.probing = true;
    n.probed_at = now_;
    act(HealthCheck{n.at.id});
  }
  // Calls off what a silent cache holds and may be sent elsewhere; the outcomes bring the next
  // attempts.
  void evacuate(Node& n) {
    std::set<RequestId> held;
    for (const auto& [id, life] : lives_)
      if (const Attempt* a = out(life); a && life.open && !life.begun && movable(life, *a))
        if (a->server == n.at.id || (a->source == n.at.id && a->fetching)) held.insert(id);
    for (const auto& id : held) cancel(lives_.at(id));
  }
  bool movable(const Life& life, const Attempt& a) const {
    const auto& c = cls(life.q);
    return c.idempotency == Idempotency::idempotent ||
           (c.idempotency == Idempotency::idempotent_with_key && c.dedup_scope == DedupScope::all &&
            now_ - a.sent < c.dedup_window);
  }
  void sweep() {
    wake(now_ + kSweep, Wake::sweep);
    remember_carry();
    std::erase_if(objects_, [&](auto& e) { return now_ > e.second.last + kIdleObject; });
    for (auto& [id, o] : objects_) shrink(o);
    std::erase_if(purged_, [&](auto& e) {
      return now_ > e.second + set_.purge_propagation_time + kPurgeExtra;
    });
    std::erase_if(nodes_, [](auto& e) {
      return e.second.at.status == ServerStatus::gone && e.second.out == 0;
    });
    view();
    for (auto& [id, n] : nodes_) {
      warm_up(n);
      if (awaits_probe(n) && n.on_trial && !n.probing && !n.proved && n.ready() &&
          now_ >= n.blocked_until)
        check(n);
    }
  }
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}
std::vector<EndpointStatus> Router::endpoint_statuses(Time now) {
  return impl_->endpoint_statuses(now);
}
bool Router::may_send(Time now, RequestId id, AttemptNo no) const {
  return impl_->may_send(now, id, no);
}
double Router::concurrency_limit() const { return impl_->concurrency_limit(); }

}  // namespace alderspur

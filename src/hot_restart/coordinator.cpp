#include "hot_restart/coordinator.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

namespace alderspur::hot_restart {
namespace {

constexpr double kLeast = 0.05;  // of the router, for a process that takes nothing yet
constexpr std::chrono::milliseconds kSettle(200);  // a look takes under one
constexpr double kSmooth = 0.25;  // of a look's rate into the mean: about half a second

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(net::Loop& loop, core::Deadlines& deadlines,
                                             std::function<core::Time()> now,
                                             const std::string& folder, std::string_view key,
                                             Say say, Hooks hooks)
    : deadlines_(deadlines), now_(std::move(now)), say_(std::move(say)), hooks_(std::move(hooks)) {
  word_.share = 1;
  if (folder.empty()) return;
  word_.share = 0;
  folder_ = std::make_shared<SharedDirectory>(folder, key);
  wakeup_ = std::make_unique<net::Wakeup>(loop);
  worker_ = std::make_unique<file_watch::Worker>();
  begin();
}
HotRestartCoordinator::~HotRestartCoordinator() {
  if (next_.is_set()) deadlines_.cancel(next_);
  worker_.reset();
}

// The start waits here, a bounded time: nothing is served yet.
void HotRestartCoordinator::begin() {
  auto result = std::make_shared<std::promise<Looked>>();
  auto looked = result->get_future();
  worker_->submit([folder = folder_, result] {
    using std::chrono::microseconds, std::chrono::steady_clock;
    Looked out;
    out.error = folder->enter();
    out.others = folder->others();
    const auto end = steady_clock::now() + microseconds(kKnown);
    while (out.error.empty() && !out.others.all_know_us && steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      out.others = folder->others();
    }
    out.read = folder->read_bans();
    out.word.counted = out.others.count;
    if (out.error.empty())
      out.error = folder->raise(out.word, out.others.count ? kLeast : 1);
    else
      out.word.share = 1;  // nothing is known of anybody
    result->set_value(std::move(out));
  });
  if (looked.wait_for(std::chrono::microseconds(kBegin)) == std::future_status::ready)
    take(looked.get());
  else
    word_.share = 1, complain("the shared folder does not answer, starting without what it holds");
  arm();
}

void HotRestartCoordinator::arm() {
  next_ = deadlines_.set(now_() + kLook, [this] { look(), arm(); });
}

void HotRestartCoordinator::measure() {
  const core::Time now = now_();
  const auto load = hooks_.load();
  if (measured_ && now > measured_) {
    const double rate =
        static_cast<double>(load.taken - taken_) * 1e6 / static_cast<double>(now - measured_);
    rate_ += kSmooth * (rate - rate_);
  }
  measured_ = now, taken_ = load.taken;
  word_.rate = rate_;
  word_.door = load.door;
}

// By what each takes, with a little for who takes nothing yet.
double HotRestartCoordinator::wanted() const {
  if (!others_.count) return 1;
  const double all = rate_ + others_.rate;
  return std::clamp(all > 0 ? rate_ / all : 0.5, kLeast, 1 - kLeast * others_.count);
}

void HotRestartCoordinator::look() {
  if (looking_) return;  // the disk hangs: what is in force stays
  for (const auto& change : book_.again()) save(change, {});
  measure();
  word_.counted = others_.count;
  if (wanted() < word_.share) {
    word_.share = wanted();
    hooks_.others(others_, word_.share);
  }
  looking_ = worker_->submit(
      [this, folder = folder_, mine = book_.list(), word = word_, wants = wanted()] {
        Looked out;
        out.word = word;
        out.error = folder->say(word);
        if (wants > word.share && out.error.empty()) out.error = folder->raise(out.word, wants);
        out.others = folder->others();
        out.read = folder->read_bans();
        if (out.read.bans.serial < mine.serial) out.error = folder->restore(mine);
        wakeup_->post([this, out = std::move(out)] {
          looking_ = false;
          said_ |= out.word.phase == Phase::serving;
          take(out);
        });
      });
}

void HotRestartCoordinator::take(const Looked& looked) {
  complain(!looked.error.empty() ? looked.error : looked.read.error);
  book_.seen(looked.read.bans);
  apply();
  const bool counts = looked.others.count != others_.count;
  const bool changed =
      counts || looked.others.successor != others_.successor || looked.word.share != word_.share;
  others_ = looked.others;
  word_.share = looked.word.share;
  if (counts)
    say_("twins", std::to_string(others_.count) + " other processes of this router are there");
  if (changed) hooks_.others(others_, word_.share);
  if (counts && worker_) look();  // they wait to hear that they are counted
}

// The same trouble is told once.
void HotRestartCoordinator::complain(const std::string& error) {
  if (error == last_error_) return;
  last_error_ = error;
  if (!error.empty()) say_("shared_folder", error);
}

void HotRestartCoordinator::apply() {
  for (const auto& change : book_.take()) {
    say_("ban", change.name + (change.out ? " is out by hand" : " may serve again"));
    hooks_.ban(change);
  }
}

void HotRestartCoordinator::serving() {
  word_.phase = Phase::serving;
  if (!folder_) return;
  said_ = false;
  look();
}
void HotRestartCoordinator::leaving() {
  word_.phase = Phase::leaving;
  if (folder_) look();
}

bool HotRestartCoordinator::settle() { return !worker_ || worker_->settle(kSettle); }

void HotRestartCoordinator::change(const BanChange& change,
                                   std::function<void(const std::string& error)> done) {
  book_.call(change);
  apply();
  if (folder_) return save(change, std::move(done));
  Bans list = book_.list();
  ++list.serial;
  carry_out(change, list.names);
  book_.saved(list);
  done({});
}

void HotRestartCoordinator::save(const BanChange& change,
                                 std::function<void(const std::string& error)> done) {
  const auto end = [this, done = std::move(done)](const SharedDirectory::Changed& changed) {
    if (changed.error.empty())
      book_.saved(changed.bans);
    else
      book_.not_saved(), complain(changed.error);
    apply();
    if (done) done(changed.error);
  };
  const bool submitted =
      worker_->submit([this, folder = folder_, mine = book_.list(), change, end] {
        auto changed = folder->change(mine, change);
        wakeup_->post([changed = std::move(changed), end] { end(changed); });
      });
  if (!submitted) end({{}, "too many changes wait for the disk"});
}

}  // namespace alderspur::hot_restart

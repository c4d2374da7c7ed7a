#include "app/consensus_service.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "app/routes.h"
#include "consensus/conservative_merge.h"
#include "consensus/messages.h"
#include "endpoints/check.h"
#include "store/state_file.h"

namespace alderspur::app {
namespace {

using namespace alderspur::consensus;
constexpr const char* kName = "agreement";
constexpr Time kMeasure = 500'000;
constexpr std::size_t kLoadedMost = 2 * kContentsMost, kSettledKept = 16, kBodyMost = 4 << 20;
constexpr double kReserve = 1 - kUsable;  // for all routers without a lease together
constexpr std::uint32_t kRoutersLeast = 8;
constexpr std::chrono::milliseconds kSettle(200);

std::string content_path(const std::string& folder, const std::string& digest) {
  return folder + "/content." + digest;
}

// In one bounded read: what was kept, whatever of it is whole.
Begin load(const std::string& folder, LogStore& disk) {
  Begin out;
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  if (const auto kept = store::load_file(folder + "/agree.kept", 1 << 20); kept.payload) {
    out.kept = decode_kept(*kept.payload).value_or(PersistedState{});
  }
  const auto take = [&](const std::string& digest) {
    if (digest.empty() || out.contents.size() >= kLoadedMost) return;
    if (const auto c = store::load_file(content_path(folder, digest), kContentMost + 4096);
        c.payload) {
      out.contents[digest] = *c.payload;
    }
  };
  take(out.kept.in_force.digest);
  if (out.kept.agreed) take(out.kept.agreed->digest);
  // Danger: what was agreed a moment before all lost their power stands nowhere but here.
  for (const auto& e : std::filesystem::directory_iterator(folder, ignored)) {
    const auto name = e.path().filename().string();
    if (name.starts_with("content.") && !name.ends_with(".new")) take(name.substr(8));
  }
  auto loaded = disk.load();
  out.saved = std::move(loaded.saved), out.spoilt = loaded.spoilt;
  out.no_disk = !loaded.spoilt && !loaded.error.empty();
  return out;
}

}  // namespace

ConsensusService::ConsensusService(platform::EdgeRouter& node, ClusterService& cluster,
                                   const settings::Cluster& s, Files files, log::Log& log)
    : node_(node),
      cluster_(cluster),
      files_(std::move(files)),
      log_(log),
      unleased_(kReserve / 2 / std::max(kRoutersLeast, node.config().settings.router_count)),
      folder_(s.state),
      disk_(std::make_shared<LogStore>(s.state)),
      random_(std::random_device{}()),
      wakeup_(node.loop()) {
  ConsensusSettings settings;
  const auto& self = cluster.link().membership().self();
  settings.name = self.name, settings.point = self.point, settings.epoch = self.epoch;
  settings.voters = s.voters;
  agreement_ = std::make_unique<ConsensusNode>(settings, random_());
  cluster_.on_frame([this](const std::string& from, std::string_view bytes) {
    handle(Frame{from, std::string(bytes)});
  });
  cluster_.on_members([this](const std::vector<std::string>& names) { handle(Others{names}); });
  node_.on_versions([this](std::string_view what, std::string_view query,
                           std::string body) { return told(what, query, std::move(body)); },
                    kBodyMost);
  node_.set_cluster_share(unleased_, unleased_);
  measure();
  begin();
}
ConsensusService::~ConsensusService() {
  if (due_) node_.deadlines().cancel(*due_);
  if (measure_) node_.deadlines().cancel(*measure_);
}
bool ConsensusService::settle() {
  return log_writer_.settle(kSettle) && writer_.settle(kSettle) && checker_.settle(kSettle);
}

void ConsensusService::begin() {
  log_writer_.submit([this, disk = disk_, folder = folder_] {
    wakeup_.post([this, begin = load(folder, *disk)] {
      if (begin.spoilt) log_.record(kName, log::Level::error, "log_spoilt", {{"folder", folder_}});
      if (begin.no_disk) log_.record(kName, log::Level::error, "no_disk", {{"folder", folder_}});
      handle(begin);
    });
  });
}

// ---- Events and actions

void ConsensusService::handle(const consensus::Event& event) {
  std::vector<consensus::Action> actions;
  agreement_->handle(net::steady_now(), event, actions);
  for (auto& a : actions) carry_out(a);
  arm();
}

void ConsensusService::arm() {
  if (due_) node_.deadlines().cancel(*due_), due_.reset();
  const Time next = agreement_->next();
  if (next == std::numeric_limits<Time>::max()) return;
  const Time in = std::max<Time>(0, next - net::steady_now());
  due_ = node_.deadlines().set(node_.engine().now() + in, [this] {
    due_.reset();
    handle(Wake{});
  });
}

void ConsensusService::carry_out(consensus::Action& action) {
  if (auto* s = std::get_if<SendFrame>(&action)) return cluster_.send_frame(s->to, s->bytes);
  if (auto* p = std::get_if<Put>(&action)) return put(std::move(*p));
  if (auto* w = std::get_if<Write>(&action)) return write(std::move(*w));
  if (auto* c = std::get_if<Check>(&action)) return check(*c);
  if (auto* k = std::get_if<Keep>(&action)) return keep(*k);
  if (auto* a = std::get_if<Act>(&action)) return act(a->acting);
  if (auto* d = std::get_if<consensus::Discard>(&action)) {
    writer_.submit([folder = folder_, digest = d->digest] {
      std::error_code ignored;
      std::filesystem::remove(content_path(folder, digest), ignored);
    });
  } else if (auto* y = std::get_if<consensus::Reply>(&action)) {
    settled_.push_back(y->settled);
    if (settled_.size() > kSettledKept) settled_.pop_front();
  } else if (auto* r = std::get_if<consensus::Report>(&action)) {
    log_.record(kName, log::Level::info, r->event, {{"text", r->text}});
  }
}

void ConsensusService::put(Put p) {
  const auto number = p.number;
  const bool given = log_writer_.submit([this, disk = disk_, p = std::move(p)] {
    const auto error = disk->write(p.store);
    wakeup_.post([this, number = p.number, error] {
      if (!error.empty()) {
        log_.record(kName, log::Level::error, "log_not_written", {{"reason", error}});
      }
      handle(Stored{number, error.empty()});
    });
  });
  // A disk that hangs: what it does not take in time has failed.
  if (!given) wakeup_.post([this, number] { handle(Stored{number, false}); });
}

void ConsensusService::write(Write w) {
  const auto digest = w.digest;
  const bool given = writer_.submit([this, folder = folder_, w = std::move(w)] {
    const auto error = store::replace_file(content_path(folder, w.digest), w.bytes);
    wakeup_.post([this, digest = w.digest, error] {
      if (!error.empty()) {
        log_.record(kName, log::Level::error, "content_not_written", {{"reason", error}});
      }
      handle(Written{digest, error.empty()});
    });
  });
  if (!given) wakeup_.post([this, digest] { handle(Written{digest, false}); });
}

void ConsensusService::keep(const Keep& k) {
  writer_.submit([folder = folder_, text = encode(k.kept)] {
    // Of an older one a later start is careful until it has heard the newest.
    (void)store::replace_file(folder + "/agree.kept", text);
  });
}

// By the checkers that the settings' own files pass.
void ConsensusService::check(const Check& c) {
  checker_.submit([this, folder = folder_, &config = node_.config(), c] {
    std::string reason;
    for (const auto& [name, text] : *c.content) {
      if (name == "servers") {
        diagnostics::Findings findings;
        const auto read = endpoints::read_list(text, name, 0, {}, findings);
        if (read.list && findings.good()) endpoints::check_alone(*read.list, findings);
        std::vector<std::uint32_t> points, hubs;
        if (read.list && findings.good()) {
          endpoints::zones_of(*read.list, config.names.zones, points, hubs, findings);
        }
        if (!findings.good()) reason = diagnostics::to_string(findings.list()[0]);
      } else if (name == "routes") {
        const auto file = folder + "/checked.alder";
        std::ofstream(file) << text;
        std::vector<std::string> findings;
        if (!compile(file, config, findings)) {
          reason = findings.empty() ? "does not check" : findings[0];
        }
      } else {
        reason = "this program knows no document '" + name + "'";
      }
      if (!reason.empty()) break;
    }
    wakeup_.post([this, digest = c.digest, reason] {
      handle(Checked{digest, reason.empty(), reason});
    });
  });
}

// ---- Acting

void ConsensusService::act(const ActiveVersion& a) {
  const bool version = a.version.number != acting_.version.number ||
                       a.is_conservative != acting_.is_conservative || a.heard != acting_.heard;
  acting_ = a;
  const bool share = a.share_all > 0;
  node_.set_cluster_share(share ? a.share_all : unleased_, share ? a.share_point : unleased_);
  if (!version) return;
  if (a.version.number != judged_) {
    judged_ = a.version.number, bad_part_ = 0;  // what ends from here on is its own
  }
  log_.record(kName, log::Level::info, "acts",
              {{"version", a.version.number},
               {"careful", a.is_conservative ? 1 : 0},
               {"heard", a.heard.size()}});
  write_files();
}

void ConsensusService::write_files() {
  if (!acting_.content || (files_.servers.empty() && files_.routes.empty())) return;
  if (std::exchange(writing_, true)) {
    again_ = true;
    return;
  }
  const auto generation = files_.generation ? files_.generation() + 1 : 1;
  const bool given = checker_.submit([this, files = files_, acting = acting_, generation] {
    std::string error;
    if (const auto it = acting.content->find("servers");
        it != acting.content->end() && !files.servers.empty()) {
      std::vector<std::string> texts{it->second};
      for (const auto& h : acting.heard) {
        if (const auto x = h->find("servers"); x != h->end()) texts.push_back(x->second);
      }
      const auto text = list_to_act_on(texts, generation, error);
      if (error.empty()) error = store::write_text(files.servers, text);
    }
    if (const auto it = acting.content->find("routes");
        it != acting.content->end() && !files.routes.empty()) {
      if (auto e = store::write_text(files.routes, it->second); !e.empty()) error = e;
    }
    wakeup_.post([this, error] {
      writing_ = false;
      if (!error.empty()) {
        log_.record(kName, log::Level::error, "not_acted_on", {{"reason", error}});
      }
      if (files_.look) files_.look();
      if (std::exchange(again_, false)) write_files();
    });
  });
  if (!given) writing_ = false;
}

// What this router takes, for its share.
void ConsensusService::measure() {
  const auto& c = node_.engine().counters();
  const auto taken = c.admitted, ended = c.served + c.rejected + c.failed,
             bad = c.rejected + c.failed;
  if (ended > ended_) {
    const double part = static_cast<double>(bad - bad_) / static_cast<double>(ended - ended_);
    bad_part_ += 0.3 * (part - bad_part_);
  }
  ended_ = ended, bad_ = bad;
  rate_ +=
      0.3 * (static_cast<double>(taken - taken_) * 1e6 / static_cast<double>(kMeasure) - rate_);
  taken_ = taken;
  if (agreement_) handle(Load{1 + rate_, bad_part_});
  measure_ = node_.deadlines().set(node_.engine().now() + kMeasure, [this] { measure(); });
}

// ---- Operators

admin::AdminHandler::Told ConsensusService::told(std::string_view what, std::string_view query,
                                                 std::string body) {
  if (body.empty() && what.empty()) return {200, view()};
  if (body.empty() && what.starts_with("/proposals/")) {
    const auto nonce = std::strtoull(std::string(what.substr(11)).c_str(), nullptr, 10);
    for (const auto& s : settled_) {
      if (s.nonce == nonce) {
        return {200, std::string(s.yes ? "yes" : "no") + " " + std::to_string(s.number) + " " +
                         s.text + "\n"};
      }
    }
    return {202, "under way\n"};
  }
  if (body.empty() && what.starts_with("/content/")) {
    const auto c =
        agreement_->content(std::strtoull(std::string(what.substr(9)).c_str(), nullptr, 10));
    if (!c) return {404, "that version is not kept here\n"};
    return {200, encode(*c)};
  }
  if (!body.empty()) return propose(what, query, body);
  return {404, "no such call\n"};
}

admin::AdminHandler::Told ConsensusService::propose(std::string_view what, std::string_view query,
                                                    const std::string& body) {
  Proposal p;
  p.nonce = random_() >> 1 | 1;
  if (const auto nonce =
          http::parameter(query, "nonce")) {  // asked again by whoever did not hear the answer
    p.nonce = std::max(1ULL, std::strtoull(std::string(*nonce).c_str(), nullptr, 10));
  }
  if (const auto author = http::parameter(query, "author")) p.author = *author;
  if (const auto base = http::parameter(query, "base"); base && !base->empty()) {
    p.base = std::strtoull(std::string(*base).c_str(), nullptr, 10);
  }
  if (const auto first = http::parameter(query, "first")) {
    std::istringstream names{std::string(*first)};
    for (std::string n; std::getline(names, n, ',') && p.trial.first.size() <= kVotersMost;) {
      p.trial.first.push_back(n);
    }
    const auto real = [&](const char* key, double otherwise) {
      const auto text = http::parameter(query, key);
      return text ? std::strtod(std::string(*text).c_str(), nullptr) : otherwise;
    };
    p.trial.hold = static_cast<Time>(std::clamp(real("hold", 60), 0.0, 1e6) * 1e6);
    p.trial.harm = std::clamp(real("harm", p.trial.harm), 0.0, 1.0);
    p.trial.go_on = http::parameter(query, "then") == "go";
  }
  if (what == "/rollout") {
    std::istringstream words(body);
    std::string go;
    Verdict v;
    if (!(words >> go >> v.number) || (go != "go" && go != "back")) {
      return {400, "say go or back, and the number of the version on trial\n"};
    }
    v.go_on = go == "go";
    p.verdict = v;
  } else if (what == "/voters") {
    std::istringstream names(body);
    for (std::string n; names >> n && p.voters.size() <= kVotersMost;) p.voters.push_back(n);
    if (p.voters.empty()) return {400, "name the voters\n"};
  } else if (what.empty()) {
    auto content = decode_content(body);
    if (!content) return {400, "not a content: use alderspur cluster propose\n"};
    p.content = std::move(*content);
  } else {
    return {404, "no such call\n"};
  }
  handle(p);
  return {202, std::to_string(p.nonce) + "\n"};
}

std::string ConsensusService::view() const {
  return versions_view(agreement_->view(net::steady_now()), agreement_->book(), net::steady_now());
}

}  // namespace alderspur::app

#include "control/consensus_service.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "consensus/conservative_merge.h"
#include "consensus/messages.h"
#include "control/routes.h"
#include "endpoints/check.h"
#include "store/state_file.h"

namespace alderspur::control {
namespace {

using namespace alderspur::consensus;  // NOLINT(google-build-using-namespace): all of its messages
                                       // are handled here
constexpr const char* kName = "agreement";
constexpr Time kMeasure = 500'000;
constexpr std::size_t kMaxLoadedContents = 2 * kMaxStoredContents;
constexpr std::size_t kMaxFinishedProposals = 16;
constexpr std::size_t kMaxRequestBodyBytes = 4 << 20;
constexpr double kUnleasedFraction =
    1 - kLeasedFraction;  // for all routers without a lease together
constexpr std::uint32_t kMinRouters = 8;
constexpr std::chrono::milliseconds kSettle(200);

std::string content_path(const std::string& folder, const std::string& digest) {
  return folder + "/content." + digest;
}

// In one bounded read: what was kept, whatever of it is whole.
Start load(const std::string& folder, LogStore& disk) {
  Start out;
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  if (const auto kept = store::load_file(folder + "/agree.kept", 1 << 20); kept.payload) {
    out.state = decode_persisted_state(*kept.payload).value_or(PersistedState{});
  }
  const auto take = [&](const std::string& digest) {
    if (digest.empty() || out.contents.size() >= kMaxLoadedContents) return;
    if (const auto c = store::load_file(content_path(folder, digest), kMaxContentBytes + 4096);
        c.payload) {
      out.contents[digest] = *c.payload;
    }
  };
  take(out.state.current.digest);
  if (out.state.accepted) take(out.state.accepted->digest);
  // Danger: what was agreed a moment before all lost their power stands nowhere but here.
  for (const auto& e : std::filesystem::directory_iterator(folder, ignored)) {
    const auto name = e.path().filename().string();
    if (name.starts_with("content.") && !name.ends_with(".new")) take(name.substr(8));
  }
  auto loaded = disk.load();
  out.log = std::move(loaded.log), out.is_log_corrupt = loaded.is_corrupt;
  out.has_no_disk = !loaded.is_corrupt && !loaded.status.is_ok();
  return out;
}

}  // namespace

ConsensusService::ConsensusService(edge_router::EdgeRouter& node, ClusterService& cluster,
                                   const settings::Cluster& s, Files files, log::Log& log)
    : node_(node),
      cluster_(cluster),
      files_(std::move(files)),
      log_(log),
      unleased_(kUnleasedFraction / 2 / std::max(kMinRouters, node.config().settings.router_count)),
      folder_(s.state),
      disk_(std::make_shared<LogStore>(s.state)),
      random_(std::random_device{}()),
      wakeup_(node.loop()) {
  ConsensusSettings settings;
  const auto& self = cluster.link().membership().self();
  settings.name = self.name, settings.location = self.point, settings.epoch = self.epoch;
  settings.voters = s.voters;
  agreement_ = std::make_unique<ConsensusNode>(settings, random_());
  cluster_.on_frame([this](const std::string& from, std::string_view bytes) {
    handle(MessageReceived{from, std::string(bytes)});
  });
  cluster_.on_members(
      [this](const std::vector<std::string>& names) { handle(PeersChanged{names}); });
  node_.on_versions([this](std::string_view what, std::string_view query,
                           const std::string& body) { return told(what, query, body); },
                    kMaxRequestBodyBytes);
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
      if (begin.is_log_corrupt) {
        log_.record(kName, log::Level::error, "log_spoilt", {{"folder", folder_}});
      }
      if (begin.has_no_disk) {
        log_.record(kName, log::Level::error, "no_disk", {{"folder", folder_}});
      }
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
  const Time next = agreement_->next_deadline();
  if (next == std::numeric_limits<Time>::max()) return;
  const Time in = std::max<Time>(0, next - net::steady_now());
  due_ = node_.deadlines().set(node_.engine().now() + in, [this] {
    due_.reset();
    handle(TimerFired{});
  });
}

void ConsensusService::carry_out(consensus::Action& action) {
  if (auto* s = std::get_if<SendMessage>(&action)) return cluster_.send_frame(s->to, s->bytes);
  if (auto* p = std::get_if<WriteLog>(&action)) return put(std::move(*p));
  if (auto* w = std::get_if<WriteContent>(&action)) return write(std::move(*w));
  if (auto* c = std::get_if<CheckContent>(&action)) return check(*c);
  if (auto* k = std::get_if<PersistState>(&action)) return keep(*k);
  if (auto* a = std::get_if<Activate>(&action)) return act(a->active);
  if (auto* d = std::get_if<consensus::DeleteContent>(&action)) {
    writer_.submit([folder = folder_, digest = d->digest] {
      std::error_code ignored;
      std::filesystem::remove(content_path(folder, digest), ignored);
    });
  } else if (auto* y = std::get_if<consensus::ProposalFinished>(&action)) {
    settled_.push_back(y->result);
    if (settled_.size() > kMaxFinishedProposals) settled_.pop_front();
  } else if (auto* r = std::get_if<consensus::LogEvent>(&action)) {
    log_.record(kName, log::Level::info, r->event, {{"text", r->text}});
  }
}

void ConsensusService::put(WriteLog p) {
  const auto number = p.number;
  const bool given = log_writer_.submit([this, disk = disk_, p = std::move(p)] {
    const auto status = disk->apply(p.write);
    wakeup_.post([this, number = p.number, status] {
      if (!status.is_ok()) {
        log_.record(kName, log::Level::error, "log_not_written", {{"reason", status.message()}});
      }
      handle(LogWritten{number, status.is_ok()});
    });
  });
  // A disk that hangs: what it does not take in time has failed.
  if (!given) wakeup_.post([this, number] { handle(LogWritten{number, false}); });
}

void ConsensusService::write(WriteContent w) {
  const auto digest = w.digest;
  const bool given = writer_.submit([this, folder = folder_, w = std::move(w)] {
    const auto error = store::replace_file(content_path(folder, w.digest), w.bytes);
    wakeup_.post([this, digest = w.digest, error] {
      if (error) {
        log_.record(kName, log::Level::error, "content_not_written",
                    {{"reason", to_string(*error)}});
      }
      handle(ContentWritten{digest, !error});
    });
  });
  if (!given) wakeup_.post([this, digest] { handle(ContentWritten{digest, false}); });
}

void ConsensusService::keep(const PersistState& k) {
  writer_.submit([folder = folder_, text = encode(k.state)] {
    // Of an older one a later start is careful until it has heard the newest.
    (void)store::replace_file(folder + "/agree.kept", text);
  });
}

// By the checkers that the settings' own files pass.
void ConsensusService::check(const CheckContent& c) {
  checker_.submit([this, folder = folder_, &config = node_.config(), c] {
    std::string reason;
    for (const auto& [name, text] : *c.content) {
      if (name == "servers") {
        diagnostics::Findings findings;
        const auto read = endpoints::read_list(text, name, 0, {}, findings);
        if (read.list && findings.good()) endpoints::check_alone(*read.list, findings);
        if (read.list && findings.good()) {
          (void)endpoints::resolve_zones(*read.list, config.names.zones, findings);
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
      handle(ContentChecked{digest, reason.empty(), reason});
    });
  });
}

// ---- Acting

void ConsensusService::act(const ActiveVersion& a) {
  const bool version = a.version.number != acting_.version.number ||
                       a.is_conservative != acting_.is_conservative ||
                       a.newer_contents != acting_.newer_contents;
  acting_ = a;
  const bool share = a.total_share > 0;
  node_.set_cluster_share(share ? a.total_share : unleased_, share ? a.location_share : unleased_);
  if (!version) return;
  if (a.version.number != judged_) {
    judged_ = a.version.number, bad_part_ = 0;  // what ends from here on is its own
  }
  log_.record(kName, log::Level::info, "acts",
              {{"version", a.version.number},
               {"careful", a.is_conservative ? 1 : 0},
               {"heard", a.newer_contents.size()}});
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
      for (const auto& h : acting.newer_contents) {
        if (const auto x = h->find("servers"); x != h->end()) texts.push_back(x->second);
      }
      const auto merged = merge_list_texts(texts, generation);
      if (!merged.is_ok()) {
        error = merged.error();
      } else if (const auto failure = store::replace_text_file(files.servers, merged.text())) {
        error = to_string(*failure);
      }
    }
    if (const auto it = acting.content->find("routes");
        it != acting.content->end() && !files.routes.empty()) {
      if (const auto failure = store::replace_text_file(files.routes, it->second)) {
        error = to_string(*failure);
      }
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
  if (agreement_) handle(LoadMeasured{1 + rate_, bad_part_});
  measure_ = node_.deadlines().set(node_.engine().now() + kMeasure, [this] { measure(); });
}

// ---- Operators

admin::HttpReply ConsensusService::told(std::string_view what, std::string_view query,
                                        const std::string& body) {
  if (body.empty() && what.empty()) return {200, view()};
  if (body.empty() && what.starts_with("/proposals/")) {
    const auto nonce = std::strtoull(std::string(what.substr(11)).c_str(), nullptr, 10);
    for (const auto& s : settled_) {
      if (s.nonce == nonce) {
        return {200, std::string(s.is_accepted ? "yes" : "no") + " " +
                         std::to_string(s.version_number) + " " + s.reason + "\n"};
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

admin::HttpReply ConsensusService::propose(std::string_view what, std::string_view query,
                                           const std::string& body) {
  OperatorProposal p;
  p.nonce = random_() >> 1 | 1;
  if (const auto nonce =
          http::parameter(query, "nonce")) {  // asked again by whoever did not hear the answer
    p.nonce = std::max(1ULL, std::strtoull(std::string(*nonce).c_str(), nullptr, 10));
  }
  if (const auto author = http::parameter(query, "author")) p.author = *author;
  if (const auto base = http::parameter(query, "base"); base && !base->empty()) {
    p.base_number = std::strtoull(std::string(*base).c_str(), nullptr, 10);
  }
  if (const auto first = http::parameter(query, "first")) {
    std::istringstream names{std::string(*first)};
    for (std::string n; std::getline(names, n, ',') && p.canary.routers.size() <= kMaxVoters;) {
      p.canary.routers.push_back(n);
    }
    const auto real = [&](const char* key, double otherwise) {
      const auto text = http::parameter(query, key);
      return text ? std::strtod(std::string(*text).c_str(), nullptr) : otherwise;
    };
    p.canary.duration = static_cast<Time>(std::clamp(real("hold", 60), 0.0, 1e6) * 1e6);
    p.canary.max_failure_increase =
        std::clamp(real("harm", p.canary.max_failure_increase), 0.0, 1.0);
    p.canary.promote_on_expiry = http::parameter(query, "then") == "go";
  }
  if (what == "/rollout") {
    std::istringstream words(body);
    std::string go;
    CanaryDecision v;
    if (!(words >> go >> v.version_number) || (go != "go" && go != "back")) {
      return {400, "say go or back, and the number of the version on trial\n"};
    }
    v.promote = go == "go";
    p.canary_decision = v;
  } else if (what == "/voters") {
    std::istringstream names(body);
    for (std::string n; names >> n && p.voters.size() <= kMaxVoters;) p.voters.push_back(n);
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
  return versions_view(agreement_->status(net::steady_now()), agreement_->lease_table(),
                       net::steady_now());
}

}  // namespace alderspur::control

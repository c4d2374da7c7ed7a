#include "app/cluster_service.h"

#include <rapidjson/document.h>
#include <sys/socket.h>

#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

#include "app/commands.h"
#include "app/json.h"
#include "cluster/epoch.h"

namespace alderspur::app {
namespace {

constexpr const char* kName = "cluster";
constexpr std::size_t kSecretLeast = 32;
constexpr time_t kAskTime = 3;     // seconds
constexpr char kReplica = '\xc1';  // before frames of copies: no message of versions begins so

std::string read_secret(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  auto secret = text.str();
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) secret.pop_back();
  if (!in) throw config::Error("cannot read the secret of the cluster, " + path);
  if (secret.size() < kSecretLeast)
    throw config::Error("the secret of the cluster, " + path +
                        ", has under 32 characters; use random ones");
  return secret;
}

void who(Writer& w, const cluster::GossipUpdate& r) {
  text(w, "name", r.identity.name), text(w, "address", r.identity.address),
      text(w, "point", r.identity.point);
  text(w, "version", r.identity.version);
  w.Key("epoch"), w.Uint64(r.identity.epoch), w.Key("incarnation"), w.Uint(r.incarnation);
  w.Key("share"), w.Double(r.identity.share), text(w, "state", cluster::to_string(r.state));
}

}  // namespace

std::string cluster_view(const cluster::Membership& m,
                         const cluster_transport::TransportCounters& link, core::Time now,
                         const std::function<void(Writer&)>& more) {
  rapidjson::StringBuffer out;
  Writer w(out);
  const auto& c = m.counters();
  w.StartObject();
  text(w, "whole", cluster::to_string(m.health()));
  w.Key("seen"), w.Uint64(m.live_count() + 1), w.Key("known"), w.Uint64(m.known_count() + 1);
  w.Key("doubt"), w.Int(m.local_health_score());
  w.Key("self"), w.StartObject();
  who(w, {m.self(), m.incarnation(), cluster::MemberState::alive, {}});
  w.EndObject();
  w.Key("members"), w.StartArray();
  for (const auto& s : m.members()) {
    w.StartObject();
    who(w, s.update);
    w.Key("for_ms"), w.Int64((now - s.state_since) / 1000);
    w.Key("heard_ms"), s.last_heard ? w.Int64((now - s.last_heard) / 1000) : w.Null();
    if (s.update.state == cluster::MemberState::suspect) text(w, "by", s.update.reported_by);
    w.EndObject();
  }
  w.EndArray();
  w.Key("counts"), w.StartObject();
  const std::pair<const char*, std::uint64_t> counts[] = {{"pings", c.pings},
                                                          {"asks", c.ping_requests},
                                                          {"gossips", c.gossips},
                                                          {"suspicions", c.suspicions},
                                                          {"failures", c.failures},
                                                          {"refutations", c.refutations},
                                                          {"conflicts", c.conflicts},
                                                          {"refused", c.rejected},
                                                          {"stalls", c.stalls},
                                                          {"datagrams_in", link.datagrams_in},
                                                          {"datagrams_out", link.datagrams_out},
                                                          {"bytes_in", link.bytes_in},
                                                          {"bytes_out", link.bytes_out},
                                                          {"exchanges", link.exchanges},
                                                          {"dropped", link.dropped}};
  for (const auto& [key, value] : counts) w.Key(key), w.Uint64(value);
  w.EndObject();
  if (more) more(w);
  w.EndObject();
  return std::string(out.GetString(), out.GetSize()) + "\n";
}

ClusterService::ClusterService(platform::EdgeRouter& node, const settings::Cluster& s,
                               log::Log& log)
    : node_(node), log_(log) {
  cluster_transport::TransportSettings link;
  link.cluster = s.name, link.listen = s.listen, link.seeds = s.seeds, link.advertise = s.advertise,
  link.membership = s.membership;
  link.secret = read_secret(s.secret);
  cluster::Identity self;
  self.name = s.member.empty() ? node.config().name : s.member;
  self.point = s.point, self.share = s.share, self.version = ALDERSPUR_VERSION;
  if (self.name.empty())
    throw config::Error("this member of the cluster has no name: set [cluster] member");
  const auto epoch = cluster::next_epoch(s.state, net::unix_now());
  self.epoch = epoch.epoch;
  if (epoch.error != cluster::EpochError::none)
    log.record(kName, log::Level::warning, "epoch_unusable", {{"reason", epoch.reason}});
  cluster_transport::ClusterTransport::Hooks hooks;
  hooks.on_frame = [this](const std::string& from, std::string_view frame) {
    if (frame.starts_with(kReplica)) return replica_ ? replica_(from, frame.substr(1)) : void();
    if (frame_) frame_(from, frame);
  };
  hooks.on_member_changed = [this](const cluster::MemberChanged& c) {
    tell_members();
    log_.record(
        kName,
        c.update.state == cluster::MemberState::failed ? log::Level::warning : log::Level::info,
        "member",
        {{"name", c.update.identity.name},
         {"address", c.update.identity.address},
         {"state", cluster::to_string(c.update.state)},
         {"before", c.previous_state ? cluster::to_string(*c.previous_state) : "unknown"},
         {"by", c.update.reported_by},
         {"whole", cluster::to_string(link_ ? link_->membership().health()
                                            : cluster::ClusterHealth::isolated)}});
  };
  hooks.on_name_conflict = [this](const cluster::NameConflict& c) {
    log_.record(kName, log::Level::error, "two_of_one_name",
                {{"name", c.newer.name}, {"holds", c.newer.address}, {"older", c.older.address}});
  };
  hooks.on_superseded = [this](const cluster::Superseded& x) {
    log_.record(kName, log::Level::error, "superseded",
                {{"name", x.by.name}, {"by", x.by.address}});
  };
  hooks.on_dropped = [this](const char* kind, const std::string& from) {
    log_.record(kName, log::Level::warning, "dropped", {{"kind", kind}, {"from", from}});
  };
  std::random_device random;
  const std::uint64_t seed = (static_cast<std::uint64_t>(random()) << 32) ^ random();
  link_ = std::make_unique<cluster_transport::ClusterTransport>(
      node.loop(), node.deadlines(), [&node] { return node.engine().now(); }, link, self, seed,
      std::move(hooks));
  log.record(kName, log::Level::info, "listening",
             {{"address", net::to_string(link_->address())}, {"name", self.name}});
  node.add({[this] { link_->end_turn(); }, [this] { link_->leave(); },
            [this] { return link_->has_left(); }});
  node.on_cluster([this] { return view(); });
}

std::string ClusterService::view() const {
  return cluster_view(link_->membership(), link_->counters(), node_.engine().now(), more_);
}

void ClusterService::send_replica(const std::string& to, std::string_view frame) {
  link_->send_frame(to, kReplica + std::string(frame));
}

void ClusterService::on_members(std::function<void(const std::vector<std::string>&)> then) {
  members_.push_back(std::move(then));
  tell_members();
}
void ClusterService::tell_members() {
  if (members_.empty() || !link_) return;
  std::vector<std::string> names;
  for (const auto& s : link_->membership().members())
    if (cluster::is_live(s.update.state)) names.push_back(s.update.identity.name);
  for (const auto& then : members_) then(names);
}

Asked ask_operators(const std::string& address, const std::string& method,
                    const std::string& target, const std::string& body) {
  const auto at = net::parse_address(address);
  if (!at) return {};
  const net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval limit{kAskTime, 0};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&*at), sizeof *at) < 0) return {};
  const std::string request = method + " " + target +
                              " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
                              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  for (std::size_t sent = 0; sent < request.size();) {
    const ssize_t n = ::send(fd.get(), request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return {};
    sent += static_cast<std::size_t>(n);
  }
  std::string in;
  char buffer[16384];
  for (ssize_t n; (n = ::recv(fd.get(), buffer, sizeof buffer, 0)) > 0;)
    in.append(buffer, static_cast<std::size_t>(n));
  const auto head = in.find("\r\n\r\n");
  if (head == std::string::npos || !in.starts_with("HTTP/1.1 ")) return {};
  return {std::atoi(in.c_str() + 9), in.substr(head + 4)};
}

int cluster_members(const std::string& address, bool json) {
  if (!net::parse_address(address))
    return std::fprintf(stderr, "alderspur: '%s' is no address\n", address.c_str()), kUsage;
  const auto [status, view] = ask_operators(address, "GET", "/control/cluster");
  if (!status)
    return std::fprintf(stderr, "alderspur: nobody answers at %s\n", address.c_str()), kFinding;
  rapidjson::Document j;
  j.Parse<rapidjson::kParseIterativeFlag>(view.c_str());
  if (status != 200 || j.HasParseError() || !j.IsObject() || !j.HasMember("members"))
    return std::fprintf(stderr, "alderspur: %s has no cluster: %s", address.c_str(), view.c_str()),
           kFinding;
  if (json) return std::fputs(view.c_str(), stdout), kYes;
  const auto line = [](const rapidjson::Value& m, const char* state, const std::string& since) {
    std::printf("%-24s %-22s %-10s %-8s %8s\n", m["name"].GetString(), m["address"].GetString(),
                m["point"].GetString(), state, since.c_str());
  };
  std::printf("%s: %llu of %llu seen\n", j["whole"].GetString(),
              static_cast<unsigned long long>(j["seen"].GetUint64()),
              static_cast<unsigned long long>(j["known"].GetUint64()));
  line(j["self"], "this", "");
  for (const auto& m : j["members"].GetArray())
    line(m, m["state"].GetString(), std::to_string(m["for_ms"].GetInt64() / 1000) + " s");
  return std::string_view(j["whole"].GetString()) == "whole" ? kYes : kFinding;
}

}  // namespace alderspur::app

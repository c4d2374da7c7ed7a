// The view of versions as JSON, and the commands that ask for it.
#include <rapidjson/document.h>
#include <unistd.h>

#include <cstdio>

#include "app/commands.h"
#include "app/consensus_service.h"
#include "app/json.h"
#include "app/operator_client.h"

namespace alderspur::app {
namespace {

using namespace alderspur::consensus;  // NOLINT(google-build-using-namespace): all of its messages
                                       // are handled here

void version(Writer& w, const char* key, const Version& v, const char* state) {
  if (key) w.Key(key);
  w.StartObject();
  w.Key("number"), w.Uint64(v.number), text(w, "digest", v.digest), w.Key("base"),
      w.Uint64(v.base_number);
  text(w, "author", v.author), text(w, "note", v.note), w.Key("bytes"), w.Uint64(v.content_size);
  text(w, "state", state);
  if (v.is_canary()) {
    w.Key("first"), w.StartArray();
    for (const auto& n : v.canary.routers) w.String(n.c_str());
    w.EndArray();
  }
  w.EndObject();
}

}  // namespace

std::string versions_view(const NodeStatus& v, const LeaseTable& book, Time now) {
  rapidjson::StringBuffer out;
  Writer w(out);
  w.StartObject();
  version(w, "acting", v.active.version, v.active.is_conservative ? "careful" : "leased");
  w.Key("lease_ms"), w.Int64(v.lease_left / 1000);
  w.Key("heard"), w.Uint64(v.active.newer_contents.size());
  w.Key("share_all"), w.Double(v.active.total_share), w.Key("share_point"),
      w.Double(v.active.location_share);
  if (v.pending) version(w, "pending", *v.pending, v.is_pending_accepted ? "agreed" : "offered");
  text(w, "part", role_name(v.role)), text(w, "leader", v.leader);
  w.Key("leads"), w.Bool(v.is_leader), w.Key("term"), w.Uint64(v.term), w.Key("log"),
      w.Uint64(v.last_log_index);
  text(w, "trouble", v.fault);
  w.Key("voters"), w.StartArray();
  for (const auto& n : v.voters) w.String(n.c_str());
  w.EndArray();
  w.Key("behind"), w.StartArray();
  for (const auto& n : v.routers_behind) w.String(n.c_str());
  w.EndArray();
  if (v.is_leader) {
    w.Key("holders"), w.StartArray();
    for (const auto& [name, h] : book.holders()) {
      w.StartObject();
      text(w, "name", name), w.Key("acting"), w.Uint64(h.active_number), w.Key("holds"),
          w.Uint64(h.stored_number);
      w.Key("heard_ms"), w.Int64((now - h.last_request_at) / 1000), w.Key("share"),
          w.Double(h.total_share);
      if (h.rejected_number) text(w, "refused", h.rejection_reason);
      w.EndObject();
    }
    w.EndArray();
  }
  w.Key("history"), w.StartArray();
  for (const auto& past : v.history) version(w, nullptr, past.version, past.outcome.c_str());
  w.EndArray(), w.EndObject();
  return std::string(out.GetString(), out.GetSize()) + "\n";
}

namespace {

int say(const std::string& what, int code) {
  return std::fprintf(stderr, "alderspur: %s\n", what.c_str()), code;
}

// Follows a proposal to its end.
int follow(const std::string& at, const Asked& asked) {
  if (asked.status == 0) return say("nobody answers at " + at, kFinding);
  if (asked.status != 202) return say(asked.text, kFinding);
  const auto nonce = asked.text.substr(0, asked.text.find('\n'));
  for (int i = 0; i < 250; ++i) {
    const auto word = ask_operators(at, "GET", "/control/versions/proposals/" + nonce);
    if (word.status == 200) {
      std::fputs(word.text.c_str(), stdout);
      return word.text.starts_with("yes") ? kYes : kFinding;
    }
    ::usleep(100'000);
  }
  return say("no word on it; ask for the versions", kFinding);
}

}  // namespace

int cluster_propose(const std::string& at, const std::vector<std::string>& documents,
                    const std::string& author, const std::string& base, const TrialOptions& trial) {
  Content content;
  for (const auto& d : documents) {
    const auto eq = d.find('=');
    try {
      if (eq == std::string::npos) throw config::Error("it names no file");
      content[d.substr(0, eq)] = config::read_text(d.substr(eq + 1));
    } catch (const config::Error&) {
      return say("cannot read '" + d + "'; write NAME=FILE, such as servers=servers.toml", kUsage);
    }
  }
  std::string target = "/control/versions?author=" + consensus::to_printable(author, 40);
  std::replace(target.begin(), target.end(), ' ', '_');
  if (!base.empty()) target += "&base=" + base;
  if (!trial.first.empty()) {
    target += "&first=" + trial.first + "&hold=" + trial.hold + "&harm=" + trial.harm +
              (trial.go_on ? "&then=go" : "");
  }
  return follow(at, ask_operators(at, "PUT", target, encode(content)));
}

int cluster_voters(const std::string& at, const std::vector<std::string>& names) {
  std::string body;
  for (const auto& n : names) body += n + "\n";
  return follow(at, ask_operators(at, "PUT", "/control/versions/voters", body));
}

int cluster_rollout(const std::string& at, const std::string& word, const std::string& number) {
  return follow(at, ask_operators(at, "PUT", "/control/versions/rollout", word + " " + number));
}

int cluster_versions(const std::string& at, bool json) {
  const auto asked = ask_operators(at, "GET", "/control/versions");
  if (asked.status != 200) {
    return say(asked.status ? asked.text : "nobody answers at " + at, kFinding);
  }
  if (json) return std::fputs(asked.text.c_str(), stdout), kYes;
  rapidjson::Document j;
  j.Parse<rapidjson::kParseIterativeFlag>(asked.text.c_str());
  if (j.HasParseError() || !j.IsObject()) return say("an answer that cannot be read", kFinding);
  const auto line = [](const char* what, const rapidjson::Value& v) {
    std::printf("%-8s %6llu  %-12s by %-16s from %llu  %s\n", what,
                static_cast<unsigned long long>(v["number"].GetUint64()), v["state"].GetString(),
                v["author"].GetString(), static_cast<unsigned long long>(v["base"].GetUint64()),
                v["note"].GetString());
    if (v.HasMember("first")) {
      for (const auto& n : v["first"].GetArray()) {
        std::printf("         on trial at %s\n", n.GetString());
      }
    }
  };
  line("acting", j["acting"]);
  if (j.HasMember("pending")) line("pending", j["pending"]);
  for (const auto& h : j["history"].GetArray()) line("past", h);
  for (const auto& n : j["behind"].GetArray()) std::printf("behind   %s\n", n.GetString());
  std::printf("%s, leader %s, lease %lld ms %s\n", j["part"].GetString(), j["leader"].GetString(),
              static_cast<long long>(j["lease_ms"].GetInt64()), j["trouble"].GetString());
  return std::string_view(j["acting"]["state"].GetString()) == "leased" ? kYes : kFinding;
}

int cluster_diff(const std::string& at, const std::string& a, const std::string& b) {
  std::optional<Content> contents[2];
  for (int i = 0; i < 2; ++i) {
    const auto asked = ask_operators(at, "GET", "/control/versions/content/" + (i ? b : a));
    if (asked.status == 200) contents[i] = decode_content(asked.text);
    if (!contents[i]) return say(asked.status ? asked.text : "nobody answers at " + at, kFinding);
  }
  const auto lines = describe_changes(*contents[0], *contents[1]);
  for (const auto& l : lines) std::puts(l.c_str());
  return lines.empty() ? kYes : kFinding;
}

}  // namespace alderspur::app

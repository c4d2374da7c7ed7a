// `alderspur cluster propose`, `voters`, `rollout`, `versions` and `diff`: the commands on
// versions.
#include <rapidjson/document.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <optional>

#include "cli/commands.h"
#include "cli/operator_client.h"
#include "config/config.h"
#include "consensus/messages.h"
#include "consensus/version.h"

namespace alderspur::cli {

using consensus::Content;

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
  return follow(at, ask_operators(at, "PUT", target, consensus::encode(content)));
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
    if (asked.status == 200) contents[i] = consensus::decode_content(asked.text);
    if (!contents[i]) return say(asked.status ? asked.text : "nobody answers at " + at, kFinding);
  }
  const auto lines = consensus::describe_changes(*contents[0], *contents[1]);
  for (const auto& l : lines) std::puts(l.c_str());
  return lines.empty() ? kYes : kFinding;
}

}  // namespace alderspur::cli

// `alderspur cluster propose`, `voters`, `rollout`, `versions` and `diff`: propose, list and
// compare versions.
#include <rapidjson/document.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <string_view>

#include "cli/commands.h"
#include "cli/operator_client.h"
#include "config/config.h"
#include "consensus/messages.h"
#include "consensus/version.h"

namespace alderspur::cli {
namespace {

constexpr const char* kVersionsPath = "/control/versions";
constexpr std::size_t kMaxAuthorLength = 40;
constexpr int kMaxResultPolls = 250;
constexpr useconds_t kPollInterval = 100'000;  // microseconds

int fail(const std::string& message, int exit_code) {
  std::fprintf(stderr, "alderspur: %s\n", message.c_str());
  return exit_code;
}

int fail_without_reply(const std::string& address) {
  return fail("no router replied at " + address, kFinding);
}

/// Prints an error for a reply that does not contain the requested content.
int fail_with(const OperatorReply& reply, const std::string& address) {
  return reply.status == 0 ? fail_without_reply(address) : fail(reply.body, kFinding);
}

/// Polls the router until a proposal has been decided, and prints the result. `reply` is the reply
/// to the proposal; its first line is the nonce of the proposal.
int follow_proposal(const std::string& address, const OperatorReply& reply) {
  if (reply.status != kHttpAccepted) return fail_with(reply, address);
  const std::string nonce = reply.body.substr(0, reply.body.find('\n'));
  const std::string target = std::string(kVersionsPath) + "/proposals/" + nonce;
  for (int poll = 0; poll < kMaxResultPolls; ++poll) {
    const OperatorReply result = call_operators(address, "GET", target);
    if (result.status == kHttpOk) {
      std::fputs(result.body.c_str(), stdout);
      return result.body.starts_with("yes") ? kSuccess : kFinding;
    }
    ::usleep(kPollInterval);
  }
  return fail(
      "the result is not available yet; list the versions to see whether the proposal was accepted",
      kFinding);
}

/// Reads documents of the form "NAME=FILE". If a file cannot be read, prints an error message and
/// returns nullopt.
std::optional<consensus::Content> read_documents(const std::vector<std::string>& documents) {
  consensus::Content content;
  for (const auto& document : documents) {
    const auto equals = document.find('=');
    try {
      if (equals == std::string::npos) throw config::Error("the document has no file name");
      content[document.substr(0, equals)] = config::read_text(document.substr(equals + 1));
    } catch (const config::Error&) {
      fail("cannot read '" + document + "'; write NAME=FILE, such as servers=servers.toml", kUsage);
      return std::nullopt;
    }
  }
  return content;
}

std::string proposal_target(const std::string& author, const std::string& base,
                            const CanaryOptions& canary) {
  std::string target =
      std::string(kVersionsPath) + "?author=" + consensus::to_printable(author, kMaxAuthorLength);
  std::replace(target.begin(), target.end(), ' ', '_');
  if (!base.empty()) target += "&base=" + base;
  if (canary.routers.empty()) return target;
  target += "&first=" + canary.routers + "&hold=" + canary.seconds + "&harm=" + canary.max_harm;
  if (canary.promote_on_expiry) target += "&then=go";
  return target;
}

void print_version(const char* label, const rapidjson::Value& version) {
  std::printf("%-8s %6llu  %-12s by %-16s from %llu  %s\n", label,
              static_cast<unsigned long long>(version["number"].GetUint64()),
              version["state"].GetString(), version["author"].GetString(),
              static_cast<unsigned long long>(version["base"].GetUint64()),
              version["note"].GetString());
  if (!version.HasMember("first")) return;
  for (const auto& name : version["first"].GetArray()) {
    std::printf("         on trial at %s\n", name.GetString());
  }
}

void print_versions(const rapidjson::Document& view) {
  print_version("acting", view["acting"]);
  if (view.HasMember("pending")) print_version("pending", view["pending"]);
  for (const auto& past : view["history"].GetArray()) print_version("past", past);
  for (const auto& name : view["behind"].GetArray()) std::printf("behind   %s\n", name.GetString());
  std::printf("%s, leader %s, lease %lld ms %s\n", view["part"].GetString(),
              view["leader"].GetString(), static_cast<long long>(view["lease_ms"].GetInt64()),
              view["trouble"].GetString());
}

}  // namespace

int cluster_propose(const std::string& address, const std::vector<std::string>& documents,
                    const std::string& author, const std::string& base,
                    const CanaryOptions& canary) {
  const auto content = read_documents(documents);
  if (!content) return kUsage;
  const std::string target = proposal_target(author, base, canary);
  return follow_proposal(address,
                         call_operators(address, "PUT", target, consensus::encode(*content)));
}

int cluster_voters(const std::string& address, const std::vector<std::string>& names) {
  std::string body;
  for (const auto& name : names) body += name + "\n";
  const std::string target = std::string(kVersionsPath) + "/voters";
  return follow_proposal(address, call_operators(address, "PUT", target, body));
}

int cluster_rollout(const std::string& address, const std::string& verdict,
                    const std::string& number) {
  const std::string target = std::string(kVersionsPath) + "/rollout";
  return follow_proposal(address, call_operators(address, "PUT", target, verdict + " " + number));
}

int cluster_versions(const std::string& address, bool json) {
  const OperatorReply reply = call_operators(address, "GET", kVersionsPath);
  if (reply.status != kHttpOk) return fail_with(reply, address);
  if (json) {
    std::fputs(reply.body.c_str(), stdout);
    return kSuccess;
  }
  rapidjson::Document view;
  view.Parse<rapidjson::kParseIterativeFlag>(reply.body.c_str());
  if (view.HasParseError() || !view.IsObject()) {
    return fail("the router's reply is not valid JSON", kFinding);
  }
  print_versions(view);
  return std::string_view(view["acting"]["state"].GetString()) == "leased" ? kSuccess : kFinding;
}

int cluster_diff(const std::string& address, const std::string& from, const std::string& to) {
  std::vector<consensus::Content> contents;
  for (const auto& number : {from, to}) {
    const std::string target = std::string(kVersionsPath) + "/content/" + number;
    const OperatorReply reply = call_operators(address, "GET", target);
    auto content = reply.status == kHttpOk ? consensus::decode_content(reply.body) : std::nullopt;
    if (!content) return fail_with(reply, address);
    contents.push_back(std::move(*content));
  }
  const auto changes = consensus::describe_changes(contents[0], contents[1]);
  for (const auto& change : changes) std::puts(change.c_str());
  return changes.empty() ? kSuccess : kFinding;
}

}  // namespace alderspur::cli

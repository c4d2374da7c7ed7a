// `alderspur cluster members`: prints the members of a cluster as listed by one router.
#include <rapidjson/document.h>

#include <cstdio>
#include <string>
#include <string_view>

#include "cli/commands.h"
#include "cli/operator_client.h"
#include "net/connection.h"

namespace alderspur::cli {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1'000;

void print_member(const rapidjson::Value& member, const char* state, const std::string& duration) {
  std::printf("%-24s %-22s %-10s %-8s %8s\n", member["name"].GetString(),
              member["address"].GetString(), member["point"].GetString(), state, duration.c_str());
}

void print_view(const rapidjson::Document& view) {
  std::printf("%s: %llu of %llu seen\n", view["whole"].GetString(),
              static_cast<unsigned long long>(view["seen"].GetUint64()),
              static_cast<unsigned long long>(view["known"].GetUint64()));
  print_member(view["self"], "this", "");
  for (const auto& member : view["members"].GetArray()) {
    const auto seconds = member["for_ms"].GetInt64() / kMillisecondsPerSecond;
    print_member(member, member["state"].GetString(), std::to_string(seconds) + " s");
  }
}

}  // namespace

int cluster_members(const std::string& address, bool json) {
  if (!net::parse_address(address)) {
    std::fprintf(stderr, "alderspur: '%s' is not a valid address\n", address.c_str());
    return kUsage;
  }
  const OperatorReply reply = call_operators(address, "GET", "/control/cluster");
  if (reply.status == 0) {
    std::fprintf(stderr, "alderspur: no router replied at %s\n", address.c_str());
    return kFinding;
  }
  rapidjson::Document view;
  view.Parse<rapidjson::kParseIterativeFlag>(reply.body.c_str());
  if (reply.status != kHttpOk || view.HasParseError() || !view.IsObject() ||
      !view.HasMember("members")) {
    std::fprintf(stderr, "alderspur: the router at %s did not return cluster members: %s",
                 address.c_str(), reply.body.c_str());
    return kFinding;
  }
  if (json) {
    std::fputs(reply.body.c_str(), stdout);
    return kSuccess;
  }
  print_view(view);
  return std::string_view(view["whole"].GetString()) == "whole" ? kSuccess : kFinding;
}

}  // namespace alderspur::cli

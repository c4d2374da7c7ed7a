// Builds and reads the text form of server lists, for tests.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "endpoints/check.h"
#include "endpoints/list.h"

namespace alderspur::endpoints {

constexpr core::Time kSecond = 1'000'000;
constexpr core::Time kStart = 1'000'000 * kSecond;

/// The values of one server in a list's text.
struct ServerText {
  std::string id;
  std::string address;
  std::string state = "in_service";
  std::string weight = "4.0";
  std::string location = "edge-1";
  std::string role = "cache";
};

/// Returns the text of a list with the hub `hub` and the points `edge-1` and `edge-2`. `extra_head`
/// contains further lines for the head.
inline std::string list_text(std::uint64_t generation, const std::vector<ServerText>& servers,
                             const std::string& extra_head = "") {
  std::string text = "format = 1\ngeneration = " + std::to_string(generation) +
                     "\nservers = " + std::to_string(servers.size()) + "\n" + extra_head +
                     "[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge-1\"\nhub = \"hub\"\n"
                     "[[point]]\nname = \"edge-2\"\nhub = \"hub\"\n";
  for (const auto& server : servers) {
    text += "[[server]]\nid = \"" + server.id + "\"\nrole = \"" + server.role + "\"\n";
    text += server.role == "cache" ? "point" : "hub";
    text += " = \"" + server.location + "\"\naddress = \"" + server.address +
            "\"\nweight = " + server.weight + "\nstate = \"" + server.state + "\"\ncell = 0\n";
  }
  return text;
}

/// Returns the caches a and b at edge-1, the cache c at edge-2, and the origin o.
inline std::vector<ServerText> default_servers() {
  return {{"a", "127.0.0.1:1"},
          {"b", "127.0.0.1:2"},
          {"c", "127.0.0.1:3", "in_service", "4.0", "edge-2"},
          {"o", "127.0.0.1:9", "in_service", "10", "hub", "origin"}};
}

/// Reads and validates a list. Returns null, with findings, if it is rejected.
inline SnapshotPtr read_checked(const std::string& text, diagnostics::Findings& findings,
                                const Snapshot* active = nullptr) {
  auto result = read_list(text, "servers.toml", kStart, {}, findings);
  if (!result.list) return nullptr;
  check_alone(*result.list, findings);
  check_change(active, *result.list, {}, findings);
  return findings.is_ok() ? result.list : nullptr;
}

/// Reads a list that must be valid. The test fails if it is rejected.
inline SnapshotPtr read_valid(const std::string& text) {
  diagnostics::Findings findings;
  auto list = read_checked(text, findings);
  for (const auto& finding : findings.list()) ADD_FAILURE() << diagnostics::to_string(finding);
  return list;
}

/// Returns the text with the first occurrence of `old_text` replaced. The test fails if there is
/// none.
inline std::string replace_first(std::string text, const std::string& old_text,
                                 const std::string& new_text) {
  const auto begin = text.find(old_text);
  EXPECT_NE(begin, std::string::npos) << old_text;
  return text.replace(begin, old_text.size(), new_text);
}

}  // namespace alderspur::endpoints

// What routers agree on: a content of named documents, and the version that stands for it.
//
// A content is taken whole: lists of servers, programs of routes, the shared part of the settings,
// each a text under its name. A version names a content by its digest (SHA-256 over all names and
// texts), carries a number that never goes back, and says whose it is and what it was made from.
// Values; no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::consensus {

using core::Time;

constexpr std::size_t kMaxContentBytes = 16 << 20, kMaxDocuments = 64, kMaxNoteLength = 200;
constexpr Time kMaxCanaryDuration = 86'400'000'000;

using Content = std::map<std::string, std::string, std::less<>>;  // text by document
using ContentPtr = std::shared_ptr<const Content>;

std::string encode(const Content& content);
// Empty: no content of this form, or beyond the bounds.
std::optional<Content> decode_content(std::string_view bytes);
std::string content_digest(std::string_view encoded);  // 64 hexadecimal digits

// A version that holds for some routers first. It goes on to all, or is taken back: by an
// operator's word, by what the first ones see (`harm`), or when its time is over.
struct CanaryRollout {
  std::vector<std::string> routers;  // members' names; none: no trial
  Time duration = 0;
  double max_failure_increase =
      0.05;                        // of requests ended badly there, over that elsewhere: taken back
  bool promote_on_expiry = false;  // when its time is over without harm; else it is taken back
  explicit operator bool() const { return !routers.empty(); }
  bool operator==(const CanaryRollout&) const = default;
};

struct Version {
  std::uint64_t number = 0;        // 0: none
  std::string digest;              // of the encoded content
  std::uint64_t base_number = 0;   // the number it was made from
  std::uint64_t content_size = 0;  // of the encoded content
  std::string author, note;
  CanaryRollout canary;  // while it is one
  bool operator==(const Version&) const = default;
};

// What one content has otherwise than another, a line a document: "servers: 3 lines added, 1
// removed".
std::vector<std::string> describe_changes(const Content& from, const Content& to);

}  // namespace alderspur::consensus

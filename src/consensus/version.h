// The unit of agreement: a content (a set of named documents) and the version that stands for it.
//
// A content is replaced as a whole; its documents are endpoint lists, routing programs and the
// shared part of the settings, each a text under its name. A version identifies a content by its
// digest (SHA-256 over all names and texts) and carries a number that never decreases, its author
// and the number of the version it was derived from.
//
// Values only: no I/O, safe to copy between threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::consensus {

using core::Time;  // microseconds

constexpr std::size_t kMaxContentBytes = 16 << 20;  // of an encoded content
constexpr std::size_t kMaxDocuments = 64;           // of one content
constexpr std::size_t kMaxNoteLength = 200;         // of a note or a reason
constexpr Time kMaxCanaryDuration = 86'400'000'000;

using Content = std::map<std::string, std::string, std::less<>>;  // text by document name
using ContentPtr = std::shared_ptr<const Content>;

std::string encode(const Content& content);
/// Empty if the bytes are no encoded content or exceed the limits above.
std::optional<Content> decode_content(std::string_view bytes);
/// SHA-256 of an encoded content as 64 hexadecimal digits.
std::string content_digest(std::string_view encoded);

/// A version that applies to a few routers first. It is promoted to all routers or rolled back: by
/// an operator, because of failures at the canary routers, or when its time is over.
struct CanaryRollout {
  std::vector<std::string> routers;  // names of the canary routers; empty: no canary rollout
  Time duration = 0;
  double max_failure_increase = 0.05;  // failure ratio above that of the other routers: roll back
  bool promote_on_expiry = false;      // at the end of `duration`; otherwise it is rolled back

  bool is_active() const { return !routers.empty(); }
  bool includes(std::string_view router) const;
  bool operator==(const CanaryRollout&) const = default;
};

struct Version {
  std::uint64_t number = 0;  // 0: none
  std::string digest;        // of the encoded content
  std::uint64_t base_number = 0;
  std::uint64_t content_size = 0;  // bytes, encoded
  std::string author;
  std::string note;
  CanaryRollout canary;  // while the version is in a canary rollout

  bool is_canary() const { return canary.is_active(); }
  bool operator==(const Version&) const = default;
};

/// The differences of two contents, one line per document, such as
/// "servers: 3 lines added, 1 removed".
std::vector<std::string> describe_changes(const Content& from, const Content& to);

}  // namespace alderspur::consensus

// The unit of agreement: a content, which is a set of named documents, and the version that
// identifies it.
//
// A content is always replaced as a whole. Its documents are endpoint lists, routing programs and
// the shared part of the settings, each a text under its name. A version identifies a content by
// its digest (SHA-256 over all names and texts). It has a number that never decreases, an author,
// and the number of the version it was derived from.
//
// Plain values without I/O, safe to copy between threads.
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

constexpr std::size_t kMaxContentBytes = 16 << 20;   // of an encoded content
constexpr std::size_t kMaxDocuments = 64;            // of one content
constexpr std::size_t kMaxNoteLength = 200;          // bytes of a note or a reason
constexpr Time kMaxCanaryDuration = 86'400'000'000;  // one day

/// The text of each document by its name.
using Content = std::map<std::string, std::string, std::less<>>;
/// A content that several owners share and none of them changes.
using ContentPtr = std::shared_ptr<const Content>;

/// Encodes a content for messages and files.
std::string encode(const Content& content);
/// Decodes a content; empty if the bytes are not a valid encoding or exceed the limits above.
std::optional<Content> decode_content(std::string_view bytes);
/// Returns the SHA-256 of an encoded content as 64 hexadecimal digits.
std::string content_digest(std::string_view encoded);

/// The settings of a canary rollout, in which an accepted version first applies to a few routers.
/// The version is later promoted to all routers or rolled back: by an operator's decision, because
/// of failures at the canary routers, or at the end of its duration. Operators see a canary rollout
/// as a "trial".
struct CanaryRollout {
  std::vector<std::string> routers;  // names of the canary routers; empty: no canary rollout
  Time duration = 0;                 // microseconds
  // Rolled back if the failure ratio exceeds that of the other routers by more than this.
  double max_failure_increase = 0.05;
  bool promote_on_expiry = false;  // at the end of `duration`; if false, it is rolled back

  /// Returns true if there is a canary rollout.
  bool is_active() const { return !routers.empty(); }
  /// Returns true if the named router is a canary router.
  bool includes(std::string_view router) const;
  bool operator==(const CanaryRollout&) const = default;
};

/// The identity and the description of a content.
struct Version {
  std::uint64_t number = 0;        // 0: no version
  std::string digest;              // of the encoded content
  std::uint64_t base_number = 0;   // the version that it was derived from
  std::uint64_t content_size = 0;  // bytes of the encoded content
  std::string author;
  std::string note;
  CanaryRollout canary;  // while the version is in a canary rollout

  bool is_canary() const { return canary.is_active(); }
  bool operator==(const Version&) const = default;
};

/// Returns the differences between two contents, one line per changed document, such as
/// "servers: 3 lines added, 1 removed".
std::vector<std::string> describe_changes(const Content& from, const Content& to);

}  // namespace alderspur::consensus

// The conservative merge of endpoint lists, on which a router without a lease acts because it
// cannot know which of the lists applies. Pure functions.
//
// For each server, the merge takes the stricter value of each field: draining over in service, and
// the smaller weight. It does not use a server that is missing in one of the lists, or whose role,
// location, address or cell differs between two of them. A location that would be left without a
// server in service keeps the servers that the newest list has there, because the other routers are
// acting on that list by then.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "endpoints/list.h"

namespace alderspur::consensus {

/// Merges lists, at least one, which must be in the order of their versions.
endpoints::Snapshot merge_conservatively(const std::vector<endpoints::SnapshotPtr>& lists);

/// Returns the TOML text of a list with the given generation. The text also confirms this
/// generation, so that a reader accepts the list even if it is much smaller than the previous one.
std::string to_text(const endpoints::Snapshot& list, std::uint64_t generation);

/// The text of a merged list, or the error why the lists could not be merged.
class MergedListText {
 public:
  static MergedListText success(std::string text) { return {std::move(text), {}}; }
  static MergedListText failure(std::string error) { return {{}, std::move(error)}; }
  bool is_ok() const { return error_.empty(); }
  const std::string& text() const { return text_; }
  const std::string& error() const { return error_; }

 private:
  MergedListText(std::string text, std::string error)
      : text_(std::move(text)), error_(std::move(error)) {}
  std::string text_;
  std::string error_;
};

/// Merges lists given as texts, the newest one last. Fails if one of them is not a valid list.
/// Returns an empty text if there are no lists.
MergedListText merge_list_texts(const std::vector<std::string>& texts, std::uint64_t generation);

}  // namespace alderspur::consensus

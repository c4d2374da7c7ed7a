// The conservative merge of endpoint lists: what a router without a lease acts on, because it
// cannot know which of the lists applies. Pure functions.
//
// Field by field, the stricter value: a removed server is not used, draining wins over in service,
// and the smaller weight over the greater. A server that is missing in one list, or has different
// locations or addresses in two of them, is not used. A location that would be left without a
// server in service keeps what the newest list has there, because the other routers act on that by
// then.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "endpoints/list.h"

namespace alderspur::consensus {

/// `lists` in the order of their versions, at least one.
endpoints::Snapshot merge_conservatively(const std::vector<endpoints::SnapshotPtr>& lists);

/// A text that reads as that list, with this generation, which the text also confirms: it is meant
/// as it is, however much smaller than the list before.
std::string to_text(const endpoints::Snapshot& list, std::uint64_t generation);

/// The text of a merged list, or why there is none.
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

/// The merge of lists given as texts, the newest last. Fails if one of them cannot be read. No
/// lists give an empty text.
MergedListText merge_list_texts(const std::vector<std::string>& texts, std::uint64_t generation);

}  // namespace alderspur::consensus

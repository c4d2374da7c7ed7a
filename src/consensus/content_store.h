// The contents that a router holds, by digest, and fetching of those that it lacks from other
// routers, chunk by chunk, one content at a time. Disk and checker are outside: they are asked by
// actions and answer by events. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/node_context.h"

namespace alderspur::consensus {

class ContentStore {
 public:
  struct Entry {
    std::string bytes;   // encoded
    ContentPtr content;  // null: of a form that this program cannot read
    bool is_written = false;
    bool is_checked = false;
    bool is_valid = false;
    std::string rejection_reason;
    Time rewrite_at = 0;  // the disk has refused it; 0: it has not, or has yet to answer

    bool is_usable() const { return is_written && is_checked && is_valid; }
    bool is_rejected() const { return is_checked && !is_valid; }
  };
  /// Called when a content was written or checked, or cannot be.
  using StateChanged = std::function<void(const std::string& digest)>;

  ContentStore(NodeContext& context, StateChanged on_state_changed)
      : context_(context), on_state_changed_(std::move(on_state_changed)) {}

  /// Contents that were found on the disk; those that do not match their digest are ignored.
  void load(const std::map<std::string, std::string>& encoded_by_digest);
  /// A new content, to be written and checked.
  void add(const std::string& digest, std::string bytes);
  bool contains(const std::string& digest) const { return entries_.contains(digest); }
  const Entry* find(const std::string& digest) const;
  /// Null if there is none, or it cannot be read.
  ContentPtr content(const std::string& digest) const;
  /// True if the version's content is written and checked here.
  bool is_usable(const Version& version) const;

  void on_written(const ContentWritten& event);
  void on_checked(const ContentChecked& event);
  void retry_writes();

  /// Begins to fetch a version's content unless it is here or on its way. Only the content of the
  /// current version displaces another fetch.
  void request(const Version& version, bool is_current);
  bool is_fetch_due() const { return fetch_ && context_.now() >= fetch_->retry_at; }
  /// Asks the next one of these routers for the next chunk.
  void fetch_from(const std::vector<std::string>& sources);
  void on_fetch_request(const std::string& from, const FetchRequest& request);
  void on_chunk(const std::string& from, const ContentChunk& chunk);

  /// Deletes contents until kMaxStoredContents are left, except for those in use.
  void delete_unused(const std::function<bool(const std::string& digest)>& is_in_use);
  std::size_t size() const { return entries_.size(); }
  /// The next time at which retry_writes() or fetch_from() has something to do; the maximum if
  /// none.
  Time next_deadline() const;

 private:
  struct Fetch {
    std::string digest;
    std::string bytes;            // received so far
    std::size_t next_source = 0;  // into the sources, modulo their number
    Time retry_at = 0;
  };

  NodeContext& context_;
  StateChanged on_state_changed_;
  std::map<std::string, Entry> entries_;
  std::optional<Fetch> fetch_;
};

}  // namespace alderspur::consensus

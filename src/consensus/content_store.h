// The contents that a router stores, by digest. Missing contents are fetched from other routers in
// chunks, one content at a time. Disk access and validation happen outside this class: it requests
// them by actions and receives the results as events. Not thread-safe.
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

/// The contents of one router. `context` must outlive this object.
class ContentStore {
 public:
  /// The state of one content.
  struct Entry {
    std::string bytes;   // encoded
    ContentPtr content;  // null: the encoding is not supported by this build
    bool is_written = false;
    bool is_checked = false;
    bool is_valid = false;
    std::string rejection_reason;
    Time rewrite_at = 0;  // the time to retry a failed write; 0: no write has failed

    bool is_usable() const { return is_written && is_checked && is_valid; }
    bool is_rejected() const { return is_checked && !is_valid; }
  };
  /// Called after each write or check of a content, successful or not.
  using StateChanged = std::function<void(const std::string& digest)>;

  ContentStore(NodeContext& context, StateChanged on_state_changed)
      : context_(context), on_state_changed_(std::move(on_state_changed)) {}

  /// Adds the contents loaded from the disk. Contents that do not match their digest are ignored.
  void load(const std::map<std::string, std::string>& encoded_by_digest);
  /// Adds a new content and requests its write and its check.
  void add(const std::string& digest, std::string bytes);
  bool contains(const std::string& digest) const { return entries_.contains(digest); }
  /// Returns the entry of a content; null if there is none.
  const Entry* find(const std::string& digest) const;
  /// Returns a decoded content; null if there is none or its encoding is not supported.
  ContentPtr content(const std::string& digest) const;
  /// Returns true if the version's content has been written to the disk and found valid here.
  bool is_usable(const Version& version) const;

  /// Handle the results of a write and of a check.
  void on_written(const ContentWritten& event);
  void on_checked(const ContentChecked& event);
  /// Repeats the failed writes whose retry is due.
  void retry_writes();

  /// Begins to fetch a version's content unless it is already stored or being fetched. Only the
  /// content of the current version replaces another fetch in progress.
  void request(const Version& version, bool is_current);
  bool is_fetch_due() const { return fetch_ && context_.now() >= fetch_->retry_at; }
  /// Requests the next chunk from the next one of `sources`. A fetch must be in progress.
  void fetch_from(const std::vector<std::string>& sources);
  /// Sends the requested chunk, or a ContentChunk without bytes if the content is not stored here.
  void on_fetch_request(const std::string& from, const FetchRequest& request);
  /// Handles a chunk of the content being fetched. Adds the content once it is complete.
  void on_chunk(const std::string& from, const ContentChunk& chunk);

  /// Deletes contents that are not in use until at most kMaxStoredContents are left.
  void delete_unused(const std::function<bool(const std::string& digest)>& is_in_use);
  std::size_t size() const { return entries_.size(); }
  /// Returns the next time at which retry_writes() or fetch_from() has work to do; the maximum if
  /// there is none.
  Time next_deadline() const;

 private:
  struct Fetch {
    std::string digest;
    std::string bytes;            // received so far
    std::size_t next_source = 0;  // index into the sources, modulo their number
    Time retry_at = 0;
  };

  NodeContext& context_;
  StateChanged on_state_changed_;
  std::map<std::string, Entry> entries_;
  std::optional<Fetch> fetch_;
};

}  // namespace alderspur::consensus

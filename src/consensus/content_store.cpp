#include "consensus/content_store.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace alderspur::consensus {
namespace {

constexpr Time kChunkTimeout = 400'000;     // then the chunk is requested from the next source
constexpr Time kNextSourceDelay = 20'000;   // after a source without the content
constexpr Time kRewriteInterval = 500'000;  // after a failed write
constexpr Time kNever = std::numeric_limits<Time>::max();
// A fetch starts at a random one of this many first sources.
constexpr std::uint64_t kSourceOffsets = 4;

}  // namespace

void ContentStore::load(const std::map<std::string, std::string>& encoded_by_digest) {
  for (const auto& [digest, bytes] : encoded_by_digest) {
    auto content = decode_content(bytes);
    if (!content || content_digest(bytes) != digest) continue;
    Entry& entry = entries_[digest];
    entry.bytes = bytes;
    entry.content = std::make_shared<const Content>(std::move(*content));
    entry.is_written = true;
    entry.is_checked = true;
    entry.is_valid = true;
  }
}

void ContentStore::add(const std::string& digest, std::string bytes) {
  auto content = decode_content(bytes);
  Entry& entry = entries_[digest];
  if (entry.content || entry.is_checked) return;
  entry.bytes = std::move(bytes);
  if (!content) {
    entry.is_checked = true;
    entry.rejection_reason = "of a form that this program does not know";
    on_state_changed_(digest);
    return;
  }
  entry.content = std::make_shared<const Content>(std::move(*content));
  context_.add_action(WriteContent{digest, entry.bytes});
  context_.add_action(CheckContent{digest, entry.content});
}

const ContentStore::Entry* ContentStore::find(const std::string& digest) const {
  const auto found = entries_.find(digest);
  return found == entries_.end() ? nullptr : &found->second;
}

ContentPtr ContentStore::content(const std::string& digest) const {
  const Entry* entry = find(digest);
  return entry ? entry->content : nullptr;
}

bool ContentStore::is_usable(const Version& version) const {
  const Entry* entry = find(version.digest);
  return version.number != 0 && entry && entry->is_usable();
}

void ContentStore::on_written(const ContentWritten& event) {
  const auto found = entries_.find(event.digest);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.is_written = event.is_ok;
  if (event.is_ok) {
    entry.rewrite_at = 0;
  } else {
    if (entry.rewrite_at == 0) {
      context_.log("not_kept", "the content " + event.digest + " could not be written to the disk");
    }
    // A write to a full disk fails at once. Without a delay, the retries would waste CPU time.
    entry.rewrite_at = context_.now() + kRewriteInterval;
  }
  on_state_changed_(event.digest);
}

void ContentStore::retry_writes() {
  for (auto& [digest, entry] : entries_) {
    if (entry.rewrite_at == 0 || context_.now() < entry.rewrite_at) continue;
    entry.rewrite_at = kNever;  // until the result of the write arrives
    context_.add_action(WriteContent{digest, entry.bytes});
  }
}

void ContentStore::on_checked(const ContentChecked& event) {
  const auto found = entries_.find(event.digest);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.is_checked = true;
  entry.is_valid = event.is_valid;
  entry.rejection_reason = to_printable(event.reason, kMaxNoteLength);
  on_state_changed_(event.digest);
}

void ContentStore::request(const Version& version, bool is_current) {
  if (version.number == 0 || contains(version.digest)) return;
  if (fetch_ && fetch_->digest == version.digest) return;
  if (fetch_ && !is_current) return;
  fetch_ = Fetch{version.digest, {}, context_.random_number() % kSourceOffsets, 0};
}

void ContentStore::fetch_from(const std::vector<std::string>& sources) {
  fetch_->retry_at = context_.now() + kChunkTimeout;
  if (sources.empty()) return;
  const std::string& source = sources[fetch_->next_source++ % sources.size()];
  context_.send(source, FetchRequest{fetch_->digest, fetch_->bytes.size()});
}

void ContentStore::on_fetch_request(const std::string& from, const FetchRequest& request) {
  const Entry* entry = find(request.digest);
  ContentChunk chunk{request.digest, request.offset, 0, {}};
  if (entry && request.offset < entry->bytes.size()) {
    chunk.total_size = entry->bytes.size();
    chunk.bytes = entry->bytes.substr(request.offset, kMaxChunkBytes);
  }
  context_.send(from, chunk);
}

void ContentStore::on_chunk(const std::string& from, const ContentChunk& chunk) {
  if (!fetch_ || chunk.digest != fetch_->digest || chunk.offset != fetch_->bytes.size()) return;
  if (chunk.total_size == 0) {
    fetch_->retry_at = std::min(fetch_->retry_at, context_.now() + kNextSourceDelay);
    return;
  }
  fetch_->bytes += chunk.bytes;
  if (fetch_->bytes.size() < chunk.total_size && fetch_->bytes.size() <= kMaxContentBytes) {
    fetch_->retry_at = context_.now() + kChunkTimeout;
    context_.send(from, FetchRequest{chunk.digest, fetch_->bytes.size()});
    return;
  }
  Fetch finished = std::move(*fetch_);
  fetch_.reset();
  if (content_digest(finished.bytes) != finished.digest) {
    // The content is requested again at the next opportunity.
    context_.log("content_spoilt", "a fetched content does not match its digest, from " + from);
    return;
  }
  add(finished.digest, std::move(finished.bytes));
}

void ContentStore::delete_unused(const std::function<bool(const std::string& digest)>& is_in_use) {
  for (auto entry = entries_.begin();
       entry != entries_.end() && entries_.size() > kMaxStoredContents;) {
    if (is_in_use(entry->first)) {
      ++entry;
      continue;
    }
    context_.add_action(DeleteContent{entry->first});
    entry = entries_.erase(entry);
  }
}

Time ContentStore::next_deadline() const {
  Time next = fetch_ ? fetch_->retry_at : kNever;
  for (const auto& [digest, entry] : entries_) {
    if (entry.rewrite_at != 0) next = std::min(next, entry.rewrite_at);
  }
  return next;
}

}  // namespace alderspur::consensus

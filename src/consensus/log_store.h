// A voter's term, vote, log and snapshot on the disk: one SQLite file, in which each write is one
// synced transaction, and which is verified when it is loaded. Blocks on the disk: to be used on
// one worker thread, never on the event loop's.
//
// What a disk may do, and how it is detected: a record that was altered, torn or lost, by its
// checksum (XXH3 over the record and the checksum before it, so that a gap or a stale record is
// found as well); a database restored from an earlier time, by the mark, a second small file that
// counts the writes and is replaced after each write, before the write is reported. Anything that
// does not match, and any error while writing, makes the whole log unusable: it is set aside
// (agree.db.bad), nothing of it is used, and this voter starts as one without a log. If both files
// are restored together, only the other voters can tell; see startup_check.h.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "consensus/persisted_log.h"
#include "store/state_file.h"

struct sqlite3;

namespace alderspur::consensus {

enum class LogStoreErrorCode {
  cannot_open,     // no database can be opened or created in the folder
  database_error,  // SQLite reported an error while reading or writing
  corrupt,         // a checksum does not match, or records are missing
  mark_unusable,   // the mark is missing or unreadable
  mark_mismatch,   // the database is older or newer than the mark says
  file_error,      // a file cannot be replaced or renamed
  out_of_service,  // an earlier write failed; only a reset is taken
};

struct LogStoreError {
  LogStoreErrorCode code;
  std::string message;
};

/// The outcome of an operation: success, or the error.
class LogStoreStatus {
 public:
  LogStoreStatus() = default;
  LogStoreStatus(LogStoreErrorCode code, std::string message)
      : error_(LogStoreError{code, std::move(message)}) {}
  bool is_ok() const { return !error_; }
  const std::optional<LogStoreError>& error() const { return error_; }
  /// Empty on success.
  std::string message() const { return error_ ? error_->message : std::string(); }

 private:
  std::optional<LogStoreError> error_;
};

class LogStore {
 public:
  /// The files agree.db and agree.mark in that folder, which is created if need be.
  explicit LogStore(std::string folder);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  struct LoadResult {
    PersistedLog log;         // empty unless the status is ok
    bool is_corrupt = false;  // there is a log, but it must not be used
    LogStoreStatus status;    // if not ok and not corrupt: there is no usable disk
  };
  LoadResult load();

  /// Ok: the write is on the disk. After an error only ResetLog is taken.
  LogStoreStatus apply(const LogWrite& write);

 private:
  struct CloseDatabase {
    void operator()(sqlite3* database) const;
  };

  LogStoreStatus open();
  LogStoreStatus execute(const char* sql);
  LogStoreStatus last_database_error() const;
  LogStoreStatus load_and_verify(const store::LoadedFile& mark, PersistedLog& log);

  LogStoreStatus read_log(PersistedLog& log);
  struct StoredNumbers;
  LogStoreStatus check_integrity();
  LogStoreStatus read_numbers(StoredNumbers& numbers);
  LogStoreStatus read_snapshot(PersistedLog& log);
  LogStoreStatus read_entries(const StoredNumbers& numbers, PersistedLog& log);

  LogStoreStatus write_in_transaction(const LogWrite& write);
  LogStoreStatus perform(const SetTerm& write);
  LogStoreStatus perform(const SetVote& write);
  LogStoreStatus perform(const AppendEntries& write);
  LogStoreStatus perform(const TruncateFrom& write);
  LogStoreStatus perform(const SaveSnapshot& write);
  LogStoreStatus perform(const ResetLog& write);

  LogStoreStatus put_number(const char* key, std::uint64_t value);
  LogStoreStatus put_snapshot(const Snapshot& snapshot);
  LogStoreStatus drop_entries_through(std::uint64_t index);
  LogStoreStatus drop_all_entries(std::uint64_t last_index);
  std::uint64_t checksum_at(std::uint64_t index) const;  // 0: no such entry
  std::uint64_t checksum_before(std::uint64_t index) const;
  LogStoreStatus replace_mark();
  LogStoreStatus reset();
  std::string path(const char* name) const { return folder_ + "/" + name; }

  const std::string folder_;
  std::unique_ptr<sqlite3, CloseDatabase> database_;
  std::uint64_t write_count_ = 0;  // as the database counts them
  bool is_out_of_service_ = false;
};

}  // namespace alderspur::consensus

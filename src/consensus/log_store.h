// Stores a voter's term, vote, log and snapshot in an SQLite file. Each write is one synced
// transaction, and the file is verified when it is loaded. All calls block on the disk, so they
// belong on one worker thread, never on the event loop's thread. Not thread-safe.
//
// Detected faults:
// - An altered, torn or lost record does not match its checksum (XXH3 over the record and the
//   checksum of the record before it, so a gap or a stale record is detected as well).
// - A database restored from an earlier time does not match the mark, a second small file with the
//   number of writes, which is replaced after each write and before the write is reported.
// After any mismatch, and after any error while writing, the whole log is unusable. It is renamed
// (agree.db.bad), no part of it is used, and the voter starts without a log. If both files are
// restored together, only the other voters can detect it; see startup_check.h.
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

/// The kinds of errors of a log store.
enum class LogStoreErrorCode {
  cannot_open,     // the database cannot be opened or created in the folder
  database_error,  // SQLite reported an error while reading or writing
  corrupt,         // a checksum does not match, or records are missing
  mark_unusable,   // the mark is missing or unreadable
  mark_mismatch,   // the database has fewer or more writes than the mark
  file_error,      // a file cannot be replaced or renamed
  out_of_service,  // an earlier write failed; only a reset is accepted
};

/// An error with a message for the operator.
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
  /// Returns the error's message; empty on success.
  std::string message() const { return error_ ? error_->message : std::string(); }

 private:
  std::optional<LogStoreError> error_;
};

/// The stored log of one voter. Call load() once before the first apply().
class LogStore {
 public:
  /// The store uses the files agree.db and agree.mark in `folder`. load() creates the folder if it
  /// does not exist.
  explicit LogStore(std::string folder);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  struct LoadResult {
    PersistedLog log;         // empty unless the status is ok
    bool is_corrupt = false;  // files of a log exist, but the log must not be used
    LogStoreStatus status;    // if it is an error and `is_corrupt` is false, the disk is not usable
  };
  /// Opens the database, creating it if it does not exist, and loads and verifies the log. After an
  /// error, only ResetLog is accepted.
  LoadResult load();

  /// Performs a write. On success, the write is on the disk. After an error, only ResetLog is
  /// accepted.
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
  std::uint64_t checksum_at(std::uint64_t index) const;  // 0: there is no such entry
  std::uint64_t checksum_before(std::uint64_t index) const;
  LogStoreStatus replace_mark();
  LogStoreStatus reset();
  std::string path(const char* name) const { return folder_ + "/" + name; }

  const std::string folder_;
  std::unique_ptr<sqlite3, CloseDatabase> database_;
  std::uint64_t write_count_ = 0;  // as stored in the database
  bool is_out_of_service_ = false;
};

}  // namespace alderspur::consensus

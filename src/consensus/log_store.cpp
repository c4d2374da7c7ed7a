#include "consensus/log_store.h"

#include <sqlite3.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <string_view>

#include "consensus/codec.h"
#include "store/state_file.h"

namespace alderspur::consensus {
namespace {

constexpr const char* kDatabaseFile = "agree.db";
constexpr const char* kJournalFile = "agree.db-journal";
constexpr const char* kMarkFile = "agree.mark";
constexpr const char* kSetAsideSuffix = ".bad";

constexpr const char* kSchema =
    "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=DELETE; PRAGMA synchronous=EXTRA;"
    "PRAGMA cell_size_check=ON; PRAGMA mmap_size=0;"
    "CREATE TABLE IF NOT EXISTS number(key TEXT PRIMARY KEY, value INTEGER, code INTEGER) WITHOUT "
    "ROWID;"
    "CREATE TABLE IF NOT EXISTS log(at INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB, "
    "code "
    "INTEGER);"
    "CREATE TABLE IF NOT EXISTS snapshot(one INTEGER PRIMARY KEY, data BLOB, code INTEGER);";

// Keys of the table `number`.
constexpr const char* kTermKey = "term";
constexpr const char* kVoteKey = "vote";
constexpr const char* kWriteCountKey = "stores";
constexpr const char* kChecksumBeforeFirstKey = "before";
constexpr const char* kFirstIndexKey = "first";
constexpr const char* kLastIndexKey = "last";

constexpr std::size_t kMaxMarkBytes = 64;
constexpr std::size_t kMaxSnapshotBytes = 2 << 20;
constexpr std::size_t kSnapshotFields = 5;

// Seeds that keep the checksums of different kinds of records apart.
constexpr std::uint64_t kEntryHeadSeed = 1;
constexpr std::uint64_t kSnapshotSeed = 2;
constexpr std::uint64_t kNumberSeed = 0x616c6472;

// A prepared statement. Its parameters are bound in the order of the calls; errors show in step().
class Statement {
 public:
  Statement(sqlite3* database, const char* sql) {
    if (sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr) != SQLITE_OK) {
      statement_ = nullptr;
    }
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind_number(std::uint64_t number) {
    sqlite3_bind_int64(statement_, ++last_parameter_, static_cast<sqlite3_int64>(number));
    return *this;
  }
  Statement& bind_text(const char* text) {
    sqlite3_bind_text(statement_, ++last_parameter_, text, -1, SQLITE_STATIC);
    return *this;
  }
  Statement& bind_bytes(std::string_view bytes) {
    // A null pointer would be stored as NULL, not as an empty blob.
    const char* data = bytes.data() ? bytes.data() : "";
    sqlite3_bind_blob64(statement_, ++last_parameter_, data, bytes.size(), SQLITE_STATIC);
    return *this;
  }
  int step() { return statement_ ? sqlite3_step(statement_) : SQLITE_ERROR; }
  bool has_row() { return step() == SQLITE_ROW; }
  bool run() { return step() == SQLITE_DONE; }

  std::uint64_t number(int column) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  std::string bytes(int column) {
    const auto* data = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    if (!data) return {};
    return {data, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column))};
  }

 private:
  sqlite3_stmt* statement_ = nullptr;
  int last_parameter_ = 0;
};

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// Computes a checksum over the entry, its index and the checksum of the entry before it.
std::uint64_t entry_checksum(const LogEntry& entry, std::uint64_t index,
                             std::uint64_t checksum_before) {
  const std::array<std::uint64_t, 4> head = {index, entry.term, entry.type, checksum_before};
  const std::string_view head_bytes(reinterpret_cast<const char*>(head.data()), sizeof head);
  return checksum(entry.data, checksum(head_bytes, kEntryHeadSeed));
}

std::uint64_t number_checksum(std::string_view key, std::uint64_t value) {
  return checksum(key, value ^ kNumberSeed);
}

std::string encode(const Snapshot& snapshot) {
  msgpack_codec::Writer writer;
  writer.array(kSnapshotFields).number(snapshot.index).number(snapshot.term);
  writer.number(snapshot.configuration.index);
  pack(writer, snapshot.configuration.servers);
  return writer.bytes(snapshot.data).str();
}

Snapshot read_snapshot(msgpack_codec::Reader& reader) {
  Snapshot snapshot;
  snapshot.index = reader.number();
  snapshot.term = reader.number();
  snapshot.configuration.index = reader.number();
  snapshot.configuration.servers = read_servers(reader);
  snapshot.data = reader.bytes(kMaxSnapshotBytes);
  return snapshot;
}

std::optional<Snapshot> decode_snapshot(std::string_view bytes) {
  return msgpack_codec::decode_array(bytes, kSnapshotFields, read_snapshot);
}

LogStoreStatus corrupt(const std::string& message) { return {LogStoreErrorCode::corrupt, message}; }

LogStoreStatus unreadable() {
  return {LogStoreErrorCode::database_error, "reading agree.db failed"};
}

}  // namespace

// The rows of the table `number`, except for the count of writes.
struct LogStore::StoredNumbers {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;
  std::uint64_t checksum_before_first = 0;
  std::uint64_t first_index = 1;
  std::uint64_t last_index = 0;
};

void LogStore::CloseDatabase::operator()(sqlite3* database) const { sqlite3_close_v2(database); }

LogStore::LogStore(std::string folder) : folder_(std::move(folder)) {}
LogStore::~LogStore() = default;

LogStoreStatus LogStore::open() {
  sqlite3* database = nullptr;
  const std::string file = path(kDatabaseFile);
  const int code =
      sqlite3_open_v2(file.c_str(), &database,
                      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  database_.reset(database);
  if (code != SQLITE_OK) {
    return {LogStoreErrorCode::cannot_open, "cannot open " + file + ": " + sqlite3_errstr(code)};
  }
  return execute(kSchema);
}

LogStoreStatus LogStore::execute(const char* sql) {
  if (!database_) return {LogStoreErrorCode::database_error, "the database agree.db is not open"};
  if (sqlite3_exec(database_.get(), sql, nullptr, nullptr, nullptr) == SQLITE_OK) return {};
  return last_database_error();
}

LogStoreStatus LogStore::last_database_error() const {
  return {LogStoreErrorCode::database_error,
          path(kDatabaseFile) + ": " + sqlite3_errmsg(database_.get())};
}

// ---- Loading

LogStore::LoadResult LogStore::load() {
  LoadResult result;
  std::error_code ignored;
  std::filesystem::create_directories(folder_, ignored);
  const bool database_existed = std::filesystem::exists(path(kDatabaseFile), ignored);
  const auto mark = store::load_file(path(kMarkFile), kMaxMarkBytes);
  result.status = load_and_verify(mark, result.log);
  if (result.status.is_ok()) return result;
  const bool mark_existed = mark.payload || !mark.is_absent;
  result.is_corrupt = database_existed || mark_existed;
  result.log = {};
  is_out_of_service_ = true;
  return result;
}

LogStoreStatus LogStore::load_and_verify(const store::LoadedFile& mark, PersistedLog& log) {
  if (auto status = open(); !status.is_ok()) return status;
  if (auto status = read_log(log); !status.is_ok()) return status;
  if (!mark.payload) {
    // Without writes and without a mark, this is the first start, or one that was interrupted.
    if (mark.is_absent && write_count_ == 0) return replace_mark();
    return {LogStoreErrorCode::mark_unusable,
            mark.is_absent ? "agree.mark is missing" : to_string(*mark.error)};
  }
  // If the process was killed after a write and before the mark was replaced, the database has one
  // write more than the mark.
  const std::uint64_t marked_count = std::strtoull(mark.payload->c_str(), nullptr, 10);
  if (write_count_ < marked_count || write_count_ > marked_count + 1) {
    return {LogStoreErrorCode::mark_mismatch, "agree.db has " + std::to_string(write_count_) +
                                                  " writes, but agree.mark counts " +
                                                  std::to_string(marked_count)};
  }
  return {};
}

LogStoreStatus LogStore::read_log(PersistedLog& log) {
  StoredNumbers numbers;
  if (auto status = check_integrity(); !status.is_ok()) return status;
  if (auto status = read_numbers(numbers); !status.is_ok()) return status;
  log.term = numbers.term;
  log.vote = numbers.vote;
  log.first_index = numbers.first_index;
  if (auto status = read_snapshot(log); !status.is_ok()) return status;
  return read_entries(numbers, log);
}

LogStoreStatus LogStore::check_integrity() {
  Statement check(database_.get(), "PRAGMA integrity_check(1)");
  if (check.has_row() && check.bytes(0) == "ok") return {};
  return corrupt("agree.db fails the integrity check of SQLite");
}

LogStoreStatus LogStore::read_numbers(StoredNumbers& numbers) {
  Statement rows(database_.get(), "SELECT key, value, code FROM number");
  int step = rows.step();
  for (; step == SQLITE_ROW; step = rows.step()) {
    const std::string key = rows.bytes(0);
    const std::uint64_t value = rows.number(1);
    if (rows.number(2) != number_checksum(key, value)) {
      return corrupt("agree.db: the value of " + key + " does not match its checksum");
    }
    if (key == kTermKey) numbers.term = value;
    if (key == kVoteKey) numbers.vote = value;
    if (key == kWriteCountKey) write_count_ = value;
    if (key == kChecksumBeforeFirstKey) numbers.checksum_before_first = value;
    if (key == kFirstIndexKey) numbers.first_index = value;
    if (key == kLastIndexKey) numbers.last_index = value;
  }
  return step == SQLITE_DONE ? LogStoreStatus() : unreadable();
}

LogStoreStatus LogStore::read_snapshot(PersistedLog& log) {
  Statement row(database_.get(), "SELECT data, code FROM snapshot");
  const int step = row.step();
  if (step == SQLITE_DONE) return {};
  if (step != SQLITE_ROW) return unreadable();
  const std::string data = row.bytes(0);
  log.snapshot = decode_snapshot(data);
  if (!log.snapshot || row.number(1) != checksum(data, kSnapshotSeed)) {
    return corrupt("agree.db: the snapshot is corrupt");
  }
  return {};
}

LogStoreStatus LogStore::read_entries(const StoredNumbers& numbers, PersistedLog& log) {
  Statement rows(database_.get(), "SELECT at, term, type, data, code FROM log ORDER BY at");
  std::uint64_t index = numbers.first_index;
  std::uint64_t last_checksum = numbers.checksum_before_first;
  int step = rows.step();
  for (; step == SQLITE_ROW; step = rows.step()) {
    LogEntry entry{rows.number(1), rows.number(2), rows.bytes(3)};
    last_checksum = entry_checksum(entry, index, last_checksum);
    if (rows.number(0) != index || rows.number(4) != last_checksum) {
      return corrupt("agree.db: log entry " + std::to_string(index) + " is corrupt or missing");
    }
    log.entries.push_back(std::move(entry));
    ++index;
  }
  if (step != SQLITE_DONE) return unreadable();
  if (write_count_ != 0 && index != numbers.last_index + 1) {
    return corrupt("agree.db: entries at the end of the log are missing");
  }
  return {};
}

// ---- Writing

LogStoreStatus LogStore::apply(const LogWrite& write) {
  if (std::holds_alternative<ResetLog>(write)) return reset();
  if (is_out_of_service_) {
    return {LogStoreErrorCode::out_of_service,
            "an earlier write failed; the log accepts only a reset"};
  }
  auto status = write_in_transaction(write);
  if (status.is_ok()) status = replace_mark();
  if (!status.is_ok()) {
    // After a failed sync, the state of the files on the disk is unknown.
    is_out_of_service_ = true;
    database_.reset();
  }
  return status;
}

LogStoreStatus LogStore::write_in_transaction(const LogWrite& write) {
  if (auto status = execute("BEGIN IMMEDIATE"); !status.is_ok()) return status;
  auto status = std::visit([this](const auto& kind) { return perform(kind); }, write);
  if (!status.is_ok()) return status;
  ++write_count_;
  status = put_number(kWriteCountKey, write_count_);
  if (!status.is_ok()) return status;
  return execute("COMMIT");
}

LogStoreStatus LogStore::replace_mark() {
  const auto error = store::replace_file(path(kMarkFile), std::to_string(write_count_) + "\n");
  if (!error) return {};
  return {LogStoreErrorCode::file_error, to_string(*error)};
}

LogStoreStatus LogStore::perform(const SetTerm& write) {
  if (auto status = put_number(kTermKey, write.term); !status.is_ok()) return status;
  return put_number(kVoteKey, 0);
}

LogStoreStatus LogStore::perform(const SetVote& write) {
  return put_number(kVoteKey, write.candidate_id);
}

LogStoreStatus LogStore::perform(const AppendEntries& write) {
  std::uint64_t last_checksum = checksum_before(write.first_index);
  std::uint64_t index = write.first_index;
  for (const auto& entry : write.entries) {
    last_checksum = entry_checksum(entry, index, last_checksum);
    Statement row(database_.get(), "INSERT INTO log VALUES(?, ?, ?, ?, ?)");
    row.bind_number(index).bind_number(entry.term).bind_number(entry.type);
    row.bind_bytes(entry.data).bind_number(last_checksum);
    if (!row.run()) return last_database_error();
    ++index;
  }
  return put_number(kLastIndexKey, index - 1);
}

LogStoreStatus LogStore::perform(const TruncateFrom& write) {
  Statement removal(database_.get(), "DELETE FROM log WHERE at >= ?");
  if (!removal.bind_number(write.index).run()) return last_database_error();
  return put_number(kLastIndexKey, write.index - 1);
}

LogStoreStatus LogStore::perform(const SaveSnapshot& write) {
  const std::uint64_t index = write.snapshot.index;
  if (auto status = put_snapshot(write.snapshot); !status.is_ok()) return status;
  if (write.trailing_entries == 0) return drop_all_entries(index);
  if (index <= write.trailing_entries) return {};
  return drop_entries_through(index - write.trailing_entries);
}

LogStoreStatus LogStore::perform(const ResetLog&) { return reset(); }

LogStoreStatus LogStore::put_number(const char* key, std::uint64_t value) {
  Statement row(database_.get(), "INSERT OR REPLACE INTO number VALUES(?, ?, ?)");
  row.bind_text(key).bind_number(value).bind_number(number_checksum(key, value));
  return row.run() ? LogStoreStatus() : last_database_error();
}

LogStoreStatus LogStore::put_snapshot(const Snapshot& snapshot) {
  const std::string data = encode(snapshot);
  Statement row(database_.get(), "INSERT OR REPLACE INTO snapshot VALUES(1, ?, ?)");
  row.bind_bytes(data).bind_number(checksum(data, kSnapshotSeed));
  return row.run() ? LogStoreStatus() : last_database_error();
}

std::uint64_t LogStore::checksum_at(std::uint64_t index) const {
  Statement entry(database_.get(), "SELECT code FROM log WHERE at = ?");
  return entry.bind_number(index).has_row() ? entry.number(0) : 0;
}

// Returns the checksum of the entry before `index`, which the checksum at `index` covers.
std::uint64_t LogStore::checksum_before(std::uint64_t index) const {
  Statement entry(database_.get(), "SELECT code FROM log WHERE at = ?");
  if (entry.bind_number(index - 1).has_row()) return entry.number(0);
  Statement first(database_.get(), "SELECT value FROM number WHERE key = 'before'");
  return first.has_row() ? first.number(0) : 0;
}

LogStoreStatus LogStore::drop_entries_through(std::uint64_t index) {
  const std::uint64_t last_checksum = checksum_at(index);
  Statement removal(database_.get(), "DELETE FROM log WHERE at <= ?");
  if (!removal.bind_number(index).run()) return last_database_error();
  if (auto status = put_number(kChecksumBeforeFirstKey, last_checksum); !status.is_ok()) {
    return status;
  }
  return put_number(kFirstIndexKey, index + 1);
}

// Deletes all entries. The next entry to be appended is the one after `last_index`.
LogStoreStatus LogStore::drop_all_entries(std::uint64_t last_index) {
  Statement removal(database_.get(), "DELETE FROM log");
  if (!removal.run()) return last_database_error();
  if (auto status = put_number(kChecksumBeforeFirstKey, 0); !status.is_ok()) return status;
  if (auto status = put_number(kFirstIndexKey, last_index + 1); !status.is_ok()) return status;
  return put_number(kLastIndexKey, last_index);
}

LogStoreStatus LogStore::reset() {
  database_.reset();
  std::error_code error;
  for (const char* name : {kDatabaseFile, kJournalFile, kMarkFile}) {
    const std::string file = path(name);
    if (!std::filesystem::exists(file, error)) continue;
    std::filesystem::rename(file, file + kSetAsideSuffix, error);
    if (error) {
      return {LogStoreErrorCode::file_error,
              "cannot rename " + file + " to reset the log: " + error.message()};
    }
  }
  write_count_ = 0;
  is_out_of_service_ = true;
  auto status = open();
  if (status.is_ok()) status = replace_mark();
  is_out_of_service_ = !status.is_ok();
  return status;
}

}  // namespace alderspur::consensus

#include "consensus/log_store.h"

#include <sqlite3.h>
#include <xxhash.h>

#include <cstdio>
#include <filesystem>

#include "consensus/codec.h"
#include "store/state_file.h"

namespace alderspur::consensus {
namespace {

constexpr const char* kSchema =
    "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=DELETE; PRAGMA synchronous=EXTRA;"
    "PRAGMA cell_size_check=ON; PRAGMA mmap_size=0;"
    "CREATE TABLE IF NOT EXISTS number(key TEXT PRIMARY KEY, value INTEGER, code INTEGER) WITHOUT "
    "ROWID;"
    "CREATE TABLE IF NOT EXISTS log(at INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB, "
    "code "
    "INTEGER);"
    "CREATE TABLE IF NOT EXISTS snapshot(one INTEGER PRIMARY KEY, data BLOB, code INTEGER);";
constexpr std::size_t kMarkMost = 64, kSnapshotMost = 2 << 20;

class Statement {
 public:
  Statement(sqlite3* db, const char* sql) {
    if (sqlite3_prepare_v2(db, sql, -1, &s_, nullptr) != SQLITE_OK) s_ = nullptr;
  }
  ~Statement() { sqlite3_finalize(s_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& number(std::uint64_t n) {
    return sqlite3_bind_int64(s_, ++at_, static_cast<sqlite3_int64>(n)), *this;
  }
  Statement& text(const char* t) {
    return sqlite3_bind_text(s_, ++at_, t, -1, SQLITE_STATIC), *this;
  }
  Statement& bytes(std::string_view b) {
    return sqlite3_bind_blob64(s_, ++at_, b.data() ? b.data() : "", b.size(), SQLITE_STATIC), *this;
  }
  int step() { return s_ ? sqlite3_step(s_) : SQLITE_ERROR; }
  std::uint64_t number(int column) {
    return static_cast<std::uint64_t>(sqlite3_column_int64(s_, column));
  }
  std::string bytes(int column) {
    const auto* p = static_cast<const char*>(sqlite3_column_blob(s_, column));
    return p ? std::string(p, static_cast<std::size_t>(sqlite3_column_bytes(s_, column)))
             : std::string();
  }

 private:
  sqlite3_stmt* s_ = nullptr;
  int at_ = 0;
};

std::uint64_t code_of(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}
// Of a record of the log, by the index and what stands before it.
std::uint64_t code_of(const LogEntry& e, std::uint64_t at, std::uint64_t before) {
  const std::uint64_t head[] = {at, e.term, e.type, before};
  return code_of(e.data, code_of({reinterpret_cast<const char*>(head), sizeof head}, 1));
}
std::uint64_t code_of_number(const std::string& key, std::uint64_t value) {
  return code_of(std::string_view(key), value ^ 0x616c6472);
}

std::string encode(const Snapshot& s) {
  cluster::Packer p;
  p.array(5).number(s.index).number(s.term).number(s.configuration.index);
  pack(p, s.configuration.servers);
  return p.bytes(s.data).take();
}
std::optional<Snapshot> decode(std::string_view bytes) {
  const cluster::Unpacked u(bytes);
  if (!u.good) return {};
  cluster::Reader r(u.m.data, 5);
  Snapshot s;
  s.index = r.number(), s.term = r.number(), s.configuration.index = r.number();
  s.configuration.servers = servers(r);
  s.data = r.bytes(kSnapshotMost);
  return r.good ? std::optional(std::move(s)) : std::nullopt;
}

}  // namespace

void LogStore::Close::operator()(sqlite3* db) const { sqlite3_close_v2(db); }
LogStore::LogStore(std::string folder) : folder_(std::move(folder)) {}
LogStore::~LogStore() = default;

std::string LogStore::open() {
  sqlite3* db = nullptr;
  const int code =
      sqlite3_open_v2(path("agree.db").c_str(), &db,
                      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  db_.reset(db);
  if (code != SQLITE_OK) return "cannot open " + path("agree.db") + ": " + sqlite3_errstr(code);
  return run(kSchema);
}

std::string LogStore::run(const char* sql) {
  if (!db_) return "there is no database";
  if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) == SQLITE_OK) return {};
  return path("agree.db") + ": " + sqlite3_errmsg(db_.get());
}

LogStore::Loaded LogStore::load() {
  Loaded out;
  std::error_code ignored;
  std::filesystem::create_directories(folder_, ignored);
  const bool was_there = std::filesystem::exists(path("agree.db"), ignored);
  const auto mark = store::load_file(path("agree.mark"), kMarkMost);
  out.error = open();
  if (out.error.empty()) out.error = read(out.log);
  // Nothing told and nothing stored: a first start that was cut short.
  if (out.error.empty() && !mark.payload && !(mark.absent && stores_ == 0))
    out.error = mark.absent ? "agree.mark is missing" : mark.error;
  // A process killed between a store and its mark leaves the database one ahead.
  if (out.error.empty() && mark.payload) {
    const auto said = std::strtoull(mark.payload->c_str(), nullptr, 10);
    if (stores_ < said || stores_ > said + 1)
      out.error = "agree.db holds " + std::to_string(stores_) + " stores, " + std::to_string(said) +
                  " were told";
  }
  if (out.error.empty() && !mark.payload) out.error = this->mark();
  if (out.error.empty()) return out;
  out.is_corrupt = was_there || mark.payload || !mark.absent;
  out.log = {};
  bad_ = true;
  return out;
}

std::string LogStore::read(PersistedLog& out) {
  {
    Statement s(db_.get(), "PRAGMA integrity_check(1)");
    if (s.step() != SQLITE_ROW || s.bytes(0) != "ok") return "agree.db is not whole";
  }
  Statement numbers(db_.get(), "SELECT key, value, code FROM number");
  int step;
  std::uint64_t before = 0, last = 0, first = 1;
  while ((step = numbers.step()) == SQLITE_ROW) {
    const auto key = numbers.bytes(0);
    const auto value = numbers.number(1);
    if (numbers.number(2) != code_of_number(key, value)) return "agree.db: " + key + " is spoilt";
    if (key == "term") out.term = value;
    if (key == "vote") out.vote = value;
    if (key == "stores") stores_ = value;
    if (key == "before") before = value;  // the code ahead of the first record
    if (key == "first") first = value;
    if (key == "last") last = value;
  }
  if (step != SQLITE_DONE) return "agree.db cannot be read";
  Statement snapshot(db_.get(), "SELECT data, code FROM snapshot");
  if ((step = snapshot.step()) == SQLITE_ROW) {
    const auto data = snapshot.bytes(0);
    out.snapshot = decode(data);
    if (!out.snapshot || snapshot.number(1) != code_of(data, 2))
      return "agree.db: its snapshot is spoilt";
  } else if (step != SQLITE_DONE) {
    return "agree.db cannot be read";
  }
  Statement log(db_.get(), "SELECT at, term, type, data, code FROM log ORDER BY at");
  out.first_index = first;
  std::uint64_t at = first;
  for (; (step = log.step()) == SQLITE_ROW; ++at) {
    LogEntry e{log.number(1), log.number(2), log.bytes(3)};
    before = code_of(e, at, before);
    if (log.number(0) != at || log.number(4) != before)
      return "agree.db: record " + std::to_string(at) + " is spoilt or missing";
    out.entries.push_back(std::move(e));
  }
  if (step != SQLITE_DONE) return "agree.db cannot be read";
  if (stores_ && at != last + 1) return "agree.db: the end of the log is missing";
  return {};
}

std::string LogStore::apply(const LogWrite& s) {
  if (s.kind == LogWrite::Kind::reset) return reset();
  if (bad_) return "an earlier store failed";
  auto error = run("BEGIN IMMEDIATE");
  if (error.empty()) error = change(s);
  ++stores_;
  if (error.empty()) error = put("stores", stores_);
  if (error.empty()) error = run("COMMIT");
  if (error.empty()) error = mark();
  if (!error.empty()) bad_ = true, db_.reset();  // what a failed sync left behind nobody knows
  return error;
}

std::string LogStore::mark() {
  return store::replace_file(path("agree.mark"), std::to_string(stores_) + "\n");
}

std::string LogStore::change(const LogWrite& s) {
  switch (s.kind) {
    case LogWrite::Kind::term: {
      auto error = put("term", s.value);
      return error.empty() ? put("vote", 0) : error;  // of an earlier term
    }
    case LogWrite::Kind::vote:
      return put("vote", s.value);
    case LogWrite::Kind::append:
      return append(s);
    case LogWrite::Kind::truncate:
      return cut("DELETE FROM log WHERE at >= ?", s.value);
    case LogWrite::Kind::snapshot: {
      auto error = put(*s.snapshot);
      if (!error.empty()) return error;
      const auto trailing = s.value;
      if (!trailing) return cut(nullptr, s.snapshot->index);
      return s.snapshot->index > trailing
                 ? cut("DELETE FROM log WHERE at <= ?", s.snapshot->index - trailing)
                 : "";
    }
    default:
      return "no such store";
  }
}

std::string LogStore::put(const char* key, std::uint64_t value) {
  Statement s(db_.get(), "INSERT OR REPLACE INTO number VALUES(?, ?, ?)");
  const bool good =
      s.text(key).number(value).number(code_of_number(key, value)).step() == SQLITE_DONE;
  return good ? "" : path("agree.db") + ": " + sqlite3_errmsg(db_.get());
}

std::string LogStore::put(const Snapshot& snapshot) {
  const auto data = encode(snapshot);
  Statement s(db_.get(), "INSERT OR REPLACE INTO snapshot VALUES(1, ?, ?)");
  const bool good = s.bytes(data).number(code_of(data, 2)).step() == SQLITE_DONE;
  return good ? "" : path("agree.db") + ": " + sqlite3_errmsg(db_.get());
}

std::string LogStore::append(const LogWrite& s) {
  std::uint64_t before = 0;
  {
    Statement last(db_.get(), "SELECT code FROM log WHERE at = ?");
    if (last.number(s.value - 1).step() == SQLITE_ROW)
      before = last.number(0);
    else if (Statement own(db_.get(), "SELECT value FROM number WHERE key = 'before'");
             own.step() == SQLITE_ROW)
      before = own.number(0);
  }
  std::uint64_t at = s.value;
  for (const auto& e : s.entries) {
    before = code_of(e, at, before);
    Statement row(db_.get(), "INSERT INTO log VALUES(?, ?, ?, ?, ?)");
    if (row.number(at).number(e.term).number(e.type).bytes(e.data).number(before).step() !=
        SQLITE_DONE)
      return path("agree.db") + ": " + sqlite3_errmsg(db_.get());
    ++at;
  }
  return put("last", at - 1);
}

// Cuts one end off. `sql` null: all, and the log goes on behind that index.
std::string LogStore::cut(const char* sql, std::uint64_t index) {
  std::uint64_t before = 0;
  {
    Statement s(db_.get(), "SELECT code FROM log WHERE at = ?");
    if (s.number(index).step() == SQLITE_ROW) before = s.number(0);
  }
  Statement s(db_.get(), sql ? sql : "DELETE FROM log");
  if (sql) s.number(index);
  if (s.step() != SQLITE_DONE) return path("agree.db") + ": " + sqlite3_errmsg(db_.get());
  const bool end = sql && std::string_view(sql).find(">=") != std::string_view::npos;
  if (end) return put("last", index - 1);
  auto error = put("before", sql ? before : 0);
  if (error.empty()) error = put("first", index + 1);
  if (error.empty() && !sql) error = put("last", index);
  return error;
}

std::string LogStore::reset() {
  db_.reset();
  std::error_code e;
  for (const char* name : {"agree.db", "agree.db-journal", "agree.mark"}) {
    if (!std::filesystem::exists(path(name), e)) continue;
    std::filesystem::rename(path(name), path(name) + ".bad", e);
    if (e) return "cannot set aside " + path(name) + ": " + e.message();
  }
  stores_ = 0;
  bad_ = true;
  auto error = open();
  if (error.empty()) error = mark();
  bad_ = !error.empty();
  return error;
}

}  // namespace alderspur::consensus

// A voter's term, vote, log and snapshot on the disk: SQLite in one file, written and synced by one
// transaction a store, and checked when read. Blocks on the disk: for a worker's thread, never the
// loop's.
//
// What a disk may do, and what then: a record that was flipped, torn or lost shows by its code
// (XXH3 over the record and the code before it, so that a hole or a stale record shows as well); a
// file brought back from earlier shows by the mark, a second small file that counts the stores and
// is replaced after each, before anybody is told. Whatever does not fit, and any error while
// writing, spoils the whole: it is set aside (agree.db.bad), nothing of it is believed, and this
// voter starts as one without a log. If both files are brought back together, only the other voters
// can tell; see agreement.h.
#pragma once

#include <memory>
#include <string>

#include "consensus/raft.h"

struct sqlite3;

namespace alderspur::consensus {

class LogStore {
 public:
  explicit LogStore(std::string folder);  // agree.db and agree.mark in it
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  struct Loaded {
    PersistedLog log;
    bool is_corrupt = false;
    std::string error;  // why, or why there is no disk at all
  };
  Loaded load();
  // Empty: it is on the disk. After an error nothing more is taken until a reset.
  std::string apply(const LogWrite& store);

 private:
  struct Close {
    void operator()(sqlite3* db) const;
  };
  std::string open();
  std::string run(const char* sql);
  std::string read(PersistedLog& out);
  std::string change(const LogWrite& store);
  std::string append(const LogWrite& store);
  std::string cut(const char* sql, std::uint64_t index);
  std::string put(const char* key, std::uint64_t value);
  std::string put(const Snapshot& snapshot);
  std::string reset();
  std::string mark();
  std::string path(const char* name) const { return folder_ + "/" + name; }

  const std::string folder_;
  std::unique_ptr<sqlite3, Close> db_;
  std::uint64_t stores_ = 0;  // as the database counts them
  bool bad_ = false;
};

}  // namespace alderspur::consensus

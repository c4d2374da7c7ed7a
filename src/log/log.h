// Structured logging on top of spdlog: each event is written as one record with stable names for
// its subsystem, event and fields.
//
// A record is one line of logfmt or JSON. It contains the time, the level, the subsystem and the
// event, followed by the fields in the order given. Records are rate limited per subsystem and
// event. The number of suppressed records is reported in the field `held_back` of the next record
// that is written, or by flush(). Callers must not pass secrets; as a second line of defence,
// values that look like signatures, tokens or passwords are redacted.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::log {

/// The severity of a record, in rising order.
enum class Level { debug, info, warning, error };

/// Returns the name of the level as it is written in a record.
const char* to_string(Level level);

/// The output format of records.
enum class Format { logfmt, json };

/// The value of a field.
using Value = std::variant<std::int64_t, double, bool, std::string>;

/// A named value of a record. The name is not copied; it must outlive the call to Log::record().
struct Field {
  std::string_view name;
  Value value;

  Field(std::string_view field_name, std::string_view text)
      : name(field_name), value(std::string(text)) {}
  Field(std::string_view field_name, const char* text)
      : name(field_name), value(std::string(text)) {}
  Field(std::string_view field_name, const std::string& text) : name(field_name), value(text) {}
  Field(std::string_view field_name, bool flag) : name(field_name), value(flag) {}
  Field(std::string_view field_name, double number) : name(field_name), value(number) {}
  template <class Integer>
  requires std::is_integral_v<Integer> Field(std::string_view field_name, Integer number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
};

/// Selects which records are written, and in which format.
struct Settings {
  Format format = Format::logfmt;
  Level level = Level::info;
  std::map<std::string, Level, std::less<>> levels;  // per subsystem; overrides `level`
  int per_second = 20;                               // limit per subsystem and event
};

/// Writes records. All methods are thread-safe.
class Log {
 public:
  /// Receives a complete line without its line feed.
  using Sink = std::function<void(const std::string&)>;

  /// Without a sink, records are written to standard error; without a clock, they contain the
  /// system time. The clock returns Unix time in microseconds.
  explicit Log(Settings settings, Sink sink = {}, std::function<core::Time()> clock = {});

  /// Calls flush().
  ~Log();

  /// Writes one record, unless its level is disabled or its rate limit is reached.
  void record(std::string_view subsystem, Level level, std::string_view event,
              const std::vector<Field>& fields = {});

  /// Reports the number of suppressed records that has not been reported yet.
  void flush();

  /// Reports whether records of this subsystem and level are written.
  bool enabled(std::string_view subsystem, Level level) const;

 private:
  /// The state of the rate limit of one subsystem and event.
  struct RateLimit {
    core::Time second = 0;         // Unix time in seconds to which `written` applies
    int written = 0;               // records written in that second
    std::uint64_t suppressed = 0;  // records since the last one that was written
  };
  class StandardError;

  std::string format_record(core::Time now, std::string_view subsystem, Level level,
                            std::string_view event, const std::vector<Field>& fields,
                            std::uint64_t suppressed) const;
  void write(Level level, const std::string& line);

  const Settings settings_;
  Sink sink_;
  std::function<core::Time()> clock_;
  std::unique_ptr<StandardError> standard_error_;  // null if there is a sink
  std::mutex mutex_;
  // Keyed by "subsystem event" and guarded by mutex_. The size is bounded because callers pass
  // literals as these names.
  std::map<std::string, RateLimit, std::less<>> rate_limits_;
};

/// Returns the value with the text after "sig=", "secret=", "Bearer " and similar prefixes replaced
/// by "***", and truncated to a bounded length.
std::string redacted(std::string_view value);

}  // namespace alderspur::log

// Structured logs: one record an event, with stable names for subsystem, event and fields, on
// spdlog.
//
// A record is one line of logfmt or JSON: time, level, subsystem, event, then the fields in the
// order given. Records are rate limited by subsystem and event; the next record that is written, or
// flush(), reports in the field `held_back` how many were suppressed. Callers never pass secrets;
// as a second line of defence, values that look like signatures, tokens or passwords are redacted.
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

/// In rising order of severity.
enum class Level { debug, info, warning, error };

/// The level as it is written in a record.
const char* to_string(Level level);

/// How a record is written.
enum class Form { logfmt, json };

using Value = std::variant<std::int64_t, double, bool, std::string>;

/// A name with its value. The name is not copied: it must outlive the call that records it.
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

/// What is written and how.
struct Settings {
  Form form = Form::logfmt;
  Level level = Level::info;
  std::map<std::string, Level, std::less<>> levels;  // by subsystem; overrides `level`
  int per_second = 20;                               // records of one subsystem and event
};

/// Writes records. Any thread may call any method.
class Log {
 public:
  /// Takes a complete line, without its line feed.
  using Sink = std::function<void(const std::string&)>;

  /// Without a sink records go to standard error; without a clock they carry the system's time. The
  /// clock returns Unix time in microseconds.
  explicit Log(Settings settings, Sink sink = {}, std::function<core::Time()> clock = {});

  /// Flushes.
  ~Log();

  /// Writes one record, unless its level is disabled or its rate limit is reached.
  void record(std::string_view subsystem, Level level, std::string_view event,
              const std::vector<Field>& fields = {});

  /// Reports the records that were suppressed and not yet reported.
  void flush();

  /// Whether records of this subsystem and level are written.
  bool enabled(std::string_view subsystem, Level level) const;

 private:
  /// The rate limit of one subsystem and event.
  struct RateLimit {
    core::Time second = 0;  // the second in which `written` were written
    int written = 0;
    std::uint64_t suppressed = 0;  // since the last record that was written
  };
  class StandardError;

  std::string format_record(core::Time now, std::string_view subsystem, Level level,
                            std::string_view event, const std::vector<Field>& fields,
                            std::uint64_t suppressed) const;
  void write(Level level, const std::string& line);

  const Settings settings_;
  Sink sink_;
  std::function<core::Time()> clock_;
  std::unique_ptr<StandardError> standard_error_;  // if there is no sink
  std::mutex mutex_;
  // By "subsystem event", guarded by mutex_. Bounded, since these names are literals.
  std::map<std::string, RateLimit, std::less<>> rate_limits_;
};

/// The value with whatever follows "sig=", "secret=", "Bearer " and the like replaced by "***", and
/// cut to a bounded length.
std::string redacted(std::string_view value);

}  // namespace alderspur::log

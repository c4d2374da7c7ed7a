// Structured logs: one record an event, with stable names for subsystem, event and fields, on
// spdlog.
//
// A record is one line of logfmt or JSON: time, level, subsystem, event, then the fields in the
// order given. Of one kind (subsystem and event) at most `per_second` are written in a second; the
// next record of that kind, or flush(), says how many were held back. Secrets never go into a
// record: callers pass none, and what looks like a signature, a token or a secret in a value is
// blotted out as well. Any thread may log.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::log {

enum class Level { debug, info, warning, error };
enum class Form { logfmt, json };
using Value = std::variant<std::int64_t, double, bool, std::string>;
struct Field {
  std::string_view name;
  Value value;
  Field(std::string_view n, std::string_view v) : name(n), value(std::string(v)) {}
  Field(std::string_view n, const char* v) : name(n), value(std::string(v)) {}
  Field(std::string_view n, const std::string& v) : name(n), value(v) {}
  Field(std::string_view n, bool v) : name(n), value(v) {}
  Field(std::string_view n, double v) : name(n), value(v) {}
  template <class T>
  requires std::is_integral_v<T> Field(std::string_view n, T v)
      : name(n), value(static_cast<std::int64_t>(v)) {}
};

struct Settings {
  Form form = Form::logfmt;
  Level level = Level::info;
  std::map<std::string, Level, std::less<>> levels;  // by subsystem
  int per_second = 20;
};

class Log {
 public:
  using Sink = std::function<void(const std::string&)>;  // for tests; without one, standard error
  explicit Log(Settings settings, Sink sink = {}, std::function<core::Time()> clock = {});
  ~Log();
  void record(std::string_view subsystem, Level level, std::string_view event,
              const std::vector<Field>& fields = {});
  void flush();  // says what was held back and not yet told
  bool enabled(std::string_view subsystem, Level level) const;

 private:
  struct Kind {
    core::Time second = 0;
    int written = 0;
    std::uint64_t held_back = 0;
  };
  std::string line(core::Time now, std::string_view subsystem, Level level, std::string_view event,
                   const std::vector<Field>& fields, std::uint64_t held_back) const;
  void write(Level level, const std::string& line);
  class Out;

  const Settings settings_;
  Sink sink_;
  std::function<core::Time()> clock_;
  std::unique_ptr<Out> out_;
  std::mutex mutex_;
  std::map<std::string, Kind, std::less<>> kinds_;  // guarded by mutex_; kinds are literals, so few
};

// The value with whatever follows "sig=", "secret", "Bearer " and the like replaced.
std::string blotted(std::string_view value);
const char* word(Level level);

}  // namespace alderspur::log

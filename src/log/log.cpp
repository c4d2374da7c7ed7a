#include "log/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cmath>
#include <utility>

namespace alderspur::log {
namespace {

constexpr std::size_t kMaxValueBytes = 1024;
constexpr core::Time kMicrosecondsPerSecond = 1'000'000;
constexpr std::string_view kSecretPrefixes[] = {
    "sig=", "secret=", "token=", "password=", "bearer ", "key=", "cookie:", "authorization:"};
constexpr std::string_view kSecretEnds = "& ;,\"\n";
constexpr std::string_view kReplacement = "***";

core::Time system_time() {
  using std::chrono::microseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<microseconds>(now).count();
}

std::string format_time(core::Time time) {
  const auto seconds = static_cast<std::time_t>(time / kMicrosecondsPerSecond);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(seconds),
                     time % kMicrosecondsPerSecond);
}

bool is_control(unsigned char byte) { return byte < ' ' || byte == 127; }

/// Escapes quotes, backslashes and control characters. Otherwise, a line feed in a value could be
/// used to forge a record.
std::string escaped(std::string_view text, Format format) {
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      result += '\\';
      result += c;
    } else if (c == '\n') {
      result += "\\n";
    } else if (is_control(byte)) {
      result += format == Format::json ? fmt::format("\\u{:04x}", byte) : "?";
    } else {
      result += c;
    }
  }
  return result;
}

/// Reports whether a value can be written without quotes in logfmt.
bool is_plain(const std::string& text) {
  if (text.empty() || text.find_first_of(" =\"\\") != std::string::npos) return false;
  return std::none_of(text.begin(), text.end(), is_control);
}

std::string format_text(const std::string& text, Format format) {
  std::string safe = redacted(text);
  if (format == Format::logfmt && is_plain(safe)) return safe;
  return '"' + escaped(safe, format) + '"';
}

std::string format_number(double number, Format format) {
  if (std::isfinite(number)) return fmt::format("{:g}", number);
  return format == Format::json ? "null" : "nan";
}

std::string format_value(const Value& value, Format format) {
  if (const auto* integer = std::get_if<std::int64_t>(&value)) return fmt::format("{}", *integer);
  if (const auto* flag = std::get_if<bool>(&value)) return *flag ? "true" : "false";
  if (const auto* number = std::get_if<double>(&value)) return format_number(*number, format);
  return format_text(std::get<std::string>(value), format);
}

spdlog::level::level_enum spdlog_level(Level level) {
  switch (level) {
    case Level::debug:
      return spdlog::level::debug;
    case Level::info:
      return spdlog::level::info;
    case Level::warning:
      return spdlog::level::warn;
    case Level::error:
      break;
  }
  return spdlog::level::err;
}

}  // namespace

const char* to_string(Level level) {
  switch (level) {
    case Level::debug:
      return "debug";
    case Level::info:
      return "info";
    case Level::warning:
      return "warning";
    case Level::error:
      break;
  }
  return "error";
}

std::string redacted(std::string_view value) {
  std::string result(value.substr(0, kMaxValueBytes));
  std::string lower_case = result;
  if (value.size() > kMaxValueBytes) result += "...";
  for (char& c : lower_case) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  for (const auto prefix : kSecretPrefixes) {
    std::size_t at = lower_case.find(prefix);
    while (at != std::string::npos) {
      const std::size_t begin = at + prefix.size();
      const std::size_t first = begin + (result[begin] == ' ' ? 1 : 0);
      const std::size_t end = std::min(result.find_first_of(kSecretEnds, first), result.size());
      result.replace(begin, end - begin, kReplacement);
      lower_case.replace(begin, std::min(end, lower_case.size()) - begin, kReplacement);
      at = lower_case.find(prefix, begin);
    }
  }
  return result;
}

/// Writes records to standard error through spdlog and flushes after each record.
class Log::StandardError {
 public:
  StandardError() : logger_("alderspur", std::make_shared<spdlog::sinks::stderr_sink_mt>()) {
    logger_.set_pattern("%v");
    logger_.set_level(spdlog::level::trace);
    logger_.flush_on(spdlog::level::trace);
  }

  void write(Level level, const std::string& line) { logger_.log(spdlog_level(level), line); }

 private:
  spdlog::logger logger_;
};

Log::Log(Settings settings, Sink sink, std::function<core::Time()> clock)
    : settings_(std::move(settings)),
      sink_(std::move(sink)),
      clock_(clock ? std::move(clock) : system_time) {
  if (!sink_) standard_error_ = std::make_unique<StandardError>();
}

Log::~Log() { flush(); }

bool Log::enabled(std::string_view subsystem, Level level) const {
  const auto it = settings_.levels.find(subsystem);
  return level >= (it == settings_.levels.end() ? settings_.level : it->second);
}

void Log::write(Level level, const std::string& line) {
  if (sink_) {
    sink_(line);
  } else {
    standard_error_->write(level, line);
  }
}

void Log::record(std::string_view subsystem, Level level, std::string_view event,
                 const std::vector<Field>& fields) {
  if (!enabled(subsystem, level)) return;
  const core::Time now = clock_();
  const std::lock_guard lock(mutex_);
  RateLimit& limit = rate_limits_[fmt::format("{} {}", subsystem, event)];
  const core::Time second = now / kMicrosecondsPerSecond;
  if (second != limit.second) {
    limit.second = second;
    limit.written = 0;
  }
  if (limit.written >= settings_.per_second) {
    ++limit.suppressed;
    return;
  }
  ++limit.written;
  const std::uint64_t suppressed = std::exchange(limit.suppressed, 0);
  write(level, format_record(now, subsystem, level, event, fields, suppressed));
}

void Log::flush() {
  const std::lock_guard lock(mutex_);
  for (auto& [name, limit] : rate_limits_) {
    if (limit.suppressed == 0) continue;
    const std::size_t space = name.find(' ');
    const auto subsystem = std::string_view{name}.substr(0, space);
    const auto event = std::string_view{name}.substr(space + 1);
    const std::uint64_t suppressed = std::exchange(limit.suppressed, 0);
    write(Level::info, format_record(clock_(), subsystem, Level::info, event, {}, suppressed));
  }
}

std::string Log::format_record(core::Time now, std::string_view subsystem, Level level,
                               std::string_view event, const std::vector<Field>& fields,
                               std::uint64_t suppressed) const {
  const bool is_json = settings_.format == Format::json;
  std::string line =
      is_json ? fmt::format(R"({{"time":"{}","level":"{}","subsystem":"{}","event":"{}")",
                            format_time(now), to_string(level), subsystem, event)
              : fmt::format("time={} level={} subsystem={} event={}", format_time(now),
                            to_string(level), subsystem, event);
  const auto append = [&](std::string_view name, const Value& value) {
    const std::string text = format_value(value, settings_.format);
    line += is_json ? fmt::format(R"(,"{}":{})", name, text) : fmt::format(" {}={}", name, text);
  };
  for (const auto& field : fields) append(field.name, field.value);
  if (suppressed > 0) append("held_back", static_cast<std::int64_t>(suppressed));
  if (is_json) line += '}';
  return line;
}

}  // namespace alderspur::log

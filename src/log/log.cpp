#include "log/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cctype>
#include <chrono>
#include <cmath>

namespace alderspur::log {
namespace {

constexpr std::size_t kMaxValueBytes = 1024;
constexpr std::string_view kSecret[] = {
    "sig=", "secret=", "token=", "password=", "bearer ", "key=", "cookie:", "authorization:"};

core::Time wall() {
  using std::chrono::microseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<microseconds>(now).count();
}
std::string time_text(core::Time at) {
  const auto seconds = static_cast<std::time_t>(at / 1'000'000);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(seconds), at % 1'000'000);
}
// Escapes control characters: a line feed in a value would otherwise begin a forged record.
std::string escaped(std::string_view text, bool json) {
  std::string out;
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      (out += '\\') += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (u < 32 || u == 127) {
      out += json ? fmt::format("\\u{:04x}", u) : "?";
    } else {
      out += c;
    }
  }
  return out;
}
std::string quoted(const std::string& text) {
  const bool plain =
      !text.empty() && text.find_first_of(" =\"\\") == std::string::npos &&
      std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c != 127; });
  return plain ? text : '"' + escaped(text, false) + '"';
}
std::string value_text(const Value& value, bool json) {
  if (const auto* i = std::get_if<std::int64_t>(&value)) return fmt::format("{}", *i);
  if (const auto* b = std::get_if<bool>(&value)) return *b ? "true" : "false";
  if (const auto* d = std::get_if<double>(&value)) {
    return std::isfinite(*d) ? fmt::format("{:g}", *d) : json ? "null" : "nan";
  }
  const auto text = blotted(std::get<std::string>(value));
  return json ? '"' + escaped(text, true) + '"' : quoted(text);
}
spdlog::level::level_enum level_of(Level l) {
  return l == Level::debug     ? spdlog::level::debug
         : l == Level::info    ? spdlog::level::info
         : l == Level::warning ? spdlog::level::warn
                               : spdlog::level::err;
}

}  // namespace

const char* word(Level l) {
  return l == Level::debug     ? "debug"
         : l == Level::info    ? "info"
         : l == Level::warning ? "warning"
                               : "error";
}

std::string blotted(std::string_view value) {
  std::string out(value.substr(0, kMaxValueBytes));
  std::string lower = out;
  if (value.size() > kMaxValueBytes) out += "...";
  for (char& c : lower) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  for (const auto word : kSecret) {
    for (std::size_t at = 0; (at = lower.find(word, at)) != std::string::npos; at += word.size()) {
      const auto from = at + word.size();
      auto to = out.find_first_of("& ;,\"\n", from + (out[from] == ' ' ? 1 : 0));
      if (to == std::string::npos) to = out.size();
      out.replace(from, to - from, "***");
      lower.replace(from, std::min(to, lower.size()) - from, "***");
    }
  }
  return out;
}

class Log::Out {
 public:
  Out() : logger_("alderspur", std::make_shared<spdlog::sinks::stderr_sink_mt>()) {
    logger_.set_pattern("%v");
    logger_.set_level(spdlog::level::trace);
    logger_.flush_on(spdlog::level::trace);
  }
  void write(Level level, const std::string& line) { logger_.log(level_of(level), line); }

 private:
  spdlog::logger logger_;
};

Log::Log(Settings settings, Sink sink, std::function<core::Time()> clock)
    : settings_(std::move(settings)),
      sink_(std::move(sink)),
      clock_(clock ? std::move(clock) : wall) {
  if (!sink_) out_ = std::make_unique<Out>();
}
Log::~Log() { flush(); }

bool Log::enabled(std::string_view subsystem, Level level) const {
  const auto it = settings_.levels.find(subsystem);
  return level >= (it == settings_.levels.end() ? settings_.level : it->second);
}

void Log::write(Level level, const std::string& text) {
  if (sink_) {
    sink_(text);
  } else {
    out_->write(level, text);
  }
}

void Log::record(std::string_view subsystem, Level level, std::string_view event,
                 const std::vector<Field>& fields) {
  if (!enabled(subsystem, level)) return;
  const core::Time now = clock_();
  const std::lock_guard lock(mutex_);
  const auto name = fmt::format("{} {}", subsystem, event);
  Kind& kind = kinds_[name];
  if (now / 1'000'000 != kind.second) kind.second = now / 1'000'000, kind.written = 0;
  if (kind.written >= settings_.per_second) {
    ++kind.held_back;
    return;
  }
  ++kind.written;
  write(level, line(now, subsystem, level, event, fields, std::exchange(kind.held_back, 0)));
}

void Log::flush() {
  const std::lock_guard lock(mutex_);
  for (auto& [name, kind] : kinds_) {
    if (!kind.held_back) continue;
    const auto space = name.find(' ');
    write(Level::info,
          line(clock_(), std::string_view{name}.substr(0, space), Level::info,
               std::string_view{name}.substr(space + 1), {}, std::exchange(kind.held_back, 0)));
  }
}

std::string Log::line(core::Time now, std::string_view subsystem, Level level,
                      std::string_view event, const std::vector<Field>& fields,
                      std::uint64_t held_back) const {
  const bool json = settings_.form == Form::json;
  std::string out = json
                        ? fmt::format(R"({{"time":"{}","level":"{}","subsystem":"{}","event":"{}")",
                                      time_text(now), word(level), subsystem, event)
                        : fmt::format("time={} level={} subsystem={} event={}", time_text(now),
                                      word(level), subsystem, event);
  const auto add = [&](std::string_view name, const Value& value) {
    out += json ? fmt::format(R"(,"{}":{})", name, value_text(value, true))
                : fmt::format(" {}={}", name, value_text(value, false));
  };
  for (const auto& f : fields) add(f.name, f.value);
  if (held_back) add("held_back", static_cast<std::int64_t>(held_back));
  if (json) out += '}';
  return out;
}

}  // namespace alderspur::log

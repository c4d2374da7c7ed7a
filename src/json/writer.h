// Writes JSON objects, one member per call, for the operators' pages and the output of commands. A
// writer is not thread-safe.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string_view>

namespace alderspur::json {

/// Appends compact JSON to a string buffer, which must outlive the writer.
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes the member `key` with a string, which is escaped as JSON requires.
inline void write_text(Writer& writer, const char* key, std::string_view value) {
  writer.Key(key);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

/// Writes the member `key` with a non-negative integer.
inline void write_count(Writer& writer, const char* key, std::uint64_t value) {
  writer.Key(key);
  writer.Uint64(value);
}

}  // namespace alderspur::json

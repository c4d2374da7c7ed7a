// JSON as the program's views and commands write it.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string_view>

namespace alderspur::control {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

inline void text(Writer& w, const char* key, std::string_view value) {
  w.Key(key), w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}  // namespace alderspur::control

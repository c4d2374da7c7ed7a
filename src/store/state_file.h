// A file that is replaced whole or not at all, also by a process killed at any moment of it.
//
// Written as PATH.new (a head with length and XXH3 of what follows, then the payload), synced,
// renamed over PATH, and the directory synced; a reader sees the old content or the new one. One
// writer at a time. Any thread, but not the loop's: it syncs. Errors are texts; nothing throws.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace alderspur::store {

// The moments of a write, for tests that end the process there.
enum class Step { opened, half_written, written, synced, renamed, directory_synced };
using StepHook = std::function<void(Step)>;

// Empty on success.
std::string replace_file(const std::string& path, std::string_view payload,
                         const StepHook& hook = {});

// The same for a text that others read as it is: no head.
std::string write_text(const std::string& path, std::string_view text);
struct Loaded {
  std::optional<std::string> payload;
  bool absent = false;  // there is no such file
  std::string error;
};
Loaded load_file(const std::string& path, std::size_t most);

}  // namespace alderspur::store

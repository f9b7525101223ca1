// Shared basics of all programs: clocks, random ids, structured logging, and reading and writing of files.
#pragma once
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace yewmount {

// Microseconds on the monotonic clock, which all processes of a machine share.
std::int64_t monotonic_now();

// Microseconds since the Unix epoch; may jump when the clock is set.
std::int64_t wall_now();

// A random 63-bit id from the system's entropy source, unique across restarts. Decisions draw from seeded
// generators instead, so that they can be reproduced.
std::uint64_t random_id();

// Memory of this process in bytes.
struct ProcessMemory {
  std::size_t resident = 0;   // in RAM; 0 if the system does not tell
  std::size_t heap_used = 0;  // allocated by the program
  std::size_t heap_free = 0;  // freed by the program and kept by the allocator
};
ProcessMemory process_memory();

// Gives memory that the allocator keeps back to the system as far as possible.
void release_free_memory();

namespace logs {

// Starts logging to standard error, one JSON object per line: time, level, program, name, event, fields.
void init(std::string_view program, std::string_view name);

// Sets the lowest level that is written: "debug", "info", "warn" or "error". Returns false for other texts.
bool set_level(std::string_view level);

// Whether debug events are written; lets callers skip building expensive fields.
bool is_debug_enabled();

void debug(std::string_view event, const nlohmann::ordered_json& fields = {});
void info(std::string_view event, const nlohmann::ordered_json& fields = {});
void warn(std::string_view event, const nlohmann::ordered_json& fields = {});
void error(std::string_view event, const nlohmann::ordered_json& fields = {});

}  // namespace logs

// Reads a whole file into `bytes`. Returns an empty string, or the reason of the failure in one line.
std::string read_file(const std::string& path, std::string& bytes);

// Replaces a file atomically and syncs it to disk; on failure the old file remains. Returns an empty string,
// or the reason of the failure in one line.
std::string write_file(const std::string& path, std::string_view bytes);

}  // namespace yewmount

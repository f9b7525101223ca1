// What every program here needs: the clock, one line of log an event, whole files.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace yewmount {

// Microseconds of the machine's monotonic clock, the same for all processes of one machine.
std::int64_t monotonic_now();

// Microseconds since 1970; may jump.
std::int64_t wall_now();

// A random number from the system, for what must be unique over restarts; never for decisions.
std::uint64_t fresh_number();

namespace logs {

// One JSON line an event on standard error: time, level, program, event, then the fields. level: "debug",
// "info", "warn", "error"; false if it is none of these.
void start(std::string_view program, std::string_view name);
bool level(std::string_view level);
bool debugging();  // whether debug lines are written: asked where their fields cost something
void debug(std::string_view event, const nlohmann::ordered_json& fields = {});
void info(std::string_view event, const nlohmann::ordered_json& fields = {});
void warn(std::string_view event, const nlohmann::ordered_json& fields = {});
void error(std::string_view event, const nlohmann::ordered_json& fields = {});

}  // namespace logs

// Both give an empty text, or why not in one line. A written file is whole and on disk, or the old one
// stands.
std::string read_file(const std::string& path, std::string& bytes);
std::string write_file(const std::string& path, std::string_view bytes);

}  // namespace yewmount

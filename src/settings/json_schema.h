// Reads JSON files and validates them against the schemas in schema/, which are built into the program.
#pragma once
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace yewmount::settings {

// Invalid settings. The message is one line: file, place within it, reason.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns a schema's text by its file name without extension ("head", "day", ...), or an empty view.
std::string_view schema(std::string_view name);

// Parses JSON without a schema; refuses duplicate keys. Throws SettingsError, which names `path`.
nlohmann::json parse(const std::string& text, const std::string& path);

// Read a file, or take its text, and return its JSON if it matches the schema and has no duplicate keys.
// Throw SettingsError otherwise.
nlohmann::json load(const std::string& path, std::string_view schema_name);
nlohmann::json check(const std::string& text, const std::string& path, std::string_view schema_name);

}  // namespace yewmount::settings

// JSON files checked against the schemas in schema/, which are built into the program.
#pragma once
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace yewmount::settings {

// One line: file, place within it, reason.
struct Bad : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The schema's text by its file name without ending ("head", "day", ...); empty: there is none.
std::string_view schema(std::string_view name);

// JSON alone, checked against nothing but that no key stands twice in one object.
nlohmann::json parse(const std::string& text, const std::string& path);

// Whole JSON that fits the schema, or Bad. A key that stands twice in one object is refused too.
nlohmann::json load(const std::string& path, std::string_view schema_name);
nlohmann::json check(const std::string& text, const std::string& path, std::string_view schema_name);

}  // namespace yewmount::settings

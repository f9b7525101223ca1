#include "settings/json_schema.h"

#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

#include "base/base.h"

namespace yewmount::settings {
namespace {

using nlohmann::json;

// Converts the library's error context to a path such as /groups/1/name.
std::string path_of(const std::vector<std::string>& context) {
  std::string path;
  for (const std::string& part : context) {
    if (part == "<root>") continue;
    // The library writes [key] for object members and array elements alike.
    path += '/' + (part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part);
  }
  return path.empty() ? "/" : path;
}

// The JSON library would silently drop one of the values of a duplicate key.
void refuse_duplicate_keys(const std::string& text, const std::string& path) {
  std::vector<std::set<std::string>> open_objects;  // keys seen in each enclosing object
  const auto on_event = [&](int, json::parse_event_t event, json& value) {
    if (event == json::parse_event_t::object_start) open_objects.emplace_back();
    if (event == json::parse_event_t::object_end) open_objects.pop_back();
    if (event == json::parse_event_t::key && !open_objects.back().insert(value.get<std::string>()).second)
      throw SettingsError(path + ": duplicate key '" + value.get<std::string>() + "' in one object");
    return true;
  };
  const json parsed = json::parse(text, on_event);
  static_cast<void>(parsed);
}

}  // namespace

json parse(const std::string& text, const std::string& path) {
  try {
    refuse_duplicate_keys(text, path);
    return json::parse(text);
  } catch (const json::exception& error) {
    std::string why = error.what();
    if (const auto end = why.find("] "); end != std::string::npos) why = why.substr(end + 2);
    throw SettingsError(path + ": not JSON: " + why);
  }
}

json check(const std::string& text, const std::string& path, std::string_view schema_name) {
  const json document = parse(text, path);
  valijson::Schema schema_tree;
  valijson::SchemaParser parser;
  const json schema_json = json::parse(schema(schema_name));
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema_tree);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (validator.validate(schema_tree, valijson::adapters::NlohmannJsonAdapter(document), &results))
    return document;
  // The error at the deepest place is the cause; errors above it only say that something within failed.
  valijson::ValidationResults::Error error;
  valijson::ValidationResults::Error deepest;
  while (results.popError(error))
    if (error.context.size() >= deepest.context.size()) deepest = error;
  throw SettingsError(path + ": " + path_of(deepest.context) + ": " + deepest.description);
}

json load(const std::string& path, std::string_view schema_name) {
  std::string text;
  if (const std::string why = read_file(path, text); !why.empty()) throw SettingsError(why);
  return check(text, path, schema_name);
}

}  // namespace yewmount::settings

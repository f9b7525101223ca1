#include "settings/checked.h"

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

std::string place(const std::vector<std::string>& context) {
  std::string at;
  for (const std::string& part : context) {
    if (part == "<root>") continue;
    // The library writes [key] for members and elements alike.
    at += '/' + (part.size() > 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part);
  }
  return at.empty() ? "/" : at;
}

// Where a key stands twice, one of its values would be lost without a word.
void refuse_twins(const std::string& text, const std::string& path) {
  std::vector<std::set<std::string>> open;
  const auto see = [&](int, json::parse_event_t event, json& value) {
    if (event == json::parse_event_t::object_start) open.emplace_back();
    if (event == json::parse_event_t::object_end) open.pop_back();
    if (event == json::parse_event_t::key && !open.back().insert(value.get<std::string>()).second)
      throw Bad(path + ": key '" + value.get<std::string>() + "' stands twice in one object");
    return true;
  };
  const json whole = json::parse(text, see);
  static_cast<void>(whole);
}

}  // namespace

json parse(const std::string& text, const std::string& path) {
  try {
    refuse_twins(text, path);
    return json::parse(text);
  } catch (const json::exception& e) {
    std::string why = e.what();
    if (const auto end = why.find("] "); end != std::string::npos) why = why.substr(end + 2);
    throw Bad(path + ": not JSON: " + why);
  }
}

json check(const std::string& text, const std::string& path, std::string_view schema_name) {
  const json given = parse(text, path);
  valijson::Schema schema_tree;
  valijson::SchemaParser parser;
  const json schema_json = json::parse(schema(schema_name));
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), schema_tree);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (validator.validate(schema_tree, valijson::adapters::NlohmannJsonAdapter(given), &results)) return given;
  // The deepest place is the cause; the others only tell that something within them failed.
  valijson::ValidationResults::Error error, worst;
  while (results.popError(error))
    if (error.context.size() >= worst.context.size()) worst = error;
  throw Bad(path + ": " + place(worst.context) + ": " + worst.description);
}

json load(const std::string& path, std::string_view schema_name) {
  std::string text;
  if (const std::string why = read_file(path, text); !why.empty()) throw Bad(why);
  return check(text, path, schema_name);
}

}  // namespace yewmount::settings

// Parses the settings object that the platform hands to an instance into what the decision module is
// provisioned with. Shared by all programs that receive such an object, so that they interpret it alike. It
// makes no decisions.
#pragma once
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rules.h"

namespace yewmount::provision {

// A malformed or missing field; the message is one line and names the field.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using nlohmann::json;

// Returns a field of an object; throws BadInput if it is missing or null.
inline const json& require(const json& fields, const char* name) {
  auto it = fields.find(name);
  if (it == fields.end() || it->is_null()) throw BadInput(std::string("missing field '") + name + "'");
  return *it;
}

// Converts a field's value to a boolean, a number or a string. Throws BadInput, which names the field, in
// place of the JSON library's exception.
template <class T>
T as(const json& value, const char* name) {
  bool fits;
  if constexpr (std::is_same_v<T, bool>)
    fits = value.is_boolean();
  else if constexpr (std::is_arithmetic_v<T>)
    fits = std::is_integral_v<T> ? value.is_number_integer() : value.is_number();
  else
    fits = value.is_string();
  if (!fits) throw BadInput(std::string("field '") + name + "' is of the wrong type");
  return value.get<T>();
}

// Returns a required field; throws BadInput if it is missing or of another type.
template <class T>
T get(const json& fields, const char* name) {
  return as<T>(require(fields, name), name);
}

// Returns an optional field, or `otherwise` if it is missing or null.
template <class T>
T get_or(const json& fields, const char* name, T otherwise) {
  auto it = fields.find(name);
  return it == fields.end() || it->is_null() ? otherwise : as<T>(*it, name);
}

// Returns a required field of the given JSON type.
inline const json& require_typed(const json& fields, const char* name, json::value_t type) {
  const json& value = require(fields, name);
  if (value.type() != type) throw BadInput(std::string("field '") + name + "' is of the wrong type");
  return value;
}

// Times are stored in seconds and returned in microseconds.
inline Micros micros(double seconds) { return std::llround(seconds * 1e6); }
inline Micros time_of(const json& fields, const char* name) { return micros(get<double>(fields, name)); }
inline Micros time_or(const json& fields, const char* name, Micros otherwise) {
  auto it = fields.find(name);
  return it == fields.end() || it->is_null() ? otherwise : micros(as<double>(*it, name));
}

// Returns the enum value that `text` names. `what` describes the field in the error.
template <class T, std::size_t N>
T parse_enum(const std::string& text, const std::pair<const char*, T> (&values)[N], const char* what) {
  for (const auto& [name, value] : values)
    if (text == name) return value;
  throw BadInput("unknown " + std::string(what) + " '" + text + "'");
}

// Assigns small indices to names in order of first appearance.
class NameTable {
 public:
  int index(const std::string& name);        // assigns an index to a new name
  int known(const std::string& name) const;  // throws BadInput for an unknown name
  int find(std::string_view name) const;     // returns -1 for an unknown name
  const std::string& name(int index) const { return names_[index]; }
  bool operator==(const NameTable& other) const { return names_ == other.names_; }

 private:
  std::unordered_map<std::string, int> indices_;
  std::vector<std::string> names_;
};

// The parsed settings object. `head` holds the settings of the decision module.
struct PlatformSettings {
  Provisioning head;
  NameTable groups;
  NameTable plans;
  std::vector<bool> writes;                // whether a group's requests write, by group index
  std::vector<std::string> report_fields;  // names of the values in a load report, in order
  Micros connect_timeout;                  // of connections to nodes
  Micros idle_timeout;                     // of connections to nodes
};

// Parses the platform's settings object. Throws BadInput.
PlatformSettings read_platform_settings(const json& settings, std::uint64_t seed);

// Sets one value of a load report by its name in the settings or in a node's reply; ignores other names.
void set_load_value(LoadReport& report, std::string_view field, double value);

}  // namespace yewmount::provision

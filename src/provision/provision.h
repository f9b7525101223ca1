// The platform's settings object, as an instance is handed it, turned into what a head is provisioned with.
// One reader for all ways in, so that they can't differ. It decides nothing.
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

struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using nlohmann::json;

// Fields of an object; what is missing or of a wrong type is BadInput, named after the field.
inline const json& need(const json& fields, const char* name) {
  auto it = fields.find(name);
  if (it == fields.end() || it->is_null()) throw BadInput(std::string("missing field '") + name + "'");
  return *it;
}

// Wrong types are named after the field, in one line, rather than in the library's words.
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

template <class T>
T get(const json& fields, const char* name) {
  return as<T>(need(fields, name), name);
}

template <class T>
T get_or(const json& fields, const char* name, T otherwise) {
  auto it = fields.find(name);
  return it == fields.end() || it->is_null() ? otherwise : as<T>(*it, name);
}

inline const json& part(const json& fields, const char* name, json::value_t type) {
  const json& value = need(fields, name);
  if (value.type() != type) throw BadInput(std::string("field '") + name + "' is of the wrong type");
  return value;
}

inline Micros micros(double seconds) { return std::llround(seconds * 1e6); }
inline Micros time_of(const json& fields, const char* name) { return micros(get<double>(fields, name)); }
inline Micros time_or(const json& fields, const char* name, Micros otherwise) {
  auto it = fields.find(name);
  return it == fields.end() || it->is_null() ? otherwise : micros(as<double>(*it, name));
}

template <class T, std::size_t N>
T word(const std::string& text, const std::pair<const char*, T> (&words)[N], const char* what) {
  for (const auto& [name, value] : words)
    if (text == name) return value;
  throw BadInput("unknown " + std::string(what) + " '" + text + "'");
}

// Names to small indices in order of first sight.
class Names {
 public:
  int index(const std::string& name);
  int known(const std::string& name) const;  // BadInput where it is not
  int find(std::string_view name) const;     // -1: not known
  const std::string& name(int index) const { return names_[index]; }
  bool operator==(const Names& o) const { return names_ == o.names_; }

 private:
  std::unordered_map<std::string, int> indices_;
  std::vector<std::string> names_;
};

struct Platform {
  Provisioning head;
  Names groups, plans;
  std::vector<bool> writes;                // by group
  std::vector<std::string> report_fields;  // in their order
  int streams;                             // on one connection to a node
  Micros connect_within, idle;             // of connections to nodes
};

Platform read(const json& settings, std::uint64_t seed);

// One value of a load report, under the settings' name or the one that it has on sockets; others pass.
void put_load(LoadReport& report, std::string_view field, double value);

}  // namespace yewmount::provision

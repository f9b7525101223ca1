#include "relay/deployment.h"

#include <charconv>

#include "base/base.h"
#include "discovery/discovery_client.h"
#include "settings/json_schema.h"

namespace yewmount::relay {
namespace {

using nlohmann::json;
using provision::BadInput;

constexpr double kMaxLimit = 1e9;  // descriptors or megabytes; more than any machine has

std::uint64_t parse_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw BadInput("field 'seed' is not hex digits");
  return seed;
}

// Returns a field of the platform's limits; throws BadInput if it is below `min` or too large.
std::size_t read_limit(const json& limits, const char* name, std::size_t min) {
  const double value = provision::get<double>(limits, name);
  if (value >= static_cast<double>(min) && value <= kMaxLimit) return static_cast<std::size_t>(value);
  throw BadInput(std::string("field '") + name + "' is below " + std::to_string(min) + " or too large");
}

}  // namespace

Deployment load_deployment(const std::string& file) {
  std::string text;
  if (const std::string why = read_file(file, text); !why.empty()) throw std::runtime_error(why);
  const json config = settings::parse(text, file);
  try {
    if (!config.is_object()) throw BadInput("not an object");
    Deployment deployment;
    deployment.name = provision::get<std::string>(config, "name");
    deployment.listen = discovery::parse_endpoint(provision::get<std::string>(config, "listen"));
    deployment.discovery = discovery::parse_endpoint(provision::get<std::string>(config, "discovery"));
    const json& limits = provision::require_typed(config, "limits", json::value_t::object);
    deployment.max_descriptors = read_limit(limits, "sockets", 2 * kReservedDescriptors);
    deployment.memory_bytes = read_limit(limits, "memory_mb", 1) << 20;
    deployment.known_nodes = provision::require_typed(config, "known", json::value_t::object);
    deployment.platform =
        provision::read_platform_settings(provision::require_typed(config, "settings", json::value_t::object),
                                          parse_seed(provision::get<std::string>(config, "seed")));
    deployment.platform.head.may_probe = false;  // the protocol has no probe, whatever the settings allow
    return deployment;
  } catch (const std::exception& e) {
    throw std::runtime_error(file + ": " + e.what());
  }
}

}  // namespace yewmount::relay

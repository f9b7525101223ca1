// What a head is handed at its start, from its settings file (schema/head.json).
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "rules/rules.h"

namespace yewmount::settings {

struct Service {
  std::string address;
  std::uint16_t port = 0;
};

enum class Method : std::uint8_t { get, put, drop };

struct Choice {               // of an I/O group; the first that fits holds
  std::string volume;         // empty: any
  int method = -1;            // -1: any
  std::int64_t at_most = -1;  // bytes; -1: any
  int group = 0;
};

struct Volume {
  int plan = 0, heads = 1;
};

struct Scrubbing {
  int group = -1, plan = 0;  // group -1: nothing is scrubbed
  double units_a_second = 0, calm_from = 0.5;
  Micros rest = 0, between = 0;  // between two rounds
  std::string cursor;
};

struct HeadProvision {
  std::string name, log_level;
  Service listen, list, catalogue;
  std::string list_file;
  std::string plan_file, plan_held;  // a plan to take; where the one that holds is kept. Empty: none
  Micros catalogue_keep, catalogue_allow;
  std::size_t catalogue_keep_most;
  int connections, streams;
  Micros connect_within, connection_idle;
  int most_clients, most_in_hand;
  std::size_t most_header;
  std::uint64_t most_object;
  Micros client_idle, header_within;
  std::uint32_t unit_bytes, extent_bytes;
  std::vector<std::string> groups;
  std::vector<Choice> choices;
  std::unordered_map<std::string, Volume> volumes;
  Scrubbing scrub;
  Provisioning rules;
  nlohmann::json fixed;  // what can't change while the head runs

  // -1: no choice fits.
  int group_for(const std::string& volume, Method method, std::int64_t bytes) const;
  int units_for(std::uint64_t bytes) const;
};

// Throws Bad: the schema's reasons, and what it can't say (unknown names, doubled names, no loopback
// address).
HeadProvision load_head(const std::string& path);

}  // namespace yewmount::settings

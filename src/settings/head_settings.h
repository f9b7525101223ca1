// Settings of a head, read from its settings file (schema/head.json). Times are microseconds.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "rules/rules.h"

namespace yewmount::settings {

// A TCP endpoint on a loopback address.
struct ServiceAddress {
  std::string address;
  std::uint16_t port = 0;
};

// HTTP method of a client's request: GET, PUT, DELETE.
enum class Method : std::uint8_t { get, put, remove };

// Selects the I/O group of the requests that match it; the first match applies.
struct GroupSelector {
  std::string volume;           // empty: any
  int method = -1;              // a Method; -1: any
  std::int64_t max_bytes = -1;  // -1: any size
  int group = 0;
};

// How a volume is served.
struct Volume {
  int plan = 0;   // index of its plan
  int heads = 1;  // number of heads that serve it
};

// Background verification of checksums.
struct ScrubSettings {
  int group = -1;  // I/O group of the reads; -1: scrubbing is off
  int plan = 0;
  double units_per_second = 0;
  double calm_from = 0.5;           // as in background::Provisioning
  Micros rest = 0;                  // as in background::Provisioning
  Micros pause_between_rounds = 0;  // from the end of a round to the start of the next
  std::string cursor_file;          // stores the progress of the round
};

// All settings of a head.
struct HeadSettings {
  std::string name;
  std::string log_level;
  ServiceAddress listen;
  ServiceAddress list;
  ServiceAddress catalogue;
  std::string list_file;          // stores the last node list
  std::string plan_file;          // a plan to apply; empty: none
  std::string applied_plan_file;  // stores the plan in effect; empty: none
  Micros catalogue_cache_ttl;     // how long an object's catalogue entry is cached
  Micros catalogue_time_reserve;  // part of a write's time that is reserved for the catalogue's change
  std::size_t catalogue_cache_max_entries;
  int connections_per_node;
  int submits_per_connection;  // concurrent submits on one connection to a node
  Micros connect_timeout;
  Micros connection_idle_timeout;
  int max_clients;
  int max_requests_in_flight;
  std::size_t max_header_bytes;
  std::uint64_t max_object_bytes;
  Micros client_idle_timeout;
  Micros header_timeout;       // for receiving a request's header
  std::uint32_t unit_bytes;    // bytes of a block I/O that cost one unit
  std::uint32_t extent_bytes;  // the largest extent
  std::vector<std::string> groups;
  std::vector<GroupSelector> group_selectors;
  std::unordered_map<std::string, Volume> volumes;
  ScrubSettings scrub;
  Provisioning rules;
  nlohmann::json restart_only;  // the settings that a reload can't change

  // Returns the index of a request's I/O group, or -1 if no selector matches.
  int group_for(const std::string& volume, Method method, std::int64_t bytes) const;
  // Returns the cost of a block I/O of `bytes` bytes, from 1 to the largest number of units.
  int units_for(std::uint64_t bytes) const;
};

// Reads a head's settings file. Throws SettingsError if it does not match the schema, or for what the schema
// can't express: unknown names, duplicate names, addresses that are not loopback.
HeadSettings load_head_settings(const std::string& path);

}  // namespace yewmount::settings

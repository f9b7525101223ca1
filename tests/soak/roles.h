// The processes around the heads of a soak run: nodes, discovery, clients, and the proxy in front of the
// nodes. Each function runs until its process is killed, and writes what it sees to the file `records`.
#pragma once
#include <string>

#include "tests/soak/plan.h"

namespace yewmount::soak {

void run_node(const Plan& plan, int number, const std::string& records);
void run_discovery(const Plan& plan, const std::string& records);
void run_clients(const Plan& plan, int number, const std::string& records);
void run_proxy(const Plan& plan, const std::string& records);

// The I/O groups of the soak's settings: reads, writes that must not be repeated, and writes with an
// idempotency key.
inline constexpr const char* kIoGroups[] = {"read", "write", "keyed"};

// A node as discovery lists it.
struct NodeStatus {
  std::string state = "Ready";
  std::int64_t started_ms = 0;
};
// A change of the node list.
struct NodeChange {
  Micros at;  // relative to the start of the run
  int node;
  NodeStatus status;
};
// All changes of a run in order of time. The list starts with version 1, and each change adds one.
std::vector<NodeChange> node_changes(const Plan& plan);
// The node list as discovery serves it at a time relative to the start of the run.
nlohmann::json node_list(const Plan& plan, Micros at);

}  // namespace yewmount::soak

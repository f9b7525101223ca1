// The parties of a soak's world, each a process of its own: nodes, discovery, clients, and the proxy in front
// of the nodes. Each runs until it is killed.
#pragma once
#include <string>

#include "tests/soak/plan.h"

namespace yewmount::soak {

void run_node(const Plan& plan, int number, const std::string& records);
void run_discovery(const Plan& plan, const std::string& records);
void run_clients(const Plan& plan, int number, const std::string& records);
void run_proxy(const Plan& plan, const std::string& records);

// The classes that the soak's deployment has, by effect of a repeat.
inline constexpr const char* kClasses[] = {"read", "write", "keyed"};

// What discovery has at a moment: the state and start of each node, and the version of the whole.
struct NodeView {
  std::string state = "Ready";
  std::int64_t started_ms = 0;
};
struct Change {
  Micros at;  // from the run's start
  int node;
  NodeView view;
};
// In order; the n-th makes version n + 1 (the first list has version 1).
std::vector<Change> changes(const Plan& plan);
nlohmann::json list_of(const Plan& plan, Micros at);

}  // namespace yewmount::soak
